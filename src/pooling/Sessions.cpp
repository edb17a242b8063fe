#include "bergamotstage/pooling/Sessions.h"

#include "bergamotstage/core/Invariant.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace bergamotstage::pooling {
namespace {

/// Retry interval of operations that wait for a target.
constexpr Duration DeferredRetryInterval = milliseconds(20);
/// Multiple of the latency target for which a new statement may be queued. A
/// later result is of little use to the caller, who can retry instead.
constexpr double QueueTimeFactor = 1.2;
/// The same for a statement of an open transaction, whose earlier work a
/// timeout would discard.
constexpr double TransactionQueueTimeFactor = 2.5;
/// Suggested retry delay while all targets that could serve are excluded by an
/// operator.
constexpr Duration EvacuatedRetryAfter = seconds(2);
/// Suggested retry delay while no target is reachable.
constexpr Duration NoTargetRetryAfter = milliseconds(200);
/// Time after which an unanswered proof request may be repeated.
constexpr Duration ProofTimeout = milliseconds(250);
/// Time for which an owner that gave no proof is asked after the others.
constexpr Duration FailedProofLifetime = seconds(1);
/// Time after its retry delay in which the next operation of a session that was
/// refused for its account's rate counts as a retry.
constexpr Duration RetryGrace = milliseconds(500);
/// Maximum number of statements that a caller may pipeline.
constexpr std::size_t MaxBacklog = 64;

} // namespace

Session *Sessions::find(CallerId Caller) {
  auto Found = m_Sessions.find(Caller);
  return Found == m_Sessions.end() ? nullptr : &Found->second;
}

void Sessions::rejectSession(CallerId Caller, ErrorCode Code,
                             const char *Text) {
  CallerReply Reply;
  Reply.Error = Code;
  Reply.ErrorText = Text;
  Reply.Greeting = true;
  m_Context.log(WriteLog::Level::Info, "session_rejected",
                {{"caller", std::to_string(Caller.value())},
                 {"error", errorName(Code)},
                 {"config", std::to_string(m_Config->Version)}});
  m_Hooks.Answer(Caller, std::move(Reply));
  m_Hooks.Close(Caller);
}

void Sessions::setConfig(SharedConfig Config) {
  bool First = m_Config->Version == 0;
  m_Config = std::move(Config);
  if (!First)
    return endUnauthorizedOperations();
  std::map<CallerId, PendingStart> Pending;
  Pending.swap(m_PendingStarts);
  for (auto &[Caller, Start] : Pending) {
    onCallerOpened(Caller, std::move(Start.Database), std::move(Start.Key));
    for (Statement &Stmt : Start.Backlog)
      onStatement(Caller, std::move(Stmt));
  }
}

void Sessions::setPolicies(SitePolicies Policies) {
  m_Policies = std::move(Policies);
  for (auto &[Id, CallerSession] : m_Sessions)
    CallerSession.Reads = m_Policies.readRule(CallerSession.PolicyHash);
}

void Sessions::onCallerOpened(CallerId Caller, std::string Database,
                              std::string Key) {
  // Before the first configuration arrives, no database name is known.
  if (m_Config->Version == 0) {
    m_PendingStarts[Caller] = {std::move(Database), std::move(Key), {}};
    return;
  }
  auto Route = m_Config->Routes.find(Database);
  if (Route == m_Config->Routes.end())
    return rejectSession(Caller, ErrorCode::NoDatabase,
                         "the database does not exist");
  if (!Route->second.Open && m_Config->Keys.count(Key) == 0)
    return rejectSession(Caller, ErrorCode::NoKey, "the key is not valid");
  Session Created;
  Created.Id = Caller;
  Created.Database = std::move(Database);
  Created.Key = std::move(Key);
  Created.PolicyHash = m_Context.random()();
  Created.Reads = m_Policies.readRule(Created.PolicyHash);
  m_Sessions.emplace(Caller, std::move(Created));
  CallerReply Reply;
  Reply.Greeting = true;
  m_Hooks.Answer(Caller, std::move(Reply));
}

void Sessions::onStatement(CallerId Caller, Statement Stmt) {
  auto Pending = m_PendingStarts.find(Caller);
  if (Pending != m_PendingStarts.end())
    return queueStatement(Caller, Pending->second.Backlog, std::move(Stmt));
  Session *CallerSession = find(Caller);
  if (CallerSession == nullptr)
    return;
  bool AwaitingReply = CallerSession->Op && CallerSession->Op->AwaitingReply;
  if (!AwaitingReply)
    return execute(*CallerSession, std::move(Stmt));
  queueStatement(Caller, CallerSession->Backlog, std::move(Stmt));
}

void Sessions::queueStatement(CallerId Caller, std::deque<Statement> &Backlog,
                              Statement Stmt) {
  if (Backlog.size() < MaxBacklog)
    return Backlog.push_back(std::move(Stmt));
  m_Context.log(WriteLog::Level::Warning, "backlog_full",
                {{"caller", std::to_string(Caller.value())}});
  m_Hooks.Close(Caller);
  onCallerClosed(Caller);
}

void Sessions::onCallerClosed(CallerId Caller) {
  m_PendingStarts.erase(Caller);
  Session *CallerSession = find(Caller);
  if (CallerSession == nullptr)
    return;
  if (CallerSession->Op)
    abortOperation(*CallerSession);
  m_Sessions.erase(Caller);
}

void Sessions::execute(Session &CallerSession, Statement Stmt) {
  if (CallerSession.Op && CallerSession.Op->TransactionFailed)
    return endFailedTransaction(CallerSession, Stmt);
  switch (Stmt.Kind) {
  case Verb::SetValue:
  case Verb::Prepare:
  case Verb::Deallocate:
    return answerLocally(CallerSession, Stmt);
  case Verb::Begin:
  case Verb::BeginReadOnly:
    return beginTransaction(CallerSession, Stmt);
  case Verb::Rollback:
    if (CallerSession.Op)
      abortOperation(CallerSession);
    return finishStatement(CallerSession, {});
  case Verb::Unknown: {
    CallerReply Reply;
    Reply.Error = ErrorCode::Malformed;
    Reply.ErrorText = "the statement is not recognized";
    return finishStatement(CallerSession, std::move(Reply));
  }
  default:
    return runStatement(CallerSession, std::move(Stmt));
  }
}

void Sessions::answerLocally(Session &CallerSession, const Statement &Stmt) {
  CallerReply Reply;
  if (Stmt.Kind == Verb::SetValue) {
    auto Values = CallerSession.Values
                      ? std::make_shared<SessionValues>(*CallerSession.Values)
                      : std::make_shared<SessionValues>();
    (*Values)[Stmt.Name] = Stmt.Value;
    CallerSession.Values = std::move(Values);
  } else if (Stmt.Kind == Verb::Prepare) {
    CallerSession.Prepared[Stmt.Name] = Stmt.Prepared;
  } else if (CallerSession.Prepared.erase(Stmt.Name) == 0) {
    Reply.Error = ErrorCode::NoSuchName;
    Reply.ErrorText = "the prepared statement does not exist";
  }
  finishStatement(CallerSession, std::move(Reply));
}

void Sessions::endFailedTransaction(Session &CallerSession,
                                    const Statement &Stmt) {
  CallerReply Reply;
  std::string AbortCause = std::exchange(CallerSession.Op->AbortCause, {});
  bool KeyValid = authorizationFault(CallerSession) != ErrorCode::NoKey;
  bool Commits = Stmt.Kind == Verb::Commit;
  bool RollsBack = Stmt.Kind == Verb::Rollback;
  if (Commits || RollsBack)
    abortOperation(CallerSession);
  if (!RollsBack && !AbortCause.empty()) {
    Reply = makeRefusal(KeyValid ? ErrorCode::Aborted : ErrorCode::NoKey,
                        "the transaction was rolled back: " + AbortCause,
                        OtherVmRetryAfter);
  } else if (Commits) {
    Reply.Error = ErrorCode::Aborted;
    Reply.ErrorText = "the transaction was rolled back";
  } else if (!RollsBack) {
    Reply.Error = ErrorCode::Malformed;
    Reply.ErrorText =
        "the transaction has failed; only COMMIT or ROLLBACK is allowed";
  }
  finishStatement(CallerSession, std::move(Reply));
}

bool Sessions::startOperation(Session &CallerSession, const Statement &Stmt,
                              Access Mode) {
  CallerReply Reply;
  auto Route = m_Config->Routes.find(CallerSession.Database);
  auto Key = m_Config->Keys.find(CallerSession.Key);
  if (m_EndsTransactions) {
    Reply = makeRefusal(ErrorCode::Busy, ShutdownCause, OtherVmRetryAfter);
  } else if (Route == m_Config->Routes.end()) {
    Reply.Error = ErrorCode::NoDatabase;
    Reply.ErrorText = "the database no longer exists";
  } else if (!Route->second.Open && Key == m_Config->Keys.end()) {
    Reply.Error = ErrorCode::NoKey;
    Reply.ErrorText = KeyCause;
  }
  if (Reply.Error) {
    m_Context.log(WriteLog::Level::Info, "operation_rejected",
                  {{"request", Stmt.RequestId},
                   {"error", errorName(*Reply.Error)},
                   {"config", std::to_string(m_Config->Version)}});
    finishStatement(CallerSession, std::move(Reply));
    return false;
  }
  Operation Op;
  Op.Number = ++m_LastOperation;
  Op.Route = Route->second;
  Op.Reads = CallerSession.Reads;
  Op.Account =
      Key == m_Config->Keys.end() ? AccountId("-") : AccountId(Key->second);
  auto Account = m_Config->Accounts.find(Op.Account);
  if (Account != m_Config->Accounts.end())
    Op.AccountHomes = Account->second.Homes;
  Op.Mode = Mode;
  Op.ReplicaAllowed = !needsPrimary(Mode);
  Op.Arrived = m_Context.now();
  m_CallersByOperation[Op.Number] = CallerSession.Id;
  CallerSession.Op = std::move(Op);
  return true;
}

void Sessions::beginTransaction(Session &CallerSession, const Statement &Stmt) {
  if (CallerSession.Op) {
    CallerReply Reply;
    Reply.Error = ErrorCode::Malformed;
    Reply.ErrorText = "a transaction is already open";
    return finishStatement(CallerSession, std::move(Reply));
  }
  auto Route = m_Config->Routes.find(CallerSession.Database);
  bool UseReplica = Stmt.Kind == Verb::BeginReadOnly &&
                    Route != m_Config->Routes.end() &&
                    Route->second.Reads != Consistency::Primary;
  Access Mode =
      UseReplica ? Access::ReplicaTransaction : Access::PrimaryTransaction;
  if (startOperation(CallerSession, Stmt, Mode))
    finishStatement(CallerSession, {});
}

void Sessions::runStatement(Session &CallerSession, Statement Stmt) {
  if (Stmt.Kind == Verb::Execute) {
    auto Prepared = CallerSession.Prepared.find(Stmt.Name);
    if (Prepared == CallerSession.Prepared.end()) {
      CallerReply Reply;
      Reply.Error = ErrorCode::NoSuchName;
      Reply.ErrorText = "the prepared statement does not exist";
      return finishStatement(CallerSession, std::move(Reply));
    }
    Stmt.Prepared = Prepared->second;
  }
  if (!CallerSession.Op) {
    if (Stmt.Kind == Verb::Commit) {
      CallerReply Reply;
      Reply.Error = ErrorCode::Malformed;
      Reply.ErrorText = "no transaction is open";
      return finishStatement(CallerSession, std::move(Reply));
    }
    auto Route = m_Config->Routes.find(CallerSession.Database);
    bool UseReplica = !Stmt.writes() && Route != m_Config->Routes.end() &&
                      Route->second.Reads != Consistency::Primary;
    if (!startOperation(CallerSession, Stmt,
                        UseReplica ? Access::Replica : Access::Primary))
      return;
  }
  Operation &Op = *CallerSession.Op;
  Op.Current = std::move(Stmt);
  Op.AwaitingReply = true;
  Op.DispatchDeadline = m_Context.now() + Op.Route.LatencyTarget;
  if (Op.Dispatched)
    return sendNextStatement(CallerSession);
  if (Op.Admitted)
    return dispatch(CallerSession);
  admit(CallerSession);
}

ratelimit::Urgency Sessions::tokenUrgency(const Session &CallerSession) const {
  const RouteConfig &Route = CallerSession.Op->Route;
  return {Route.Priority, Route.LatencyTarget,
          m_Context.now() <= CallerSession.RetryExpectedUntil};
}

void Sessions::admit(Session &CallerSession) {
  CallerId Caller = CallerSession.Id;
  std::uint64_t Number = CallerSession.Op->Number;
  m_Rates.admit(CallerSession.Op->Account, tokenUrgency(CallerSession),
                [this, Caller, Number](const RateShare::Decision &Admission) {
                  Session *Remaining = find(Caller);
                  bool StillWaits = Remaining != nullptr && Remaining->Op &&
                                    Remaining->Op->Number == Number &&
                                    Remaining->Op->AwaitingReply;
                  if (!StillWaits)
                    return;
                  if (!Admission.Admitted) {
                    Remaining->RetryExpectedUntil =
                        m_Context.now() + Admission.RetryAfter + RetryGrace;
                    return refuse(*Remaining, ErrorCode::Busy,
                                  "the client account is over its rate",
                                  Admission.RetryAfter);
                  }
                  Remaining->RetryExpectedUntil = Instant();
                  Remaining->Op->Admitted = true;
                  dispatch(*Remaining);
                });
}

void Sessions::dispatch(Session &CallerSession) {
  // The configuration may have changed while the operation waited.
  if (auto Fault = authorizationFault(CallerSession))
    return refuseUnauthorized(CallerSession, *Fault);
  Operation &Op = *CallerSession.Op;
  TargetSelector::Choice Selected = m_Selector.select(CallerSession, Op);
  switch (Selected.Type) {
  case TargetSelector::Choice::Kind::NoPosition:
    requestProof(Op, m_Context.now() - Op.Arrived + Op.Route.MaxStaleness);
    return defer(CallerSession, "no proven position is young enough");
  case TargetSelector::Choice::Kind::NoPrimary:
    return defer(CallerSession, "no primary is known");
  case TargetSelector::Choice::Kind::NoOwner:
    // The excluded owners may have recovered by the next attempt.
    Op.ExcludedOwners.clear();
    Op.ExcludedTargets.clear();
    return defer(CallerSession, "no VM can reach the target");
  case TargetSelector::Choice::Kind::NotAllowed:
    return refuse(CallerSession, ErrorCode::Busy, Selected.Reason,
                  EvacuatedRetryAfter);
  case TargetSelector::Choice::Kind::Chosen:
    break;
  }
  if (!needsPrimary(Op.Mode)) {
    auto Newest = m_Selector.proofs(Op.Route.Group).newest();
    Duration RenewalAge = Op.Route.MaxStaleness / 2;
    bool Stale = !Newest || m_Context.now() - *Newest > RenewalAge;
    if (Stale)
      requestProof(Op, RenewalAge);
  }
  m_Deferred.erase(Op.Number);
  ++Op.Attempts;
  Op.Dispatched = true;
  Op.Owner = Selected.Owner;
  Op.Target = Selected.Target;
  Op.Mode = Selected.AccessMode;
  Op.SentAt = m_Context.now();
  m_Selector.recordSent(Op.Target);
  Op.SentValues = CallerSession.Values;
  OperationRequest Request;
  Request.Id = {m_Context.self(), Op.Number};
  Request.Target = Selected.Target;
  Request.Account = Op.Account;
  Request.Route = Op.Route.Name;
  Request.Mode = Selected.AccessMode;
  Request.RequiredPosition = Selected.After;
  Request.Priority = Op.Route.Priority;
  Request.QueueTime =
      std::max(Duration(0), scaled(Op.Route.LatencyTarget, QueueTimeFactor) -
                                (m_Context.now() - Op.currentArrival()));
  Request.StatementTimeout = Op.Route.StatementTimeout;
  Request.Values = CallerSession.Values;
  Request.First = Op.Current;
  m_Hooks.Send(Op.Owner, StartOperation{std::move(Request)});
}

void Sessions::defer(Session &CallerSession, const char *Reason) {
  Operation &Op = *CallerSession.Op;
  Op.DeferReason = Reason;
  if (m_Context.now() >= Op.DispatchDeadline)
    return refuse(CallerSession, ErrorCode::Busy, Reason, NoTargetRetryAfter);
  m_Deferred[Op.Number] = CallerSession.Id;
  if (m_RetryTimer)
    return;
  m_RetryTimer = m_Context.scheduleAfter(DeferredRetryInterval, [this] {
    m_RetryTimer.reset();
    retryDeferred();
  });
}

void Sessions::retryDeferred() {
  std::map<std::uint64_t, CallerId> Deferred;
  Deferred.swap(m_Deferred);
  for (const auto &[Number, Caller] : Deferred) {
    Session *CallerSession = find(Caller);
    bool SameOperation = CallerSession != nullptr && CallerSession->Op &&
                         CallerSession->Op->Number == Number;
    if (SameOperation)
      dispatch(*CallerSession);
  }
}

void Sessions::sendNextStatement(Session &CallerSession) {
  Operation &Op = *CallerSession.Op;
  Op.SentAt = m_Context.now();
  NextStatement Next;
  Next.Number = Op.Number;
  Next.Stmt = Op.Current;
  Next.ValuesChanged = Op.SentValues != CallerSession.Values;
  if (Next.ValuesChanged)
    Next.Values = CallerSession.Values;
  Op.SentValues = CallerSession.Values;
  Next.QueueTime = scaled(Op.Route.LatencyTarget, TransactionQueueTimeFactor);
  m_Hooks.Send(Op.Owner, std::move(Next));
}

/// @param MaxAge maximum age, at this time, of a proof that serves the purpose
void Sessions::requestProof(const Operation &Op, Duration MaxAge) {
  const DatabaseId &Group = Op.Route.Group;
  ProofState &State = m_ProofStates[Group];
  if (State.RequestedAt + ProofTimeout > m_Context.now())
    return;
  if (State.Unanswered)
    State.FailedOwners[*State.Unanswered] = State.RequestedAt;
  State.Unanswered.reset();
  TargetSelector::Choice Selected = selectProofOwner(Group);
  if (Selected.Type != TargetSelector::Choice::Kind::Chosen)
    return;
  State.RequestedAt = m_Context.now();
  State.Unanswered = {Selected.Owner, Selected.Target};
  m_Hooks.Send(Selected.Owner,
               ProofRequest{Selected.Target, Op.Account,
                            toTimestamp(m_Context.now()), MaxAge});
}

/// @brief Selects an owner of the primary that has not failed to prove its
/// position lately, or the first one if all have.
TargetSelector::Choice Sessions::selectProofOwner(const DatabaseId &Group) {
  ProofState &State = m_ProofStates[Group];
  Operation Probe;
  Probe.Route.Group = Group;
  for (auto Next = State.FailedOwners.begin();
       Next != State.FailedOwners.end();) {
    auto Failed = Next++;
    if (Failed->second + FailedProofLifetime <= m_Context.now())
      State.FailedOwners.erase(Failed);
    else
      Probe.ExcludedOwners.insert(Failed->first);
  }
  Session NoSession;
  TargetSelector::Choice Selected;
  if (Probe.ExcludedOwners.size() < MaxAttempts)
    Selected = m_Selector.select(NoSession, Probe);
  if (Selected.Type == TargetSelector::Choice::Kind::Chosen)
    return Selected;
  Probe.ExcludedOwners.clear();
  return m_Selector.select(NoSession, Probe);
}

void Sessions::onProof(const VmId &Owner, const ProofReply &Reply) {
  const TargetEntry *Target = m_Targets.find(Reply.Target);
  if (Target == nullptr)
    return;
  ProofState &State = m_ProofStates[Target->Group];
  PositionProofs &Proofs = m_Selector.proofs(Target->Group);
  bool Superseded = Reply.Position.AtTerm < Proofs.highestTerm();
  std::pair<VmId, TargetId> Source(Owner, Reply.Target);
  if (!Reply.Proven || Superseded) {
    State.FailedOwners[Source] = m_Context.now();
    if (State.Unanswered == Source)
      State.Unanswered.reset();
    // Another owner may be asked at once. Otherwise the recorded time delays
    // the next request: an owner that replies to itself at once would be asked
    // again without end.
    TargetSelector::Choice Next = selectProofOwner(Target->Group);
    bool HasOther = Next.Type == TargetSelector::Choice::Kind::Chosen &&
                    State.FailedOwners.count({Next.Owner, Next.Target}) == 0;
    if (HasOther && !State.Unanswered)
      State.RequestedAt = Instant();
    return;
  }
  State.RequestedAt = Instant();
  State.Unanswered.reset();
  State.FailedOwners.erase(Source);
  // The owner received the request after this VM sent it. The target was
  // therefore asked no earlier than the send time minus the age.
  Proofs.add(fromTimestamp(Reply.Timestamp) - Reply.Age, Reply.Position);
  retryDeferred();
}

} // namespace bergamotstage::pooling
