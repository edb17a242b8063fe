#ifndef BERGAMOTSTAGE_REQUEST_ROUTEDECISION_H
#define BERGAMOTSTAGE_REQUEST_ROUTEDECISION_H

#include "bergamotstage/core/Ids.h"
#include "bergamotstage/core/Outcome.h"

#include <string>

namespace bergamotstage {

/// @brief The target that a statement was sent to, and the reason.
struct RouteDecision {
  VmId Home;          ///< VM that made the decision.
  TargetId Target;    ///< Empty until a target is chosen.
  std::string Policy; ///< Policy of the kind `reads`; `primary` for writes.
  std::string Reason; ///< Why the policy chose the target.
  RuleRef Source;     ///< Rule that selects the policy; line 0 for a default.
};

/// @brief Describes a decision in one line for a caller that enabled
/// explanations; empty until a target is chosen.
std::string describeDecision(const RouteDecision &Decision);

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_REQUEST_ROUTEDECISION_H
