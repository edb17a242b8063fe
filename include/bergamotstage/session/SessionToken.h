#ifndef BERGAMOTSTAGE_SESSION_SESSIONTOKEN_H
#define BERGAMOTSTAGE_SESSION_SESSIONTOKEN_H

#include "bergamotstage/core/HistoryPoint.h"
#include "bergamotstage/core/Ids.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace bergamotstage {

/// @brief For each database, the last write that a session must see.
struct SessionToken {
  std::map<DatabaseId, HistoryPoint> Seen;

  /// @brief Raises the point of one database; never lowers it.
  void raise(const DatabaseId &Database, const HistoryPoint &Point);
};

/// @brief Writes a token as text that is authenticated for one client account.
/// @param Secret shared by all VMs; at least 16 bytes
std::string encodeToken(const SessionToken &Token, const AccountId &Account,
                        std::string_view Secret);

/// @brief Reads a token.
/// @return nothing if the text is malformed, was made under another secret or
/// for another client account
std::optional<SessionToken> decodeToken(std::string_view Text,
                                        const AccountId &Account,
                                        std::string_view Secret);

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_SESSION_SESSIONTOKEN_H
