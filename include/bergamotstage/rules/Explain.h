#ifndef BERGAMOTSTAGE_RULES_EXPLAIN_H
#define BERGAMOTSTAGE_RULES_EXPLAIN_H

#include "bergamotstage/core/Ids.h"
#include "bergamotstage/rules/RuleSet.h"

#include <cstdint>
#include <string>
#include <vector>

namespace bergamotstage {

/// @brief A hypothetical statement whose decisions are to be explained.
struct ExplainRequest {
  AccountId Account;
  RouteId Route;
  std::string Statement;
  std::uint64_t SessionHash = 0; ///< Selects the arm of each share.
};

/// @brief One decision about a statement and the rule behind it.
struct ExplainedDecision {
  std::string Name;    ///< For example "policy reads".
  std::string Outcome; ///< For example "nearest-covered,wait=20ms".
  RuleRef Rule;        ///< Line 0 if a default applies.
};

/// @brief All decisions that the rules determine for a statement, in the order
/// in which they are made. Complexity: linear in keys, patterns and shares.
std::vector<ExplainedDecision> explainRequest(const RuleSet &Rules,
                                              const ExplainRequest &Request);

/// @brief One line per decision: name, outcome, line and author of the rule.
std::string explanationText(const std::vector<ExplainedDecision> &Decisions);

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_RULES_EXPLAIN_H
