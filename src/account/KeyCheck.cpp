#include "bergamotstage/account/KeyCheck.h"

#include "bergamotstage/core/Digest.h"
#include "bergamotstage/core/Parse.h"

#include <algorithm>

namespace bergamotstage {

std::optional<std::string> keyDigest(std::string_view SaltHex,
                                     std::string_view Key) {
  std::optional<std::string> Salt = fromHex(SaltHex);
  if (!Salt)
    return std::nullopt;
  return toHex(sha256(*Salt + std::string(Key)));
}

std::optional<KeyRule> findKey(const RuleSet &Rules, const AccountId &Account,
                               std::string_view Presented) {
  for (const KeyRule &Key : Rules.Keys) {
    if (Key.Account != Account)
      continue;
    std::optional<std::string> Digest = keyDigest(Key.Salt, Presented);
    if (Digest && equalInConstantTime(*Digest, Key.Digest))
      return Key;
  }
  return std::nullopt;
}

bool isKeyValid(const RuleSet &Rules, const KeyRule &Key) {
  return std::any_of(
      Rules.Keys.begin(), Rules.Keys.end(), [&](const KeyRule &Other) {
        return Other.Account == Key.Account && Other.KeyId == Key.KeyId &&
               Other.Digest == Key.Digest;
      });
}

} // namespace bergamotstage
