#ifndef BERGAMOTSTAGE_TARGET_WATCHERS_H
#define BERGAMOTSTAGE_TARGET_WATCHERS_H

#include "bergamotstage/fleet/MemberState.h"

#include <vector>

namespace bergamotstage {

/// @brief Most VMs that send heartbeats to the primary of one database.
constexpr std::size_t MaxWatchers = 5;

/// @brief Selects the VMs that monitor the primary of a database and vote on
/// its failover.
///
/// Uses rendezvous hashing and takes one VM of each data centre in turn, so
/// that the watchers cover as many data centres as possible. Complexity: O(n
/// log n) in the members.
std::vector<VmId> selectWatchers(const DatabaseId &Database,
                                 const MemberMap &Members);

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_TARGET_WATCHERS_H
