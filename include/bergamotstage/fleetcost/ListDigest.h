#ifndef BERGAMOTSTAGE_FLEETCOST_LISTDIGEST_H
#define BERGAMOTSTAGE_FLEETCOST_LISTDIGEST_H

#include "bergamotstage/pooling/TargetTable.h"

#include <cstdint>
#include <vector>

namespace bergamotstage::fleetcost {

/// @brief Digest of what a list of targets tells, without the versions of the
/// rows: two VMs that read the store apart get the same one. Never 0.
/// Complexity: linear in the targets.
/// @param Targets all targets, in the order of their ids
std::uint64_t digestOfList(const std::vector<pooling::TargetEntry> &Targets);

} // namespace bergamotstage::fleetcost

#endif // BERGAMOTSTAGE_FLEETCOST_LISTDIGEST_H
