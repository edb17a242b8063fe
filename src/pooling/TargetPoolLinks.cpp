#include "bergamotstage/pooling/TargetPool.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace bergamotstage::pooling {
namespace {

/// Interval between checks of deadlines.
constexpr Duration TickInterval = milliseconds(25);
/// A target with requests in flight that sends nothing for this time is probed
/// by a new connection. This is twice the usual maximum statement duration.
constexpr Duration ProbeAfterSilence = milliseconds(350);
/// Also for control requests; several times the duration of a handshake.
constexpr Duration ProbeTimeout = milliseconds(350);
/// Interval between probes of an unreachable target.
constexpr Duration ReprobeInterval = milliseconds(300);
/// For rollbacks and other requests without a slot, which take a round trip.
constexpr Duration CleanupTimeout = seconds(1);
/// A handshake takes 10 to 30 ms; after this time the connection is dead.
constexpr Duration OpenTimeout = seconds(1);
/// Wait for a busy link of the account before another one is opened: a new
/// connection occupies a slot for about as long as one statement.
constexpr Duration ExtraLinkDelay = milliseconds(20);
/// Backoff after the target refused a connection because of its limit.
constexpr Duration LinkLimitBackoff = milliseconds(150);
constexpr Duration ReopenBackoff = milliseconds(50);
/// Consecutive connection failures before the target is unreachable.
constexpr unsigned FailuresBeforeUnreachable = 2;

} // namespace

std::optional<LinkId> TargetPool::findIdleLink(const AccountId &Account) const {
  std::optional<LinkId> Best;
  Instant BestUsed{};
  for (const auto &[Id, Link] : m_Links) {
    bool Fits = Link.isFree() && Link.Account == Account;
    if (Fits && (!Best || Link.LastUsedAt > BestUsed)) {
      Best = Id;
      BestUsed = Link.LastUsedAt;
    }
  }
  return Best;
}

bool TargetPool::acquireLink(QueueEntry &Operation) {
  if (auto Idle = findIdleLink(Operation.Request.Account)) {
    Operation.AssignedLink = Idle;
    m_Links.at(*Idle).ActiveOperation = Operation.Request.Id;
    return true;
  }
  if (mayOpenLink(Operation))
    openLink(Operation.Request.Account);
  return false;
}

bool TargetPool::mayOpenLink(const QueueEntry &Operation) const {
  if (m_Context.now() < m_NoOpenBefore || m_Unreachable)
    return false;
  unsigned LinksOfAccount = 0;
  for (const auto &[Id, Link] : m_Links) {
    if (Link.Account != Operation.Request.Account)
      continue;
    // The link being opened can serve any operation of the account.
    if (!Link.Open)
      return false;
    ++LinksOfAccount;
  }
  if (usesUrgency() && LinksOfAccount >= accountLinkLimit())
    return false;
  return LinksOfAccount == 0 ||
         m_Context.now() - Operation.WaitingSince >= ExtraLinkDelay;
}

bool TargetPool::openLink(const AccountId &Account) {
  if (m_Links.size() >= m_Limits.MaxLinks && !evictIdleLink())
    return false;
  PoolLink Created;
  Created.Id = m_Context.nextLinkId();
  Created.Account = Account;
  Created.OpenedAt = m_Context.now();
  LinkId Id = Created.Id;
  PoolLink &Link = m_Links[Id] = std::move(Created);
  acquireSlot(Link);
  m_Hooks.Open(Id, LinkTarget{m_Id, m_Address, m_Group, Account});
  armTick();
  return true;
}

bool TargetPool::evictIdleLink() {
  std::optional<LinkId> Oldest;
  for (const auto &[Id, Link] : m_Links)
    if (Link.isFree() &&
        (!Oldest || Link.LastUsedAt < m_Links.at(*Oldest).LastUsedAt))
      Oldest = Id;
  if (!Oldest)
    return false;
  dropLink(*Oldest, true);
  return true;
}

// Link events.

void TargetPool::onDataReceived() {
  m_LastReceivedAt = m_Context.now();
  m_OpenFailures = 0;
  if (!m_Unreachable)
    return;
  m_Unreachable = false;
  m_Context.log(WriteLog::Level::Info, "target_reachable",
                {{"target", m_Id.value()}, {"group", m_Group.value()}});
  m_Hooks.ReachabilityChanged(m_Id, true);
}

void TargetPool::onLinkOpened(
    LinkId Id, const std::optional<HistoryPoint> & /*Position*/) {
  PoolLink &Link = m_Links.at(Id);
  Link.Open = true;
  Link.LastUsedAt = m_Context.now();
  if (m_ProbeLink == Id)
    m_ProbeLink.reset();
  releaseSlot(Link);
  m_Pace.onOpened();
  onDataReceived();
  dispatchControlRequests();
  dispatchWaiting();
}

void TargetPool::onLinkRefused(LinkId Id, ErrorCode Code) {
  m_Context.log(WriteLog::Level::Warning, "link_refused",
                {{"target", m_Id.value()},
                 {"reason", errorName(Code)},
                 {"links", std::to_string(m_Links.size())}});
  dropLink(Id, false);
  if (Code == ErrorCode::WrongTarget)
    return markUnreachable("the address belongs to another target");
  onDataReceived();
  m_NoOpenBefore = m_Context.now() + LinkLimitBackoff;
  dispatchWaiting();
}

void TargetPool::onLinkFailed(LinkId Id, const std::string &Reason) {
  const PoolLink &Link = m_Links.at(Id);
  bool WasOpen = Link.Open;
  bool Busy = !Link.Unanswered.empty() || Link.ActiveOperation;
  if (!WasOpen || Busy)
    m_Context.log(WriteLog::Level::Warning, "link_failed",
                  {{"target", m_Id.value()},
                   {"reason", Reason},
                   {"open", WasOpen ? "yes" : "no"}});
  dropLink(Id, false);
  if (!WasOpen) {
    ++m_OpenFailures;
    m_NoOpenBefore = m_Context.now() + ReopenBackoff;
    bool RecentlyReceived =
        m_Context.now() - m_LastReceivedAt < ProbeAfterSilence;
    if (m_OpenFailures >= FailuresBeforeUnreachable && !RecentlyReceived)
      markUnreachable("connections failed: " + Reason);
  }
  dispatchWaiting();
}

void TargetPool::dropLink(LinkId Id, bool CloseConnection) {
  auto Found = m_Links.find(Id);
  if (Found == m_Links.end())
    return;
  PoolLink Dropped = std::move(Found->second);
  releaseSlot(Dropped);
  m_Links.erase(Found);
  if (m_ProbeLink == Id)
    m_ProbeLink.reset();
  if (CloseConnection)
    m_Hooks.Close(Id);
  if (Dropped.ControlRequestId)
    completeControlRequest(*Dropped.ControlRequestId, std::nullopt);
  if (Dropped.ActiveOperation)
    failOperation(*Dropped.ActiveOperation);
}

// Control requests.

void TargetPool::provePrimary(const AccountId &Account, Duration MaxAge,
                              ProofCallback Callback) {
  bool Fresh = m_ProvenPosition && m_Context.now() - m_ProvenAt <= MaxAge;
  if (Fresh)
    return Callback(m_ProvenPosition, m_ProvenAt);
  Instant RequestedAt = m_Context.now();
  LinkRequest Begin;
  Begin.Type = LinkRequest::Kind::Begin;
  sendControlRequest(Account, std::move(Begin),
                     [this, RequestedAt, Callback = std::move(Callback)](
                         const std::optional<LinkReply> &Reply) {
                       bool IsPrimary =
                           Reply && !Reply->Error && Reply->Position &&
                           Reply->State == SessionState::InTransaction;
                       if (!IsPrimary)
                         return Callback(std::nullopt, RequestedAt);
                       Callback(Reply->Position, RequestedAt);
                     });
}

void TargetPool::sendControlRequest(const AccountId &Account,
                                    LinkRequest Request,
                                    ReplyCallback Callback) {
  if (m_Unreachable)
    return Callback(std::nullopt);
  m_ControlRequests[++m_LastControlRequestId] = {
      Account, std::move(Request), std::move(Callback),
      m_Context.now() + ProbeTimeout};
  dispatchControlRequests();
  armTick();
}

void TargetPool::dispatchControlRequests() {
  for (auto &[Number, Next] : m_ControlRequests) {
    bool InFlight = std::any_of(
        m_Links.begin(), m_Links.end(), [Number = Number](const auto &Entry) {
          return Entry.second.ControlRequestId == Number;
        });
    if (InFlight)
      continue;
    std::optional<LinkId> Free;
    bool Opening = false;
    for (const auto &[Id, Link] : m_Links) {
      Opening = Opening || !Link.Open;
      if (Link.isFree())
        Free = Id;
    }
    if (Free) {
      PoolLink &Link = m_Links.at(*Free);
      Link.ControlRequestId = Number;
      send(Link, Next.Request);
      continue;
    }
    if (!Opening && m_Context.now() >= m_NoOpenBefore)
      openLink(Next.Account);
  }
}

void TargetPool::completeControlRequest(std::uint64_t Number,
                                        std::optional<LinkReply> Reply) {
  auto Found = m_ControlRequests.find(Number);
  if (Found == m_ControlRequests.end())
    return;
  ReplyCallback Callback = std::move(Found->second.Callback);
  m_ControlRequests.erase(Found);
  Callback(std::move(Reply));
}

// Timers.

void TargetPool::armTick() {
  if (m_TickTimer)
    return;
  bool OnlyProbes = m_Unreachable && m_Operations.empty() &&
                    m_ControlRequests.empty() && !m_ProbeLink;
  m_TickTimer = m_Context.scheduleAfter(
      OnlyProbes ? ReprobeInterval : TickInterval, [this] {
        m_TickTimer.reset();
        onTick();
      });
}

void TargetPool::onTick() {
  enforceDeadlines();
  refuseHopeless();
  checkLiveness();
  dispatchControlRequests();
  dispatchWaiting();
  bool Opening =
      std::any_of(m_Links.begin(), m_Links.end(),
                  [](const auto &Entry) { return !Entry.second.Open; });
  if (!m_Operations.empty() || !m_ControlRequests.empty() || Opening ||
      m_Unreachable)
    armTick();
}

void TargetPool::enforceDeadlines() {
  Instant Now = m_Context.now();
  std::vector<OperationId> Expired;
  std::vector<OperationId> Resting;
  std::vector<LinkId> Overdue;
  for (auto &[Id, Operation] : m_Operations) {
    bool Waits = Operation.State == Phase::Waiting;
    if (Waits && Operation.Deadline <= Now)
      Expired.push_back(Id);
    bool InFlight = Operation.State == Phase::Running ||
                    Operation.State == Phase::Beginning;
    if (InFlight &&
        Operation.SentAt + Operation.Request.StatementTimeout <= Now)
      Overdue.push_back(*Operation.AssignedLink);
    bool Idle = Operation.State == Phase::Idle &&
                Operation.WaitingSince + m_Limits.TransactionIdleTimeout <= Now;
    if (Idle) {
      m_Context.log(WriteLog::Level::Info, "transaction_idle",
                    {{"target", m_Id.value()},
                     {"origin", Id.Origin.value()},
                     {"work", std::to_string(Id.Number)}});
      Resting.push_back(Id);
    }
  }
  for (const auto &[Id, Link] : m_Links) {
    bool CleanupOverdue =
        !Link.ActiveOperation && !Link.ControlRequestId &&
        !Link.Unanswered.empty() &&
        Link.Unanswered.front().SentAt + CleanupTimeout <= Now;
    if (CleanupOverdue || (!Link.Open && Link.OpenedAt + OpenTimeout <= Now))
      Overdue.push_back(Id);
  }
  // The end of a transaction sends other statements, so that refusals come
  // first.
  for (const OperationId &Id : Expired)
    rejectOperation(Id, NotRunReason::Overloaded);
  for (const OperationId &Id : Resting)
    abortOperation(Id);
  for (LinkId Id : Overdue) {
    m_Context.log(WriteLog::Level::Warning, "link_overdue",
                  {{"target", m_Id.value()},
                   {"silent_ms", formatMilliseconds(Now - m_LastReceivedAt)}});
    dropLink(Id, true);
  }
  std::vector<std::uint64_t> TimedOut;
  for (const auto &[Number, Request] : m_ControlRequests)
    if (Request.Deadline <= Now)
      TimedOut.push_back(Number);
  for (std::uint64_t Number : TimedOut) {
    for (const auto &[Id, Link] : m_Links)
      if (Link.ControlRequestId == Number) {
        dropLink(Id, true);
        break;
      }
    completeControlRequest(Number, std::nullopt);
  }
}

void TargetPool::checkLiveness() {
  Instant Now = m_Context.now();
  if (m_ProbeLink) {
    if (m_ProbedAt + ProbeTimeout > Now)
      return;
    LinkId Probe = *m_ProbeLink;
    dropLink(Probe, true);
    // One that has sent data meanwhile is only slow to accept connections.
    if (m_LastReceivedAt < m_ProbedAt)
      markUnreachable("a probe connection was not opened in time");
    return;
  }
  bool ProbeAgain =
      m_Unreachable && !m_SendingStopped && m_ProbedAt + ReprobeInterval <= Now;
  std::optional<Instant> Oldest;
  for (const auto &[Id, Link] : m_Links) {
    auto Since = Link.awaitsReplySince();
    if (Since && (!Oldest || *Since < *Oldest))
      Oldest = Since;
  }
  bool Suspect =
      Oldest && Now - std::max(*Oldest, m_LastReceivedAt) >= ProbeAfterSilence;
  if (!ProbeAgain && !Suspect)
    return;
  // A link of a waiting operation's account can serve it afterwards.
  AccountId Account = m_Operations.empty()
                          ? m_Hooks.ProbeAccount()
                          : m_Operations.rbegin()->second.Request.Account;
  if (m_Links.size() >= m_Limits.MaxLinks && !evictIdleLink())
    return;
  PoolLink Created;
  Created.Id = m_Context.nextLinkId();
  Created.Account = Account;
  Created.OpenedAt = Now;
  m_ProbeLink = Created.Id;
  m_ProbedAt = Now;
  m_Links[Created.Id] = Created;
  m_Hooks.Open(Created.Id, LinkTarget{m_Id, m_Address, m_Group, Account});
}

void TargetPool::markUnreachable(const std::string &Reason) {
  bool WasUnreachable = m_Unreachable;
  m_Unreachable = true;
  m_ProbedAt = m_Context.now();
  m_Pace.onUnreachable(m_ProbedAt);
  armTick();
  if (WasUnreachable)
    return m_Hooks.ReachabilityChanged(m_Id, false);
  m_Context.log(
      WriteLog::Level::Warning, "target_unreachable",
      {{"target", m_Id.value()},
       {"group", m_Group.value()},
       {"reason", Reason},
       {"silent_ms", formatMilliseconds(m_Context.now() - m_LastReceivedAt)},
       {"jobs", std::to_string(m_Operations.size())}});
  std::vector<OperationId> Refused;
  std::vector<LinkId> Dropped;
  for (const auto &[Id, Operation] : m_Operations) {
    bool MayTakeEffect = Operation.State == Phase::Running &&
                         (Operation.Request.First.Kind == Verb::Commit ||
                          Operation.Request.First.writes());
    if (MayTakeEffect)
      continue;
    if (Operation.AssignedLink)
      Dropped.push_back(*Operation.AssignedLink);
    else
      Refused.push_back(Id);
  }
  for (const auto &[Id, Link] : m_Links)
    if (Link.isFree() || Link.ControlRequestId)
      Dropped.push_back(Id);
  for (const OperationId &Id : Refused)
    rejectOperation(Id, NotRunReason::Unreachable);
  for (LinkId Id : Dropped)
    dropLink(Id, true);
  m_Hooks.ReachabilityChanged(m_Id, false);
}

void TargetPool::closeUnusedLinks() {
  std::vector<LinkId> Unused;
  std::size_t Excess = m_Links.size() > m_Limits.MaxLinks
                           ? m_Links.size() - m_Limits.MaxLinks
                           : 0;
  for (const auto &[Id, Link] : m_Links) {
    bool Old = Link.LastUsedAt + m_Limits.IdleLinkTimeout <= m_Context.now();
    if (Link.isFree() && (Old || Unused.size() < Excess))
      Unused.push_back(Id);
  }
  for (LinkId Id : Unused)
    dropLink(Id, true);
}

} // namespace bergamotstage::pooling
