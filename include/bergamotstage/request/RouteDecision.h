#ifndef BERGAMOTSTAGE_REQUEST_ROUTEDECISION_H
#define BERGAMOTSTAGE_REQUEST_ROUTEDECISION_H

#include "bergamotstage/core/Ids.h"
#include "bergamotstage/core/Outcome.h"

#include <string>

namespace bergamotstage {

/// @brief Where a statement was sent, and why.
struct RouteDecision {
  VmId Home;          ///< VM that decided.
  TargetId Target;    ///< Empty while no target was chosen.
  std::string Policy; ///< Choice of the kind `reads`; `primary` for a write.
  std::string Reason; ///< Why the policy chose the target.
  RuleRef Source;     ///< Rule that names the policy; line 0 for a default.
};

/// @brief One line for a caller that asked for explanations; empty while no
/// target was chosen.
std::string describeDecision(const RouteDecision &Decision);

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_REQUEST_ROUTEDECISION_H
