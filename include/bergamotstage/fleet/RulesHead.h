#ifndef BERGAMOTSTAGE_FLEET_RULESHEAD_H
#define BERGAMOTSTAGE_FLEET_RULESHEAD_H

#include "bergamotstage/core/Ids.h"
#include "bergamotstage/core/PlatformApi.h"

#include <optional>
#include <string>
#include <vector>

namespace bergamotstage {

/// @brief Key prefix of all rows about rules.
constexpr const char *RulesPrefix = "rules/";
/// @brief Key of the row that names the revision in force.
constexpr const char *RulesHeadKey = "rules/head";
/// @brief Key prefix of the history rows.
constexpr const char *RulesHistoryPrefix = "rules/history/";
/// @brief Number of revisions that the history keeps.
constexpr std::uint64_t RulesHistoryLength = 64;

/// @brief A revision and the object that holds its text.
///
/// The object's name is the digest of the text: concurrent edits write
/// different objects, and the head names exactly one of them.
struct RulesHead {
  Revision Number;
  std::string Object;
  std::string EditId; ///< Id of the edit that created it.
};

/// @brief Name of the object that stores a text.
std::string rulesObjectName(const std::string &Text);

/// @brief Encodes the value of a head or history row.
std::string encodeHead(const RulesHead &Head);

/// @brief Decodes the value of a head or history row; empty if malformed.
std::optional<RulesHead> decodeHead(const std::string &Value);

/// @brief Key of the history row of a revision.
std::string rulesHistoryKey(Revision Number);

/// @brief Conditional write that puts a revision in force if the head's row
/// still has the given version.
/// @param HeadVersion version of the head's row; 0 if there is none yet
ConditionalWrite makeHeadWrite(const RulesHead &Head,
                               std::uint64_t HeadVersion);

/// @brief Object and write that store a text as revision 1 in an empty store.
struct InitialRules {
  PutObject Object;
  ConditionalWrite Head;
};
InitialRules initialRules(const std::string &Text);

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_FLEET_RULESHEAD_H
