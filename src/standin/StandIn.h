#ifndef BERGAMOTSTAGE_STANDIN_STANDIN_H
#define BERGAMOTSTAGE_STANDIN_STANDIN_H

#include "bergamotstage/core/Ids.h"
#include "bergamotstage/core/PlatformApi.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace bergamotstage::standin {

/// @brief Name and port of one target of a stand-in group.
struct StandInTarget {
  TargetId Id;
  std::uint16_t Port = 0;
};

/// @brief One database group of the stand-in.
struct StandInGroup {
  DatabaseId Database;
  std::vector<StandInTarget> Targets;
};

/// @brief Initial contents of a stand-in platform.
struct StandInSettings {
  std::string ListenAddress; ///< Address of the platform's gRPC service.
  std::vector<StandInGroup> Groups;
  std::vector<ListedVm> Vms;
  std::string RulesText; ///< Stored as revision 1 unless empty.
  std::uint64_t LagMilliseconds = 0;
};

/// @brief Runs a stand-in platform and its targets until Wait returns.
/// @param Wait blocks until the process is asked to stop
/// @return an error message if the platform could not start
tl::expected<void, std::string> runStandIn(const StandInSettings &Settings,
                                           const std::function<void()> &Wait);

} // namespace bergamotstage::standin

#endif // BERGAMOTSTAGE_STANDIN_STANDIN_H
