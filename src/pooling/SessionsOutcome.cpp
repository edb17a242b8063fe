#include "bergamotstage/pooling/Sessions.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace bergamotstage::pooling {
namespace {

/// The same for a read that targets refuse because of their load: two replicas.
constexpr unsigned MaxOverloadedAttempts = 2;
constexpr Duration BusyRetryAfter = milliseconds(50);
constexpr const char *OwnerLostCause =
    "the VM that owns the connection is unreachable";
/// One in this many successful statements within the latency target is logged.
constexpr std::uint64_t SuccessLogInterval = 256;

/// @brief Formats the line and author of a rule for the log.
std::string formatRule(const RuleRef &Source) {
  if (Source.Line == 0)
    return "default";
  return "line " + std::to_string(Source.Line) + " by " + Source.Author;
}

std::string withRetryAfter(const std::string &Cause, Duration RetryAfter) {
  return Cause + "; retry_after_ms=" + formatMilliseconds(RetryAfter);
}

} // namespace

// Replies of owners.

void Sessions::onReply(const VmId &Owner, const StatementReply &Reply) {
  auto Number = m_CallersByOperation.find(Reply.Number);
  if (Number == m_CallersByOperation.end())
    return;
  Session *CallerSession = find(Number->second);
  bool Expected = CallerSession != nullptr && CallerSession->Op &&
                  CallerSession->Op->Number == Reply.Number &&
                  CallerSession->Op->Dispatched &&
                  CallerSession->Op->AwaitingReply &&
                  CallerSession->Op->Owner == Owner;
  if (!Expected)
    return;
  recordTargetState(*CallerSession->Op, Reply.Result);
  switch (Reply.Result.Outcome) {
  case StatementResult::Kind::Answered:
    return onAnswered(*CallerSession, Reply.Result);
  case StatementResult::Kind::NotRun:
    return onNotRun(*CallerSession, Reply.Result);
  case StatementResult::Kind::Lost:
    return onLost(*CallerSession, "the target did not reply");
  }
}

void Sessions::recordTargetState(const Operation &Op,
                                 const StatementResult &Result) {
  m_Selector.recordLoad(Op.Target, Result.Load);
  bool Ran = Result.Outcome != StatementResult::Kind::NotRun;
  bool Failed = Result.Outcome == StatementResult::Kind::Lost ||
                Result.Error == ErrorCode::Failed ||
                Result.Error == ErrorCode::Timeout;
  if (Ran)
    m_Selector.recordOutcome(Op.Target, Failed);
  if (Result.PrimaryProven && Result.Position)
    m_Selector.proofs(Op.Route.Group).add(Op.SentAt, *Result.Position);
  if (Result.Error == ErrorCode::Behind)
    m_Selector.markBehind(Op.Target);
  if (Result.Error == ErrorCode::ReadOnly && needsPrimary(Op.Mode))
    m_Targets.rejectPrimaryClaim(Op.Target);
  bool Unreachable = Result.Outcome != StatementResult::Kind::Answered &&
                     Result.Reason == NotRunReason::Unreachable;
  if (Unreachable)
    m_Selector.markUnreachable(Op.Target);
}

/// @brief Dispatches again an operation that certainly had no effect.
bool Sessions::retryElsewhere(Session &CallerSession, const char *Reason) {
  Operation &Op = *CallerSession.Op;
  if (Op.Attempts >= MaxAttempts || m_Context.now() >= Op.DispatchDeadline)
    return false;
  m_Context.log(WriteLog::Level::Debug, "rerouted",
                {{"request", Op.Current.RequestId},
                 {"target", Op.Target.value()},
                 {"owner", Op.Owner.value()},
                 {"reason", Reason}});
  Op.Dispatched = false;
  dispatch(CallerSession);
  return true;
}

/// @brief Retries a single read once on another target after it failed.
///
/// Another target may succeed. The retry counts as an operation of the client
/// account and therefore requires an available token.
bool Sessions::retryRead(Session &CallerSession) {
  Operation &Op = *CallerSession.Op;
  if (!Op.isSingleRead() || Op.Retried ||
      !m_Rates.tryAdmit(Op.Account, tokenUrgency(CallerSession)))
    return false;
  Op.Retried = true;
  Op.ExcludedTargets.insert(Op.Target);
  if (retryElsewhere(CallerSession, "failed"))
    return true;
  m_Rates.refund(Op.Account);
  return false;
}

void Sessions::onAnswered(Session &CallerSession,
                          const StatementResult &Result) {
  Operation &Op = *CallerSession.Op;
  bool NotRun = Result.Error && isNotRunError(*Result.Error) &&
                *Result.Error != ErrorCode::NoSuchName;
  // A transaction with a reply cannot move to another target.
  bool Movable = !isTransaction(Op.Mode) ||
                 (!Op.HasReply && Result.State == SessionState::Idle);
  if (NotRun && Movable) {
    Op.ExcludedTargets.insert(Op.Target);
    if (*Result.Error == ErrorCode::Behind)
      Op.PrimaryRequired = Op.ExcludedTargets.size() > 1;
    if (retryElsewhere(CallerSession, errorName(*Result.Error)))
      return;
    return refuse(CallerSession, *Result.Error,
                  "the target did not run the statement", BusyRetryAfter);
  }
  if (Result.Error == ErrorCode::Failed && retryRead(CallerSession))
    return;
  CallerReply Reply;
  Reply.Error = Result.Error;
  Reply.ErrorText = Result.ErrorText;
  Reply.Rows = Result.Rows;
  Reply.Signature = Result.Signature;
  Reply.Position = Result.Position;
  Reply.State = Result.State;
  bool Commits = Op.Current.Kind == Verb::Commit;
  if (!Result.Error && Op.Current.writes())
    Op.HasWritten = true;
  bool Committed = !Result.Error && Op.HasWritten &&
                   (Commits || !isTransaction(Op.Mode)) && Result.Position;
  if (Committed)
    CallerSession.LastCommits[Op.Route.Group] = *Result.Position;
  Op.TransactionFailed = Result.State == SessionState::Failed;
  finishStatement(CallerSession, std::move(Reply));
}

void Sessions::onNotRun(Session &CallerSession, const StatementResult &Result) {
  Operation &Op = *CallerSession.Op;
  if (auto Fault = authorizationFault(CallerSession)) {
    Op.Dispatched = false;
    return refuseUnauthorized(CallerSession, *Fault);
  }
  bool Started = isTransaction(Op.Mode) && Op.HasReply;
  if (Started) {
    // The owner has rolled the transaction back.
    Op.Dispatched = false;
    return refuse(CallerSession, ErrorCode::Aborted,
                  std::string("transaction aborted: ") +
                      notRunReasonName(Result.Reason),
                  Result.RetryAfter);
  }
  bool ElsewhereInTime = Result.Reason == NotRunReason::TooLate &&
                         !needsPrimary(Op.Mode) &&
                         Op.Attempts < MaxOverloadedAttempts;
  if (ElsewhereInTime) {
    Op.ExcludedTargets.insert(Op.Target);
    if (retryElsewhere(CallerSession, notRunReasonName(Result.Reason)))
      return;
  }
  if (!isOverload(Result.Reason)) {
    Op.ExcludedOwners.insert({Op.Owner, Op.Target});
    if (!needsPrimary(Op.Mode))
      Op.ExcludedTargets.insert(Op.Target);
    if (retryElsewhere(CallerSession, notRunReasonName(Result.Reason)))
      return;
  }
  Op.Dispatched = false;
  refuse(CallerSession, ErrorCode::Busy, notRunReasonName(Result.Reason),
         Result.RetryAfter);
}

void Sessions::onLost(Session &CallerSession, const std::string &Cause) {
  Operation &Op = *CallerSession.Op;
  Op.ExcludedOwners.insert({Op.Owner, Op.Target});
  Op.ExcludedTargets.insert(Op.Target);
  // The target may have run it: its token is spent and not returned.
  Op.Admitted = false;
  if (Op.isSingleRead() && retryElsewhere(CallerSession, "no reply"))
    return;
  refuseLost(CallerSession, Cause);
}

/// @brief Refuses a statement whose reply is not awaited any longer.
void Sessions::refuseLost(Session &CallerSession, const std::string &Cause) {
  Operation &Op = *CallerSession.Op;
  bool Commits = Op.Current.Kind == Verb::Commit;
  bool MayHaveTakenEffect =
      Op.Dispatched &&
      (isTransaction(Op.Mode) ? Commits && Op.HasWritten : Op.Current.writes());
  Op.Dispatched = false;
  if (MayHaveTakenEffect)
    return refuse(CallerSession, ErrorCode::OutcomeUnknown, Cause, Duration(0));
  refuse(CallerSession, ErrorCode::Aborted, Cause, BusyRetryAfter);
}

void Sessions::onOwnerLost(const VmId &Owner) {
  std::vector<CallerId> Affected;
  for (const auto &[Number, Caller] : m_CallersByOperation) {
    Session *CallerSession = find(Caller);
    if (CallerSession != nullptr && CallerSession->Op &&
        CallerSession->Op->Dispatched && CallerSession->Op->Owner == Owner)
      Affected.push_back(Caller);
  }
  for (CallerId Caller : Affected) {
    Session *CallerSession = find(Caller);
    if (CallerSession == nullptr || !CallerSession->Op ||
        !CallerSession->Op->Dispatched || CallerSession->Op->Owner != Owner)
      continue;
    if (CallerSession->Op->AwaitingReply) {
      onLost(*CallerSession, OwnerLostCause);
      continue;
    }
    CallerSession->Op->Dispatched = false;
    abortTransaction(*CallerSession, OwnerLostCause);
  }
}

// Completion of statements.

void Sessions::refuse(Session &CallerSession, ErrorCode Code,
                      const std::string &Cause, Duration RetryAfter) {
  Operation &Op = *CallerSession.Op;
  m_Deferred.erase(Op.Number);
  bool HasNoEffect = Code != ErrorCode::OutcomeUnknown;
  if (HasNoEffect && Op.Admitted && !Op.HasReply)
    m_Rates.refund(Op.Account);
  CallerReply Reply = makeRefusal(Code, Cause, RetryAfter);
  bool Ended = !isTransaction(Op.Mode) || Op.Current.Kind == Verb::Commit;
  Op.TransactionFailed = !Ended;
  Reply.State = Ended ? SessionState::Idle : SessionState::Failed;
  finishStatement(CallerSession, std::move(Reply));
}

CallerReply Sessions::makeRefusal(ErrorCode Code, const std::string &Cause,
                                  Duration RetryAfter) {
  CallerReply Reply;
  Reply.Error = Code;
  bool MayRetry = Code != ErrorCode::OutcomeUnknown && Code != ErrorCode::NoKey;
  Reply.ErrorText = MayRetry ? withRetryAfter(Cause, RetryAfter) : Cause;
  return Reply;
}

void Sessions::finishStatement(Session &CallerSession, CallerReply Reply) {
  CallerId Caller = CallerSession.Id;
  bool WasAwaiting = CallerSession.Op && CallerSession.Op->AwaitingReply;
  if (WasAwaiting) {
    recordMetrics(*CallerSession.Op, Reply);
    logOutcome(CallerSession, Reply);
    CallerSession.Op->AwaitingReply = false;
    CallerSession.Op->HasReply = true;
    bool OperationEnded = !isTransaction(CallerSession.Op->Mode) ||
                          Reply.State == SessionState::Idle;
    if (OperationEnded)
      endOperation(CallerSession);
  } else {
    Reply.State = CallerSession.state();
  }
  CallerSession.HasReply = true;
  m_Hooks.Answer(Caller, std::move(Reply));
  Session *Remaining = find(Caller);
  if (Remaining == nullptr)
    return;
  if (m_Closing && !Remaining->Op && Remaining->Backlog.empty()) {
    m_Hooks.Close(Caller);
    m_Sessions.erase(Caller);
    return;
  }
  if (m_EndsTransactions && Remaining->isTransactionIdle())
    abortTransaction(*Remaining, ShutdownCause);
  else if (Remaining->isTransactionIdle())
    endIfUnauthorized(*Remaining);
  if (Remaining->Backlog.empty() ||
      (Remaining->Op && Remaining->Op->AwaitingReply))
    return;
  Statement Next = std::move(Remaining->Backlog.front());
  Remaining->Backlog.pop_front();
  execute(*Remaining, std::move(Next));
}

void Sessions::abortOperation(Session &CallerSession) {
  if (CallerSession.Op->Dispatched)
    m_Hooks.Send(CallerSession.Op->Owner,
                 AbortOperation{CallerSession.Op->Number});
  endOperation(CallerSession);
}

void Sessions::endOperation(Session &CallerSession) {
  m_CallersByOperation.erase(CallerSession.Op->Number);
  m_Deferred.erase(CallerSession.Op->Number);
  CallerSession.Op.reset();
}

void Sessions::recordMetrics(const Operation &Op, const CallerReply &Reply) {
  metrics::Sample Sample;
  Sample.Account = Op.Account;
  Sample.Route = Op.Route.Name;
  Sample.Arm = Op.Reads->Arm;
  Sample.Class = isTransaction(Op.Mode) ? metrics::StatementClass::Transaction
                 : Op.Current.writes()  ? metrics::StatementClass::Write
                                        : metrics::StatementClass::Read;
  Sample.Latency = m_Context.now() - Op.currentArrival();
  Sample.OnReplica = !needsPrimary(Op.Mode);
  if (Reply.Error) {
    bool Unknown = *Reply.Error == ErrorCode::OutcomeUnknown ||
                   *Reply.Error == ErrorCode::Timeout;
    bool Ran = *Reply.Error == ErrorCode::Failed;
    Sample.State = Unknown ? RunState::Unknown
                   : Ran   ? RunState::Failed
                           : RunState::NotRun;
    Sample.SqlState = errorName(*Reply.Error);
  }
  m_Metrics.record(Sample);
}

void Sessions::logOutcome(const Session &CallerSession,
                          const CallerReply &Reply) {
  const Operation &Op = *CallerSession.Op;
  Duration Elapsed = m_Context.now() - Op.currentArrival();
  bool OnTime = !Reply.Error && Elapsed <= Op.Route.LatencyTarget;
  if (OnTime && Op.Number % SuccessLogInterval != 0)
    return;
  m_Context.log(OnTime ? WriteLog::Level::Info : WriteLog::Level::Warning,
                Reply.Error ? "statement_failed"
                : OnTime    ? "statement_served"
                            : "statement_late",
                {{"request", Op.Current.RequestId},
                 {"verb", verbName(Op.Current.Kind)},
                 {"account", Op.Account.value()},
                 {"route", Op.Route.Name.value()},
                 {"group", Op.Route.Group.value()},
                 {"error", Reply.Error ? errorName(*Reply.Error) : "none"},
                 {"cause", Reply.ErrorText},
                 {"ms", formatMilliseconds(Elapsed)},
                 {"owner", Op.Owner.value()},
                 {"target", Op.Target.value()},
                 {"attempts", std::to_string(Op.Attempts)},
                 {"arm", Op.Reads->Arm.value()},
                 {"rule", formatRule(Op.Reads->Source)},
                 {"held_for", Op.DeferReason.empty() ? "none" : Op.DeferReason},
                 {"config", std::to_string(m_Config->Version)}});
}

} // namespace bergamotstage::pooling
