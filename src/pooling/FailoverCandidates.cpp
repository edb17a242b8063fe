#include "bergamotstage/pooling/FailoverController.h"

#include <algorithm>
#include <iterator>
#include <tuple>

// The part of FailoverController that decides which replica may be promoted.

namespace bergamotstage::pooling {
namespace {

/// One order may be lost; a target that ignores a second one may be skipped.
constexpr int MaxOrdersPerTarget = 2;

} // namespace

/// @brief Returns the replica with the longest received log; ties go to the
/// fewest failed orders, then to a replica that need not be replaced.
///
/// @param SkipUnresponsive ranks targets that ignored promotion orders last
std::map<TargetId, TargetStatus>::const_iterator
FailoverController::bestReplica(const Attempt &Current,
                                bool SkipUnresponsive) const {
  auto Rank = [&](const auto &Entry) {
    auto Found = Current.FailedOrders.find(Entry.first);
    int OrderCount = Found == Current.FailedOrders.end() ? 0 : Found->second;
    int Skipped = SkipUnresponsive ? OrderCount / MaxOrdersPerTarget : 0;
    return std::make_tuple(-Skipped, Entry.second.Received, -OrderCount,
                           m_Targets.acceptsOperations(Entry.first));
  };
  return std::max_element(Current.Statuses.begin(), Current.Statuses.end(),
                          [&Rank](const auto &Left, const auto &Right) {
                            return Rank(Left) < Rank(Right);
                          });
}

/// @brief Whether a replica with a shorter log may be promoted in place of
/// unresponsive targets.
///
/// An acknowledged commit is in the logs of the primary and its synchronous
/// replicas. If the whole group answers and at most as many targets are skipped
/// as there are synchronous replicas, one of the others holds the commit.
bool FailoverController::maySkipUnresponsive(const DatabaseId &Group) const {
  unsigned SyncReplicas = m_Hooks.SyncReplicas(Group);
  if (SyncReplicas == 0)
    return true;
  const Attempt &Current = m_Attempts.at(Group);
  auto Unresponsive = std::count_if(
      Current.FailedOrders.begin(), Current.FailedOrders.end(),
      [](const auto &Entry) { return Entry.second >= MaxOrdersPerTarget; });
  return Current.Statuses.size() >= m_LargestGroupSize.at(Group) &&
         static_cast<std::size_t>(Unresponsive) <= SyncReplicas;
}

/// @brief Whether replicas must stop receiving before their logs are compared.
///
/// A primary that this VM cannot reach may go on acknowledging commits that
/// one replica has received.
bool FailoverController::mustPauseReplicas(const DatabaseId &Group,
                                           const Attempt &Current) const {
  return m_Hooks.SyncReplicas(Group) > 0 && !Current.Planned;
}

/// @brief Whether every reply was sent by a replica that had stopped.
bool FailoverController::Attempt::hasFinalLogEnds() const {
  return PauseTerm &&
         std::all_of(Statuses.begin(), Statuses.end(),
                     [this](const auto &Entry) {
                       return Entry.second.HighestTerm < *PauseTerm;
                     });
}

/// @brief Whether a replica may be promoted.
///
/// After a failure in a group with synchronous replicas, the only other copy of
/// an acknowledged commit may be on a draining replica, which receives until it
/// ends, or in an evacuated data centre. That replica is promoted for its
/// commits, and then replaced like any primary that must move.
bool FailoverController::isCandidate(const DatabaseId &Group,
                                     const Attempt &Current,
                                     const TargetId &Id) const {
  return m_Targets.acceptsOperations(Id) || mustPauseReplicas(Group, Current);
}

/// @brief Drops the replies of replicas whose data centre was evacuated while
/// they were asked.
void FailoverController::dropEvacuated(const DatabaseId &Group,
                                       Attempt &Current) {
  for (auto Entry = Current.Statuses.begin();
       Entry != Current.Statuses.end();) {
    bool Dropped = m_Targets.isEvacuated(Entry->first) &&
                   !isCandidate(Group, Current, Entry->first);
    Entry = Dropped ? Current.Statuses.erase(Entry) : std::next(Entry);
  }
}

} // namespace bergamotstage::pooling
