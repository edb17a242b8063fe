#include "bergamotstage/request/PrimaryRunner.h"

#include "bergamotstage/core/Invariant.h"
#include "bergamotstage/request/Refusals.h"
#include "bergamotstage/rules/PolicyChoice.h"
#include "bergamotstage/session/ReadPolicy.h"

#include <utility>

namespace bergamotstage {
namespace {

constexpr Duration RetryInterval = milliseconds(50);
constexpr Duration RetryAfter = seconds(1);

/// @brief A replica that is known to cover a point; empty if there is none.
TargetId findReplicaCovering(const GroupState &Group,
                             const HistoryPoint &Point) {
  for (const TargetState &Target : Group.Targets) {
    bool Covers = Target.Replayed.AtTerm == Point.AtTerm &&
                  covers(Target.Replayed, Point);
    if (Target.Id != Group.Primary && Covers)
      return Target.Id;
  }
  return {};
}

/// @brief Whether the caller or a rule declares the statement idempotent.
bool isIdempotent(const CallerState &Caller, const RuleSet &Rules) {
  return Caller.Idempotent ||
         findIdempotentRule(Rules, Caller.Route.Id,
                            Caller.Running->Body->Text) != nullptr;
}

bool needsClaim(const CallerState &Caller, const RuleSet &Rules) {
  return Caller.Running->Kind == StatementKind::Write &&
         !Caller.RequestId.empty() && !Caller.HoldsClaim &&
         !isIdempotent(Caller, Rules);
}

} // namespace

void PrimaryRunner::start(const CallerStatementId &Id) {
  const CallerState *Caller = m_Callers.findRunning(Id);
  if (Caller == nullptr)
    return;
  const GroupState *Group = m_Targets.group(Caller->Route.Database);
  if (Group == nullptr)
    return m_Callers.refuse(
        Id, makeRetryableRefusal(sqlstate::CannotConnectNow,
                                 "the database \"" +
                                     Caller->Route.Database.value() +
                                     "\" has no targets",
                                 RetryAfter));
  const Execution &Run = *Caller->Running;
  bool IsBegin = Run.Kind == StatementKind::Begin;
  if (IsBegin && !Caller->Token.coversAllWrites(Group->Database)) {
    if (!Run.VerifiedPrimary)
      return verifyPrimary(Id, *Group);
    return acquireLink(Id, *Run.VerifiedPrimary);
  }
  HistoryPoint RequiredPoint = Caller->Token.requiredPoint(Group->Database);
  if (Group->CurrentTerm < RequiredPoint.AtTerm)
    return retryLater(Id, "the session has seen a later term than this VM");
  if (Group->Primary.value().empty())
    return retryLater(Id, "no primary is known");
  acquireLink(Id, Group->Primary);
}

void PrimaryRunner::verifyPrimary(const CallerStatementId &Id,
                                  const GroupState &Group) {
  m_Verifier.verify(Group, [this,
                            Id](const PrimaryVerifier::Result &Verification) {
    CallerState *Caller = m_Callers.findRunning(Id);
    if (Caller == nullptr)
      return;
    if (!Verification.Verified)
      return m_Callers.refuse(
          Id, makeRetryableRefusal(
                  sqlstate::CannotConnectNow,
                  "no primary could be verified for this session", RetryAfter));
    Caller->Running->VerifiedPrimary = Verification.Primary;
    start(Id);
  });
}

void PrimaryRunner::retryLater(const CallerStatementId &Id,
                               const std::string &Reason) {
  CallerState *Caller = m_Callers.findRunning(Id);
  if (Caller == nullptr)
    return;
  Instant RetryAt = m_Context.now() + RetryInterval;
  if (RetryAt < Caller->Running->Deadline) {
    m_Context.timers().schedule(RetryAt, [this, Id] { start(Id); });
    return;
  }
  if (Caller->Running->MayTakeEffect)
    return m_Callers.refuse(Id, m_Callers.recordLinkLoss(*Caller, Reason));
  m_Callers.refuse(
      Id, makeRetryableRefusal(sqlstate::CannotConnectNow, Reason, RetryAfter));
}

void PrimaryRunner::acquireLink(const CallerStatementId &Id,
                                const TargetId &Primary) {
  CallerState *Caller = m_Callers.findRunning(Id);
  Caller->Running->Decision = {m_Context.settings().Vm,
                               Primary,
                               "primary",
                               "only the primary takes it",
                               {}};
  m_Context.log(WriteLog::Level::Debug, "routed",
                {{"statement", std::to_string(Id.Statement.value())},
                 {"kind", statementKindName(Caller->Running->Kind)},
                 {"target", Primary.value()},
                 {"reason", "primary"}});
  auto OnAcquired = [this, Id](const LinkPool::AcquireResult &Acquired) {
    if (Acquired)
      return onLinkAcquired(Id, *Acquired);
    CallerState *RunningCaller = m_Callers.findRunning(Id);
    if (RunningCaller == nullptr)
      return;
    if (RunningCaller->Running->MayTakeEffect)
      return m_Callers.refuse(
          Id,
          m_Callers.recordLinkLoss(*RunningCaller, Acquired.error().Message));
    m_Callers.refuse(Id, Acquired.error());
  };
  const DatabaseId &Database = Caller->Route.Database;
  const GroupState *Group = m_Targets.group(Database);
  Instant Deadline = Caller->Running->Deadline;
  bool MayFollowPrimary = !Caller->Running->VerifiedPrimary;
  if (MayFollowPrimary && Group != nullptr && Group->Primary == Primary)
    return m_Targets.acquirePrimary(Database, Caller->Account, Deadline,
                                    OnAcquired);
  m_Targets.links().acquire(Primary, Caller->Account, Deadline, OnAcquired);
}

void PrimaryRunner::onLinkAcquired(const CallerStatementId &Id, LinkId Link) {
  CallerState *Caller = m_Callers.findRunning(Id);
  if (Caller == nullptr)
    return m_Targets.links().release(Link, true);
  Caller->Running->Link = Link;
  if (Caller->Running->Kind == StatementKind::Write)
    m_Callers.reportUncertainToken(*Caller);
  if (!needsClaim(*Caller, m_Context.rules()))
    return runOnLink(Id, Link);
  Instant SentAt = m_Context.now();
  m_Claims.run(Id, Link, [this, Id, SentAt](const ClaimResult &Result) {
    onClaimResult(Id, SentAt, Result);
  });
}

void PrimaryRunner::startInTransaction(const CallerStatementId &Id) {
  CallerState *Caller = m_Callers.findRunning(Id);
  LinkId Link = *Caller->PinnedLink;
  Caller->Running->Link = Link;
  if (!needsClaim(*Caller, m_Context.rules()))
    return runOnLink(Id, Link);
  Instant SentAt = m_Context.now();
  m_Claims.claimInTransaction(
      Id, Link, [this, Id, Link] { runOnLink(Id, Link); },
      [this, Id, SentAt](const ClaimResult &Result) {
        onClaimResult(Id, SentAt, Result);
      });
}

void PrimaryRunner::runOnLink(const CallerStatementId &Id, LinkId Link) {
  CallerState *Caller = m_Callers.findRunning(Id);
  Execution &Run = *Caller->Running;
  bool ExplicitTransaction = Caller->Transaction != TransactionState::None;
  bool Writes = Run.Kind == StatementKind::Write;
  Caller->HasWritten = Caller->HasWritten || Writes;
  bool Commits = Run.Kind == StatementKind::Commit && Caller->HasWritten;
  if (ExplicitTransaction && Commits)
    m_Callers.reportUncertainToken(*Caller);
  Run.Sent = true;
  Run.MayTakeEffect =
      Run.MayTakeEffect || Commits || (Writes && !ExplicitTransaction);
  Run.RequiredPoint = Caller->Token.requiredPoint(Caller->Route.Database);
  Instant SentAt = m_Context.now();
  m_Targets.links().run(
      Link, Id.Caller, Id.Statement, Run.Body,
      [this, Id, Link, SentAt](const LinkPool::Answer &Answer) {
        onAnswer(Id, Link, SentAt, Answer);
      });
}

void PrimaryRunner::onAnswer(const CallerStatementId &Id, LinkId Link,
                             Instant SentAt, const LinkPool::Answer &Answer) {
  CallerState *Caller = m_Callers.findRunning(Id);
  if (Caller == nullptr)
    return m_Targets.links().release(Link, false);
  if (!Answer)
    return onLinkLost(Id, *Caller, Answer.error());
  if (!readsOwnWrites(*Caller, *Answer)) {
    Refusal Reason = m_Callers.abortStatement(
        *Caller, "the target's data are older than the session's last write");
    return m_Callers.refuse(Id, std::move(Reason), Answer->Chunks);
  }
  Caller->Running->Link.reset();
  updateTransaction(*Caller, Link, *Answer);
  if (!Answer->ErrorSqlState.empty())
    return onStatementFailed(Id, *Answer);
  onStatementSucceeded(Id, SentAt, *Answer);
}

bool PrimaryRunner::readsOwnWrites(const CallerState &Caller,
                                   const LinkAnswered &Answer) const {
  bool Read = Caller.Running->Kind == StatementKind::Read ||
              Caller.Running->Kind == StatementKind::Begin;
  bool Succeeded = Answer.ErrorSqlState.empty();
  return !Read || !Succeeded ||
         covers(Answer.Reported, Caller.Running->RequiredPoint);
}

bool PrimaryRunner::isRetryable(const CallerState &Caller) const {
  return Caller.Transaction == TransactionState::None &&
         Caller.Running->Kind == StatementKind::Write &&
         isIdempotent(Caller, m_Context.rules()) &&
         m_Context.now() + RetryInterval < Caller.Running->Deadline;
}

void PrimaryRunner::onLinkLost(const CallerStatementId &Id, CallerState &Caller,
                               const LinkLost &Failure) {
  Execution &Run = *Caller.Running;
  bool OutsideTransaction = Caller.Transaction == TransactionState::None;
  Run.Link.reset();
  if (Failure.NeverSent && Run.Attempts == 0)
    Run.MayTakeEffect = false;
  if (Failure.NeverSent && OutsideTransaction) {
    Run.Sent = false;
    return retryLater(Id, "the connection to the target was lost");
  }
  if (Failure.Chunks == 0 && isRetryable(Caller)) {
    ++Run.Attempts;
    return retryLater(Id, "the connection to the target was lost");
  }
  Refusal Reason = m_Callers.recordLinkLoss(
      Caller, "the connection to the target was lost: " + Failure.Reason);
  m_Callers.refuse(Id, std::move(Reason), Failure.Chunks);
}

void PrimaryRunner::updateTransaction(CallerState &Caller, LinkId Link,
                                      const LinkAnswered &Answer) {
  Caller.Transaction = !Answer.InTransaction      ? TransactionState::None
                       : Answer.TransactionFailed ? TransactionState::Failed
                                                  : TransactionState::Open;
  if (Answer.InTransaction) {
    Caller.PinnedLink = Link;
    return;
  }
  Caller.PinnedLink.reset();
  m_Targets.links().release(Link, true);
}

void PrimaryRunner::onStatementFailed(const CallerStatementId &Id,
                                      const LinkAnswered &Answer) {
  CallerState *Caller = m_Callers.findRunning(Id);
  Execution &Run = *Caller->Running;
  if (Run.Attempts > 0)
    return m_Callers.refuse(
        Id, m_Callers.recordLinkLoss(
                *Caller, "the answer to an earlier attempt was lost; the "
                         "last one failed: " +
                             Answer.ErrorMessage));
  Run.MayTakeEffect = false;
  bool OutsideTransaction = Caller->Transaction == TransactionState::None;
  bool Superseded = Answer.ErrorSqlState == sqlstate::ReadOnlyTransaction &&
                    Run.Kind == StatementKind::Write;
  if (Superseded && OutsideTransaction) {
    Run.Sent = false;
    return retryLater(Id, "the target is no longer the primary");
  }
  m_Callers.refuse(Id,
                   makeRefusal(Answer.ErrorSqlState.c_str(), RunState::Failed,
                               Answer.ErrorMessage),
                   Answer.Chunks);
}

void PrimaryRunner::onStatementSucceeded(const CallerStatementId &Id,
                                         Instant SentAt,
                                         const LinkAnswered &Answer) {
  CallerState *Caller = m_Callers.findRunning(Id);
  const Execution &Run = *Caller->Running;
  bool Committed = !Answer.InTransaction &&
                   (Run.Kind == StatementKind::Write ||
                    (Run.Kind == StatementKind::Commit && Caller->HasWritten &&
                     Answer.Tag != "ROLLBACK"));
  if (Committed)
    return confirmCommit(Id, SentAt, Answer);
  AnswerStatement Reply;
  Reply.Chunks = Answer.Chunks;
  Reply.Tag = Answer.Tag;
  m_Callers.finish(Id, std::move(Reply));
}

void PrimaryRunner::onClaimResult(const CallerStatementId &Id, Instant SentAt,
                                  const ClaimResult &Result) {
  if (Result.Outcome == ClaimResult::Kind::Superseded)
    return retryLater(Id, "the target is no longer the primary");
  confirmCommit(Id, SentAt, Result.Answer, Result.ReplayError);
}

void PrimaryRunner::confirmCommit(const CallerStatementId &Id, Instant SentAt,
                                  const LinkAnswered &Answer,
                                  const std::optional<Refusal> &ReplayError) {
  const CallerState *Caller = m_Callers.findRunning(Id);
  const GroupState *Group = m_Targets.group(Caller->Route.Database);
  if (Group == nullptr)
    return onCommitUnconfirmed(Id, Answer, ConfirmationResult::TimedOut);
  if (Group->CurrentTerm > Answer.Reported.AtTerm)
    return onCommitUnconfirmed(Id, Answer, ConfirmationResult::Superseded);
  DatabaseId Database = Group->Database;
  TargetId ExecutedOn = m_Targets.links().targetOf(Answer.Link);
  m_Targets.confirmer().confirm(
      *Group, ExecutedOn, Answer.Reported,
      [this, Id, SentAt, Answer, ReplayError,
       Database](ConfirmationResult Result) {
        if (Result == ConfirmationResult::Durable)
          m_Positions.add(Database, SentAt, Answer.Reported);
        if (m_Callers.findRunning(Id) == nullptr)
          return;
        if (!mayAcknowledge(Result))
          return onCommitUnconfirmed(Id, Answer, Result);
        acknowledge(Id, Answer, ReplayError);
      });
}

void PrimaryRunner::onCommitUnconfirmed(const CallerStatementId &Id,
                                        const LinkAnswered &Answer,
                                        ConfirmationResult Result) {
  CallerState *Caller = m_Callers.findRunning(Id);
  Caller->Running->MayTakeEffect = true;
  Caller->Token.raise(Caller->Route.Database, Answer.Reported);
  m_Callers.reportToken(*Caller, Caller->Token);
  m_Callers.refuse(
      Id,
      makeRefusal(sqlstate::TransactionUnknown, RunState::Unknown,
                  Result == ConfirmationResult::Superseded
                      ? "the primary was superseded during the commit"
                      : "the commit was not confirmed in time"),
      Answer.Chunks);
}

void PrimaryRunner::acknowledge(const CallerStatementId &Id,
                                const LinkAnswered &Answer,
                                const std::optional<Refusal> &ReplayError) {
  CallerState *Caller = m_Callers.findRunning(Id);
  const DatabaseId &Database = Caller->Route.Database;
  const GroupState *Group = m_Targets.group(Database);
  TargetId Replica = Group == nullptr
                         ? TargetId()
                         : findReplicaCovering(*Group, Answer.Reported);
  Caller->Token.raise(Database, Answer.Reported, Replica);
  m_Callers.reportToken(*Caller, Caller->Token);
  if (ReplayError)
    return m_Callers.refuse(Id, *ReplayError, Answer.Chunks);
  AnswerStatement Reply;
  Reply.Chunks = Answer.Chunks;
  Reply.Tag = Answer.Tag;
  m_Callers.finish(Id, std::move(Reply));
}

} // namespace bergamotstage
