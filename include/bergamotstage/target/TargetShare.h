#ifndef BERGAMOTSTAGE_TARGET_TARGETSHARE_H
#define BERGAMOTSTAGE_TARGET_TARGETSHARE_H

#include "bergamotstage/fleet/MemberState.h"
#include "bergamotstage/rules/RuleBook.h"

namespace bergamotstage {

/// @brief What this VM may use of one target's limits.
struct TargetShare {
  unsigned Slots = 1;        ///< Statements of callers at once.
  unsigned WorkLinks = 1;    ///< Connections for statements of callers.
  unsigned MonitorLinks = 1; ///< Connections for statements of the proxy's own.
};

/// @brief Part of a target's slots and connections that this VM may use.
///
/// Splits them evenly over the live VMs, each of which gets at least one slot
/// and one connection of each sort.
/// Complexity: linear in the members.
TargetShare shareOfTarget(const TargetRule &Rule, const MemberMap &Members);

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_TARGET_TARGETSHARE_H
