#ifndef BERGAMOTSTAGE_TARGET_TARGETSHARE_H
#define BERGAMOTSTAGE_TARGET_TARGETSHARE_H

#include "bergamotstage/fleet/MemberState.h"
#include "bergamotstage/rules/RuleSet.h"

namespace bergamotstage {

/// @brief This VM's share of the limits of one target.
struct TargetShare {
  unsigned Slots = 1;          ///< Concurrent statements of callers.
  unsigned StatementLinks = 1; ///< Connections for callers' statements.
  unsigned MonitorLinks = 1;   ///< Connections for the proxy's own statements.
};

/// @brief Computes this VM's share of a target's slots and connections.
///
/// The database's home VM gets all slots, and all connections but one for each
/// watcher of the primary. Any other VM gets one of each kind, which it uses
/// while the home moves.
TargetShare computeTargetShare(const TargetRule &Rule, const MemberMap &Members,
                               bool IsHome);

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_TARGET_TARGETSHARE_H
