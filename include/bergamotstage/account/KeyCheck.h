#ifndef BERGAMOTSTAGE_ACCOUNT_KEYCHECK_H
#define BERGAMOTSTAGE_ACCOUNT_KEYCHECK_H

#include "bergamotstage/rules/RuleSet.h"

#include <optional>
#include <string>
#include <string_view>

namespace bergamotstage {

/// @brief Salted digest of a key, as stored in the rules.
/// @param SaltHex salt in hexadecimal digits
/// @return 64 hexadecimal digits, or nothing if the salt is not hexadecimal
std::optional<std::string> keyDigest(std::string_view SaltHex,
                                     std::string_view Key);

/// @brief Finds the key of an account that a caller presented.
/// @return the rule of the key, or nothing
/// Complexity: one digest for each key of the account.
std::optional<KeyRule> findKey(const RuleSet &Rules, const AccountId &Account,
                               std::string_view Presented);

/// @brief Whether the key of an open connection is still in the rules.
bool isKeyValid(const RuleSet &Rules, const KeyRule &Key);

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_ACCOUNT_KEYCHECK_H
