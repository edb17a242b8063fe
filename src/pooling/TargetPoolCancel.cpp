#include "bergamotstage/pooling/TargetPool.h"

#include <vector>

// The part of TargetPool that ends operations before their targets have
// answered them.

namespace bergamotstage::pooling {

void TargetPool::abortOperation(const OperationId &Id) {
  auto Found = m_Operations.find(Id);
  if (Found == m_Operations.end())
    return;
  QueueEntry &Dropped = Found->second;
  bool InFlight =
      Dropped.State == Phase::Running || Dropped.State == Phase::Beginning;
  if (InFlight) {
    Dropped.Aborted = true;
    return;
  }
  std::optional<LinkId> AssignedLink = Dropped.AssignedLink;
  m_Operations.erase(Found);
  if (AssignedLink) {
    PoolLink &Link = m_Links.at(*AssignedLink);
    Link.ActiveOperation.reset();
    rollBack(Link);
  }
  dispatchWaiting();
}

void TargetPool::withdrawStatement(const OperationId &Id) {
  auto Found = m_Operations.find(Id);
  if (Found == m_Operations.end())
    return;
  Found->second.Withdrawn = true;
  if (Found->second.State != Phase::Waiting)
    return;
  rejectOperation(Id, NotRunReason::Withdrawn);
  dispatchWaiting();
}

void TargetPool::abortOperationsFrom(const VmId &Origin) {
  std::vector<OperationId> Dropped;
  for (const auto &[Id, Operation] : m_Operations)
    if (Id.Origin == Origin)
      Dropped.push_back(Id);
  for (const OperationId &Id : Dropped)
    abortOperation(Id);
}

void TargetPool::refuseWaiting() {
  std::vector<OperationId> Refused;
  for (const auto &[Id, Operation] : m_Operations)
    if (Operation.State == Phase::Waiting && !Operation.AssignedLink)
      Refused.push_back(Id);
  for (const OperationId &Id : Refused)
    rejectOperation(Id, NotRunReason::Leaving);
}

void TargetPool::stopSending() {
  if (m_SendingStopped)
    return;
  m_SendingStopped = true;
  m_AcceptsOperations = false;
  refuseWaiting();
  std::vector<LinkId> Unused;
  for (const auto &[Id, Link] : m_Links) {
    bool InFlight = !Link.Unanswered.empty();
    if (Link.Open && !InFlight)
      Unused.push_back(Id);
  }
  for (LinkId Id : Unused)
    dropLink(Id, true);
}

void TargetPool::shutDown(const std::string &Reason) {
  m_AcceptsOperations = false;
  m_Context.log(WriteLog::Level::Info, "target_released",
                {{"target", m_Id.value()},
                 {"reason", Reason},
                 {"jobs", std::to_string(m_Operations.size())}});
  std::vector<OperationId> Refused;
  for (const auto &[Id, Operation] : m_Operations)
    if (!Operation.AssignedLink)
      Refused.push_back(Id);
  for (const OperationId &Id : Refused)
    rejectOperation(Id, NotRunReason::Leaving);
  while (!m_Links.empty())
    dropLink(m_Links.begin()->first, true);
  while (!m_ControlRequests.empty())
    completeControlRequest(m_ControlRequests.begin()->first, std::nullopt);
}

} // namespace bergamotstage::pooling
