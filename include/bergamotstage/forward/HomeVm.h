#ifndef BERGAMOTSTAGE_FORWARD_HOMEVM_H
#define BERGAMOTSTAGE_FORWARD_HOMEVM_H

#include "bergamotstage/fleet/MemberState.h"

#include <optional>

namespace bergamotstage {

/// @brief Chooses the home VM of a database, which holds the links to its
/// targets.
///
/// Uses rendezvous hashing over the VMs that are reachable and not leaving, and
/// prefers the primary's data centre. When a VM joins or leaves, only the
/// databases that it gains or loses change their home.
/// @param PreferredCentre data centre of the primary; empty if none is known
/// @return the home VM, or nothing if no VM is eligible
/// Complexity: linearithmic in the VMs.
std::optional<VmId> chooseHomeVm(const DatabaseId &Database,
                                 const DataCentreId &PreferredCentre,
                                 const MemberMap &Members);

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_FORWARD_HOMEVM_H
