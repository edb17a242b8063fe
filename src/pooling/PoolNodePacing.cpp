#include "bergamotstage/forward/Rendezvous.h"
#include "bergamotstage/pooling/PoolNode.h"

#include <algorithm>

// The pace of targets, and the bound for cold ones.

namespace bergamotstage::pooling {
namespace {

/// Until other VMs have this VM in their lists, one of them may use its rank.
/// A started VM greets the others at once; pings detect lost greetings.
constexpr Duration ColdRankDelay = seconds(5);

} // namespace

/// @brief Rank of this VM for a target in the list of all VMs, reachable or
/// not; empty while this VM may be missing in the lists of others.
std::optional<unsigned> PoolNode::coldRank(const TargetEntry &Target) const {
  if (m_Context.now() < m_StartedAt + ColdRankDelay || !m_Rows.isListed())
    return std::nullopt;
  MemberMap All = m_Members.all();
  for (auto &[Id, Member] : All) {
    Member.Reachable = true;
    Member.Leaving = false;
  }
  std::vector<VmId> Order =
      rankOwners(Target.Id.value(), Target.DataCentre, All);
  auto Own = std::find(Order.begin(), Order.end(), m_Context.self());
  return static_cast<unsigned>(Own - Order.begin());
}

void PoolNode::setPaceLimits(const TargetEntry &Target,
                             TargetPool::Limits &Limits) const {
  Limits.AdaptivePace = m_AdaptsPace;
  Limits.IsPrimary = m_Targets.primary(Target.Group) == Target.Id;
  Limits.ReportedPace = m_Selector.reportedPace(Target.Id);
  auto Group = m_Config->Groups.find(Target.Group);
  bool Bounded = Group != m_Config->Groups.end() &&
                 Group->second.ColdPerSecond > 0 &&
                 Group->second.ColdStart > Duration(0) &&
                 m_Context.now() < m_Targets.coldUntil(Target.Id);
  if (!Bounded)
    return;
  Limits.Cold.PerSecond = Group->second.ColdPerSecond * m_Settings.ColdOverage;
  Limits.Cold.Slack = m_Settings.ColdSlack;
  Limits.Cold.Until = m_Targets.coldUntil(Target.Id);
  Limits.ColdRank = coldRank(Target);
}

} // namespace bergamotstage::pooling
