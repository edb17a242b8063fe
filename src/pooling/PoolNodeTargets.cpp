#include "bergamotstage/pooling/PoolNode.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

// The list of targets and what follows from its changes.

namespace bergamotstage::pooling {

const std::vector<VmId> &PoolNode::owners(const TargetId &Id) const {
  const TargetEntry *Target = m_Targets.find(Id);
  DataCentreId TargetDataCentre =
      Target == nullptr ? DataCentreId() : Target->DataCentre;
  return m_Members.ownerOrder(Id.value(), TargetDataCentre);
}

AccountId PoolNode::anyAccount() const {
  if (m_Config->Accounts.empty())
    return AccountId("-");
  return m_Config->Accounts.begin()->first;
}

void PoolNode::onTargetListed(Instant Now, const TargetEntry &Entry) {
  setTime(Now);
  applyTargets({Entry}, {});
  dispatchLocalMessages();
}

void PoolNode::onTargetRemoved(Instant Now, const TargetId &Id) {
  setTime(Now);
  applyTargets({}, {Id});
  dispatchLocalMessages();
}

void PoolNode::onTargetsListed(Instant Now,
                               const std::vector<TargetEntry> &All) {
  setTime(Now);
  applyAllTargets(All);
  m_Readers.onTargetsListed();
  dispatchLocalMessages();
}

void PoolNode::onStoreResponse(Instant Now) {
  setTime(Now);
  m_Readers.onStoreResponse();
}

/// @brief Updates one entry of the table.
/// @return whether anything but the version of the row changed
bool PoolNode::applyTarget(const TargetEntry &Entry) {
  TargetTable::Change Change = m_Targets.apply(Entry, m_Context.now());
  if (Change == TargetTable::Change::None ||
      Change == TargetTable::Change::Rewritten)
    return false;
  m_Context.log(WriteLog::Level::Info, "target_listed",
                {{"target", Entry.Id.value()},
                 {"group", Entry.Group.value()},
                 {"draining", Entry.Draining ? "yes" : "no"},
                 {"leads", Entry.ReportsPrimary ? "yes" : "no"},
                 {"version", std::to_string(Entry.Version)}});
  if (Change == TargetTable::Change::Restarted)
    dropPool(Entry.Id, "the target was restarted");
  return true;
}

/// @brief Applies changes of entries, and what follows from them once for all.
void PoolNode::applyTargets(const std::vector<TargetEntry> &Changed,
                            const std::vector<TargetId> &Removed) {
  std::vector<TargetId> Ids;
  std::set<DatabaseId> Groups;
  for (const TargetEntry &Entry : Changed)
    if (applyTarget(Entry)) {
      Ids.push_back(Entry.Id);
      Groups.insert(Entry.Group);
    }
  bool Listed = !Ids.empty();
  for (const TargetId &Id : Removed)
    if (m_Targets.remove(Id, m_Context.now())) {
      Ids.push_back(Id);
      m_Context.log(WriteLog::Level::Info, "target_unlisted",
                    {{"target", Id.value()}});
    }
  if (Listed) {
    limitPools();
    m_Failover.checkGroups({Groups.begin(), Groups.end()});
    m_Sessions.retryDeferred();
  }
  m_Readers.onTargetsChanged(Ids);
}

void PoolNode::applyAllTargets(const std::vector<TargetEntry> &All) {
  std::set<TargetId> Listed;
  for (const TargetEntry &Entry : All)
    Listed.insert(Entry.Id);
  std::vector<TargetId> Removed;
  for (const auto &[Id, Target] : m_Targets.entries())
    if (Listed.count(Id) == 0)
      Removed.push_back(Id);
  applyTargets(All, Removed);
}

void PoolNode::onReachabilityChanged(const TargetId &Id, bool Reachable) {
  const TargetEntry *Target = m_Targets.find(Id);
  if (Target == nullptr)
    return;
  if (Reachable) {
    m_Sessions.retryDeferred();
    return;
  }
  m_Selector.markUnreachable(Id);
  if (m_Targets.primary(Target->Group) != Id)
    return;
  PrimarySuspected Message{Target->Group, Id};
  auto Lease = m_Rows.promotionLease(Target->Group);
  if (Lease && Lease->Holder != m_Context.self())
    send(Lease->Holder, FleetMessage(Message));
  bool HolderLost = !Lease || m_Health.isLost(Lease->Holder);
  // Copied because send() may change the members.
  std::vector<VmId> Candidates = leaseCandidates(Target->Group);
  if (HolderLost && !Candidates.empty() &&
      Candidates.front() != m_Context.self())
    send(Candidates.front(), FleetMessage(Message));
  if (HolderLost)
    acquireLeaseIfFirst(Target->Group);
  m_Failover.onPrimarySuspected(Target->Group, Id);
}

void PoolNode::onPromoted(const DatabaseId &Group, const TargetId &Id,
                          Term NewTerm) {
  m_Targets.recordPromotion(Group, Id, NewTerm);
  if (m_AdaptsPace)
    limitPools();
  m_Sessions.retryDeferred();
}

} // namespace bergamotstage::pooling
