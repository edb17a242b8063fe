#ifndef BERGAMOTSTAGE_RUNTIME_SITE_SITEMETRICS_H
#define BERGAMOTSTAGE_RUNTIME_SITE_SITEMETRICS_H

#include "bergamotstage/fleetcost/PeerTraffic.h"
#include "bergamotstage/pooling/PoolNode.h"

#include <cstdint>
#include <string>

namespace bergamotstage::runtime {

/// @brief Renders the metrics of a VM in the Prometheus text format.
/// @param LinksOpened links to targets since the start of the process
/// @param Traffic messages exchanged with other VMs
std::string renderSiteMetrics(const pooling::PoolNode &Node,
                              std::uint64_t LinksOpened,
                              const fleetcost::PeerTraffic &Traffic);

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_SITE_SITEMETRICS_H
