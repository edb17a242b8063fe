#include "bergamotstage/target/TargetShare.h"

#include <algorithm>

namespace bergamotstage {
namespace {

/// @brief One connection in this many serves the proxy's own statements.
constexpr unsigned LinksPerMonitor = 4;
/// @brief One each for confirmations, heartbeats and fencing.
constexpr unsigned MaxMonitorLinks = 3;

unsigned liveVms(const MemberMap &Members) {
  unsigned Live = 0;
  for (const auto &[Id, Member] : Members)
    if (Member.Reachable && !Member.Leaving)
      ++Live;
  return std::max(1U, Live);
}

} // namespace

TargetShare shareOfTarget(const TargetRule &Rule, const MemberMap &Members) {
  unsigned Vms = liveVms(Members);
  unsigned Connections = std::max(2U, Rule.Connections / Vms);
  TargetShare Share;
  Share.Slots = std::max(1U, Rule.Slots / Vms);
  Share.MonitorLinks =
      std::clamp(Connections / LinksPerMonitor, 1U, MaxMonitorLinks);
  Share.WorkLinks = Connections - Share.MonitorLinks;
  return Share;
}

} // namespace bergamotstage
