#ifndef BERGAMOTSTAGE_RULES_POLICYCHOICE_H
#define BERGAMOTSTAGE_RULES_POLICYCHOICE_H

#include "bergamotstage/rules/RuleSet.h"

#include <cstdint>
#include <map>
#include <string>

namespace bergamotstage {

/// @brief The choice of a policy that applies to one session.
struct PolicyChoice {
  ArmId Arm; ///< Metrics label; "default" if the kind has no shares.
  std::string Choice;
  std::map<std::string, std::string> Parameters;
  RuleRef Source;
};

/// @brief Selects the choice of a policy for a session.
/// @param Kind such as `reads`, `queue` or `acknowledge`
/// @param Default choice that applies if no rule names the kind
/// @param SessionHash the same during a session and on all VMs, so that a
/// session keeps its arm
/// Complexity: linear in the shares of the kind.
PolicyChoice choosePolicy(const RuleSet &Rules, const std::string &Kind,
                          const std::string &Default,
                          std::uint64_t SessionHash);

/// @brief Metrics label of an arm: the choice and its parameters.
ArmId armLabel(const std::string &Choice,
               const std::map<std::string, std::string> &Parameters);

/// @brief The rule that declares a route's statement idempotent, or null.
const IdempotentRule *findIdempotentRule(const RuleSet &Rules,
                                         const RouteId &Route,
                                         std::string_view Statement);

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_RULES_POLICYCHOICE_H
