#include "bergamotstage/target/TargetShare.h"

#include "bergamotstage/target/Watchers.h"

#include <algorithm>

namespace bergamotstage {
namespace {

/// @brief One of this many connections serves the proxy's own statements.
constexpr unsigned LinksPerMonitor = 4;
/// @brief One link each for confirmations, heartbeats and fencing.
constexpr unsigned MaxMonitorLinks = 3;

} // namespace

TargetShare computeTargetShare(const TargetRule &Rule, const MemberMap &Members,
                               bool IsHome) {
  if (!IsHome)
    return {};
  auto Watchers =
      static_cast<unsigned>(selectWatchers(Rule.Database, Members).size());
  unsigned Reserved = Watchers;
  unsigned Connections =
      Rule.Connections > Reserved + 2 ? Rule.Connections - Reserved : 2U;
  TargetShare Share;
  Share.Slots = Rule.Slots;
  Share.MonitorLinks =
      std::clamp(Connections / LinksPerMonitor, 1U, MaxMonitorLinks);
  Share.StatementLinks = Connections - Share.MonitorLinks;
  return Share;
}

} // namespace bergamotstage
