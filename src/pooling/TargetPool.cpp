#include "bergamotstage/pooling/TargetPool.h"

#include "bergamotstage/core/Invariant.h"

#include <algorithm>
#include <utility>

namespace bergamotstage::pooling {
namespace {

/// Delay before a statement is retried on a busy target.
constexpr Duration BusyRetryDelay = milliseconds(5);
/// Service time assumed before any was measured.
constexpr double InitialServiceSeconds = 0.02;
/// Detects a target that fails 40% of its statements after about ten of them.
constexpr double FailureWeight = 0.1;
constexpr Duration MinRetryAfter = milliseconds(20);

/// @brief Whether an operation is a single read that needs the primary.
bool isPrimaryRead(const OperationRequest &Request) {
  return Request.Mode == Access::Primary && !Request.First.writes();
}

} // namespace

TargetPool::TargetPool(Context &Ctx, TargetId Id, DatabaseId Group,
                       std::string Address, Hooks Callbacks)
    : m_Context(Ctx), m_Id(std::move(Id)), m_Group(std::move(Group)),
      m_Address(std::move(Address)), m_Hooks(std::move(Callbacks)),
      m_ServiceSeconds(InitialServiceSeconds) {}

bool TargetPool::opensTransaction(const QueueEntry &Next) {
  return !Next.TransactionOpen &&
         (isTransaction(Next.Request.Mode) || isPrimaryRead(Next.Request));
}

TargetPool::~TargetPool() {
  if (m_TickTimer)
    m_Context.timers().cancel(*m_TickTimer);
}

unsigned TargetPool::waitingCount() const {
  return static_cast<unsigned>(std::count_if(
      m_Operations.begin(), m_Operations.end(),
      [](const auto &Entry) { return Entry.second.State == Phase::Waiting; }));
}

void TargetPool::enqueue(OperationRequest Request) {
  auto Reject = [&](NotRunReason Reason) {
    m_Hooks.Refused(Reason, Request.Priority);
    m_Hooks.Reply(Request.Id, makeNotRunResult(Reason));
  };
  if (!m_AcceptsOperations)
    return Reject(NotRunReason::Leaving);
  // An aborted operation that still runs may have this id; its reply would be
  // taken for one to the new operation.
  if (m_Unreachable || m_Operations.count(Request.Id) > 0)
    return Reject(NotRunReason::Unreachable);
  if (auto Fault = admissionFault(Request))
    return Reject(*Fault);
  QueueEntry Queued;
  Queued.WaitingSince = m_Context.now();
  Queued.Deadline = m_Context.now() + Request.QueueTime;
  Queued.ArrivalNumber = ++m_LastArrivalNumber;
  OperationId Id = Request.Id;
  Queued.Request = std::move(Request);
  m_Operations[Id] = std::move(Queued);
  dispatchWaiting();
  refuseHopeless();
}

void TargetPool::enqueueNext(const OperationId &Id, Statement Stmt,
                             const std::optional<SharedValues> &Values,
                             Duration QueueTime) {
  auto Found = m_Operations.find(Id);
  if (Found == m_Operations.end() || Found->second.State != Phase::Idle) {
    StatementResult Result;
    Result.Outcome = StatementResult::Kind::NotRun;
    Result.Reason = NotRunReason::Unreachable;
    return m_Hooks.Reply(Id, std::move(Result));
  }
  QueueEntry &Open = Found->second;
  Open.Request.First = std::move(Stmt);
  if (Values)
    Open.Request.Values = *Values;
  Open.State = Phase::Waiting;
  Open.WaitingSince = m_Context.now();
  Open.Deadline = m_Context.now() + QueueTime;
  dispatchWaiting();
}

void TargetPool::reply(const QueueEntry &Operation, StatementResult Result) {
  if (Operation.Aborted)
    return;
  Result.Load = load();
  m_Hooks.Reply(Operation.Request.Id, std::move(Result));
}

StatementResult TargetPool::makeNotRunResult(NotRunReason Reason) const {
  StatementResult Result;
  Result.Reason = Reason;
  Result.RetryAfter = std::max(MinRetryAfter, expectedWait());
  Result.Load = load();
  return Result;
}

TargetLoad TargetPool::load() const {
  TargetLoad Load;
  Load.Queued = waitingCount();
  Load.FailedPermille =
      static_cast<unsigned>(m_FailureRate * TargetLoad::Permille);
  Load.Wait = expectedWait() + timeUntilSlot();
  Load.Service = scaled(seconds(1), m_ServiceSeconds);
  Load.Pace = m_Limits.AdaptivePace ? m_Pace.pace() : 0;
  return Load;
}

void TargetPool::recordOutcome(bool Failed) {
  m_FailureRate += FailureWeight * ((Failed ? 1 : 0) - m_FailureRate);
}

/// @param RetryAfter least time that the reply tells to wait
void TargetPool::rejectOperation(const OperationId &Id, NotRunReason Reason,
                                 Duration RetryAfter) {
  auto Found = m_Operations.find(Id);
  QueueEntry Refused = std::move(Found->second);
  m_Operations.erase(Found);
  if (Refused.AssignedLink) {
    PoolLink &Link = m_Links.at(*Refused.AssignedLink);
    Link.ActiveOperation.reset();
    rollBack(Link);
  }
  refuse(Refused, Reason, RetryAfter);
}

/// @brief Counts a refusal and replies that the statement was not run.
void TargetPool::refuse(const QueueEntry &Operation, NotRunReason Reason,
                        Duration RetryAfter) {
  m_Hooks.Refused(Reason, Operation.Request.Priority);
  StatementResult Result = makeNotRunResult(Reason);
  Result.RetryAfter = std::max(Result.RetryAfter, RetryAfter);
  reply(Operation, std::move(Result));
}

void TargetPool::failOperation(const OperationId &Id) {
  auto Found = m_Operations.find(Id);
  if (Found == m_Operations.end())
    return;
  QueueEntry Lost = std::move(Found->second);
  m_Operations.erase(Found);
  StatementResult Result;
  bool InFlight = Lost.State == Phase::Running;
  if (InFlight) {
    recordOutcome(true);
    recordPace(Lost, ErrorCode::Timeout);
  }
  Result.Outcome =
      InFlight ? StatementResult::Kind::Lost : StatementResult::Kind::NotRun;
  Result.Reason = NotRunReason::Unreachable;
  // An idle transaction has no request to answer: its next statement fails.
  if (Lost.State != Phase::Idle)
    reply(Lost, std::move(Result));
}

TargetPool::QueueEntry *TargetPool::nextDispatchable() {
  std::vector<QueueEntry *> Entries;
  bool HeldBack = false;
  for (const admission::WaitingWork &Work : sortedWaiting(Entries)) {
    if (m_SlotsUsed >= usableSlots())
      return nullptr;
    QueueEntry *Next = Entries[Work.Key];
    if (Next->NotBefore > m_Context.now())
      continue;
    // Statements that come later in the order must not take its turn.
    HeldBack = HeldBack || !mayStart(*Next);
    if (HeldBack && needsSlot(Next->Request.First.Kind))
      continue;
    if (Next->AssignedLink || acquireLink(*Next))
      return Next;
  }
  return nullptr;
}

void TargetPool::dispatchWaiting() {
  while (m_SlotsUsed < usableSlots()) {
    QueueEntry *Next = nextDispatchable();
    if (Next == nullptr)
      break;
    dispatch(*Next);
  }
  if (!m_Operations.empty())
    armTick();
}

void TargetPool::acquireSlot(PoolLink &Link) {
  BERGAMOTSTAGE_INVARIANT(!Link.HoldsSlot, "a link holds one slot");
  Link.HoldsSlot = true;
  ++m_SlotsUsed;
}

void TargetPool::releaseSlot(PoolLink &Link) {
  if (!Link.HoldsSlot)
    return;
  Link.HoldsSlot = false;
  BERGAMOTSTAGE_INVARIANT(m_SlotsUsed > 0, "a slot is released once");
  --m_SlotsUsed;
}

void TargetPool::send(PoolLink &Link, const LinkRequest &Request) {
  PoolLink::InFlight Sent;
  Sent.Type = Request.Type;
  Sent.SentAt = m_Context.now();
  Sent.IssuedBy = Link.ActiveOperation;
  Sent.ControlRequestId = Link.ControlRequestId;
  Link.Unanswered.push_back(Sent);
  Link.LastUsedAt = m_Context.now();
  chargeColdBound(Request.Type);
  m_Hooks.Send(Link.Id, Request);
}

void TargetPool::dispatch(QueueEntry &Next) {
  PoolLink &Link = m_Links.at(*Next.AssignedLink);
  BERGAMOTSTAGE_INVARIANT(Link.ActiveOperation &&
                              !(*Link.ActiveOperation < Next.Request.Id) &&
                              !(Next.Request.Id < *Link.ActiveOperation) &&
                              Link.Account == Next.Request.Account,
                          "a link runs statements of one operation at a time");
  if (needsSlot(Next.Request.First.Kind))
    acquireSlot(Link);
  Next.SentAt = m_Context.now();
  chargeSlotTime(Next);
  restoreSession(Link, Next);
  if (!opensTransaction(Next))
    return sendStatement(Next, Link);
  // The statement waits for the reply: after a refused begin it would run
  // outside of a transaction.
  Next.State = Phase::Beginning;
  LinkRequest Begin;
  bool ReadOnly = Next.Request.Mode == Access::ReplicaTransaction;
  Begin.Type =
      ReadOnly ? LinkRequest::Kind::BeginReadOnly : LinkRequest::Kind::Begin;
  if (ReadOnly)
    Begin.After = Next.Request.RequiredPosition;
  send(Link, Begin);
}

void TargetPool::restoreSession(PoolLink &Link, const QueueEntry &Next) {
  static const SessionValues None;
  const SessionValues &Values =
      Next.Request.Values ? *Next.Request.Values : None;
  const SessionValues &Old = Link.Values ? *Link.Values : None;
  bool Stale = std::any_of(Old.begin(), Old.end(), [&](const auto &Entry) {
    return Values.count(Entry.first) == 0;
  });
  if (Stale) {
    LinkRequest Clear;
    Clear.Type = LinkRequest::Kind::ClearSession;
    send(Link, Clear);
    Link.Prepared.clear();
  }
  for (const auto &[Name, Value] : Values) {
    auto OldValue = Old.find(Name);
    if (!Stale && OldValue != Old.end() && OldValue->second == Value)
      continue;
    LinkRequest Set;
    Set.Type = LinkRequest::Kind::SetValue;
    Set.Name = Name;
    Set.Value = Value;
    send(Link, Set);
  }
  Link.Values = Next.Request.Values;
  const Statement &Stmt = Next.Request.First;
  if (Stmt.Kind != Verb::Execute || Link.Prepared.count(Stmt.Prepared) > 0)
    return;
  LinkRequest Prepare;
  Prepare.Type = LinkRequest::Kind::Prepare;
  Prepare.Name = "p" + std::to_string(++Link.LastPreparedNumber);
  Prepare.Prepared = Stmt.Prepared;
  Link.Prepared[Stmt.Prepared] = Prepare.Name;
  send(Link, Prepare);
}

void TargetPool::sendStatement(QueueEntry &Operation, PoolLink &Link) {
  Operation.State = Phase::Running;
  LinkRequest Request;
  Request.Stmt = Operation.Request.First;
  if (Operation.Request.Mode == Access::Replica)
    Request.After = Operation.Request.RequiredPosition;
  if (Request.Stmt.Kind == Verb::Execute)
    Request.Name = Link.Prepared.at(Request.Stmt.Prepared);
  bool PrimaryRead = isPrimaryRead(Operation.Request);
  send(Link, Request);
  if (PrimaryRead)
    rollBack(Link);
}

void TargetPool::onLinkReply(LinkId Id, LinkReply Reply) {
  onDataReceived();
  PoolLink &Link = m_Links.at(Id);
  if (Link.Unanswered.empty()) {
    m_Context.log(WriteLog::Level::Error, "surplus_answer",
                  {{"target", m_Id.value()}});
    dropLink(Id, true);
    return dispatchWaiting();
  }
  PoolLink::InFlight Sent = Link.Unanswered.front();
  Link.Unanswered.pop_front();
  switch (Sent.Type) {
  case LinkRequest::Kind::Begin:
  case LinkRequest::Kind::BeginReadOnly:
    onBeginReply(Link, Sent, Reply);
    break;
  case LinkRequest::Kind::CallerStatement:
    onStatementReply(Link, Sent, std::move(Reply));
    break;
  case LinkRequest::Kind::Rollback:
    if (Reply.State != SessionState::Idle)
      dropLink(Id, true);
    else
      releaseLink(Link);
    break;
  case LinkRequest::Kind::ClearSession:
  case LinkRequest::Kind::SetValue:
  case LinkRequest::Kind::Prepare:
    if (Reply.Error) {
      m_Context.log(WriteLog::Level::Error, "session_not_restored",
                    {{"target", m_Id.value()},
                     {"error", errorName(*Reply.Error)},
                     {"text", Reply.ErrorText}});
      dropLink(Id, true);
    }
    break;
  default:
    Link.ControlRequestId.reset();
    completeControlRequest(*Sent.ControlRequestId, std::move(Reply));
    break;
  }
  dispatchControlRequests();
  dispatchWaiting();
}

void TargetPool::onBeginReply(PoolLink &Link, const PoolLink::InFlight &Sent,
                              const LinkReply &Reply) {
  bool IsPrimary = Sent.Type == LinkRequest::Kind::Begin && !Reply.Error &&
                   Reply.State == SessionState::InTransaction && Reply.Position;
  if (IsPrimary) {
    m_ProvenAt = Sent.SentAt;
    m_ProvenPosition = Reply.Position;
    m_Hooks.PositionProven(m_Id, Sent.SentAt, *Reply.Position);
  }
  if (Sent.ControlRequestId) {
    Link.ControlRequestId.reset();
    if (Reply.State == SessionState::InTransaction)
      rollBack(Link);
    return completeControlRequest(*Sent.ControlRequestId, Reply);
  }
  auto Found = m_Operations.find(*Sent.IssuedBy);
  if (Found == m_Operations.end())
    return dropLink(Link.Id, true);
  QueueEntry &Operation = Found->second;
  bool Opened = !Reply.Error && Reply.State == SessionState::InTransaction;
  bool MaySend =
      !Operation.Aborted && !Operation.Withdrawn && !m_SendingStopped;
  if (Opened && MaySend) {
    Operation.TransactionOpen = true;
    return sendStatement(Operation, Link);
  }
  releaseSlot(Link);
  LinkId AssignedLink = Link.Id;
  Link.ActiveOperation.reset();
  QueueEntry Ended = std::move(Operation);
  m_Operations.erase(Found);
  if (Opened && m_SendingStopped) {
    dropLink(AssignedLink, true);
    return refuse(Ended, NotRunReason::Leaving);
  }
  if (Opened)
    rollBack(Link);
  else if (Reply.State != SessionState::Idle)
    dropLink(AssignedLink, true);
  if (Opened && Ended.Withdrawn)
    return refuse(Ended, NotRunReason::Withdrawn);
  StatementResult Result;
  Result.Outcome = StatementResult::Kind::Answered;
  Result.Error = Reply.Error.value_or(ErrorCode::Other);
  Result.ErrorText = Reply.ErrorText;
  reply(Ended, std::move(Result));
}

void TargetPool::requeue(QueueEntry &Operation) {
  Operation.State = Phase::Waiting;
  Operation.NotBefore = m_Context.now() + BusyRetryDelay;
  if (isTransaction(Operation.Request.Mode))
    return;
  Operation.AssignedLink.reset();
  Operation.TransactionOpen = false;
}

void TargetPool::onStatementReply(PoolLink &Link,
                                  const PoolLink::InFlight &Sent,
                                  LinkReply Reply) {
  releaseSlot(Link);
  auto Found = m_Operations.find(*Sent.IssuedBy);
  if (Found == m_Operations.end())
    return dropLink(Link.Id, true);
  QueueEntry &Operation = Found->second;
  bool Commits = Operation.Request.First.Kind == Verb::Commit;
  bool Single = !isTransaction(Operation.Request.Mode);
  Duration ServiceTime = m_Context.now() - Operation.SentAt;
  recordSlotTime(Operation, ServiceTime, Reply.Error == ErrorCode::Busy);
  recordPace(Operation, Reply.Error);
  recordOutcome(Reply.Error == ErrorCode::Failed ||
                Reply.Error == ErrorCode::Timeout ||
                Reply.Error == ErrorCode::Busy);
  bool RetryBusy = !m_SendingStopped && Reply.Error == ErrorCode::Busy &&
                   m_Context.now() + BusyRetryDelay < Operation.Deadline &&
                   !Operation.Aborted && !Operation.Withdrawn;
  if (RetryBusy && Single) {
    Link.ActiveOperation.reset();
    requeue(Operation);
    releaseLink(Link);
    return;
  }
  if (RetryBusy && Reply.State == SessionState::InTransaction)
    return requeue(Operation);

  StatementResult Result;
  Result.Outcome = StatementResult::Kind::Answered;
  Result.Error = Reply.Error;
  Result.ErrorText = std::move(Reply.ErrorText);
  Result.Rows = std::move(Reply.Rows);
  Result.Signature = std::move(Reply.Signature);
  Result.Position = Reply.Position;
  Result.State = Single ? SessionState::Idle : Reply.State;
  bool Writes = Commits || Operation.Request.First.writes();
  Result.PrimaryProven = !Reply.Error && needsPrimary(Operation.Request.Mode) &&
                         (Single || !Commits);
  if (Result.PrimaryProven && Reply.Position && (Single || !Writes)) {
    m_ProvenAt = Sent.SentAt;
    m_ProvenPosition = Reply.Position;
  }
  bool Finished = Single || Reply.State == SessionState::Idle;
  if (!Finished && !Operation.Aborted) {
    Operation.State = Phase::Idle;
    Operation.WaitingSince = m_Context.now();
    reply(Operation, std::move(Result));
    if (m_SendingStopped)
      dropLink(Link.Id, true);
    return;
  }
  QueueEntry Ended = std::move(Operation);
  m_Operations.erase(Found);
  Link.ActiveOperation.reset();
  if (m_SendingStopped)
    dropLink(Link.Id, true);
  else if (!Finished)
    rollBack(Link);
  else
    releaseLink(Link);
  reply(Ended, std::move(Result));
}

void TargetPool::rollBack(PoolLink &Link) {
  LinkRequest End;
  End.Type = LinkRequest::Kind::Rollback;
  send(Link, End);
}

/// @brief Frees a link whose operation has ended.
void TargetPool::releaseLink(PoolLink &Link) {
  if (Link.ActiveOperation && m_Operations.count(*Link.ActiveOperation) == 0)
    Link.ActiveOperation.reset();
}

} // namespace bergamotstage::pooling
