#include "bergamotstage/request/ReadRunner.h"

#include "bergamotstage/core/Invariant.h"
#include "bergamotstage/core/Parse.h"
#include "bergamotstage/request/Refusals.h"
#include "bergamotstage/rules/PolicyChoice.h"

#include <algorithm>
#include <utility>

namespace bergamotstage {
namespace {

constexpr unsigned MaxAttempts = 4;
constexpr Duration CatchUpInterval = milliseconds(5);
constexpr Duration RetryAfter = milliseconds(500);
constexpr Duration MinSampleInterval = milliseconds(20);
constexpr int SamplesPerMaxAge = 16; ///< Samples of the primary's position.
const char *const DefaultPolicy = "nearest-covered";
const char *const AgeUnknownNotice =
    "the age of the data is unknown: the primary could not be verified";

Duration replicaWait(const PolicyChoice &ReadsPolicy) {
  auto Configured = ReadsPolicy.Parameters.find("wait");
  if (Configured == ReadsPolicy.Parameters.end())
    return Duration(0);
  return parseDuration(Configured->second).value_or(Duration(0));
}

/// @brief Whether a retry on another target may succeed after an error.
bool isTransient(const std::string &SqlState) {
  bool Connection = SqlState.compare(0, 2, "08") == 0;
  return Connection || SqlState == "40001" || SqlState == "57P01" ||
         SqlState == "57P03" || SqlState == "55000";
}

/// @brief Whether a target is known to satisfy the maximum age of a read.
bool isKnownFresh(const TargetId &Name, const ReadRequest &Request,
                  const GroupState &Group, Instant Now) {
  if (!Request.MaxAge)
    return true;
  const TargetState *Target = Group.find(Name);
  if (Target == nullptr)
    return false;
  std::optional<Duration> Age = ageBound(*Target, Request, Group, Now);
  return Age && *Age <= *Request.MaxAge;
}

} // namespace

ReadRequest ReadRunner::makeRequest(const CallerState &Caller,
                                    const GroupState &Group) const {
  ReadRequest Request;
  Request.ProxyCentre = m_Context.settings().DataCentre;
  Request.RequiredPoint = Caller.Token.requiredPoint(Group.Database);
  Request.MaxAge = Caller.MaxAge;
  Request.ExcludedTargets = Caller.Running->ExcludedTargets;
  Request.Positions = &m_Positions;
  Request.Times = &m_Times;
  return Request;
}

void ReadRunner::route(const CallerStatementId &Id) {
  CallerState *Caller = m_Callers.findRunning(Id);
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
  Execution &Run = *Caller->Running;
  Run.Decision.Policy = "verified-primary";
  Run.Decision.Source = {};
  if (Run.VerifiedPrimary)
    return acquireLink(Id, {*Run.VerifiedPrimary, "verified primary"});
  if (!Caller->Token.coversAllWrites(Group->Database))
    return verifyPrimary(Id, *Group);
  PolicyChoice ReadsPolicy = choosePolicy(
      m_Context.rules(), "reads", DefaultPolicy, Caller->Token.SessionId);
  Run.Decision.Policy = ReadsPolicy.Choice;
  Run.Decision.Source = ReadsPolicy.Source;
  ReadPolicy Policy =
      makeReadPolicy(ReadsPolicy.Choice, ReadsPolicy.Parameters);
  if (!Policy)
    Policy = makeReadPolicy(DefaultPolicy);
  ReadRequest Request = makeRequest(*Caller, *Group);
  Request.RandomValue = m_Context.random()();
  ReadChoice Choice = Policy(Request, *Group, m_Context.now());
  if (Caller->MaxAge && isSampleDue(*Group, *Caller->MaxAge)) {
    bool NeedsSample =
        Choice.Shortfall == ReadShortfall::AgeUnknown && !Run.AgeSampled;
    if (NeedsSample)
      return samplePosition(Id, *Group);
    if (!m_Verifier.isRunning(Group->Database))
      m_Verifier.verify(*Group, [](const PrimaryVerifier::Result &) {});
  }
  bool Behind = Choice.Shortfall == ReadShortfall::Behind;
  if (Behind && waitForReplica(Id, Run, *Group, replicaWait(ReadsPolicy)))
    return;
  if (Choice.Target.value().empty())
    return m_Callers.refuse(Id,
                            makeRetryableRefusal(sqlstate::CannotConnectNow,
                                                 Choice.Reason, RetryAfter));
  Run.AgeUnknown =
      !isKnownFresh(Choice.Target, Request, *Group, m_Context.now());
  acquireLink(Id, Choice);
}

bool ReadRunner::isSampleDue(const GroupState &Group, Duration MaxAge) const {
  auto Newest = m_Positions.newestSampleTime(Group.Database, Group.CurrentTerm);
  Duration Interval = std::max(MinSampleInterval, MaxAge / SamplesPerMaxAge);
  return !Newest || m_Context.now() - *Newest >= Interval;
}

void ReadRunner::verifyPrimary(const CallerStatementId &Id,
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
    route(Id);
  });
}

void ReadRunner::samplePosition(const CallerStatementId &Id,
                                const GroupState &Group) {
  m_Verifier.verify(Group, [this, Id](const PrimaryVerifier::Result &) {
    CallerState *Caller = m_Callers.findRunning(Id);
    if (Caller == nullptr)
      return;
    Caller->Running->AgeSampled = true;
    route(Id);
  });
}

bool ReadRunner::waitForReplica(const CallerStatementId &Id, Execution &Run,
                                const GroupState &Group, Duration Wait) {
  Instant Now = m_Context.now();
  if (!Run.WaitUntil)
    Run.WaitUntil = Now + Wait;
  if (Now >= *Run.WaitUntil)
    return false;
  m_Verifier.verify(Group, [this, Id](const PrimaryVerifier::Result &) {
    m_Context.timers().schedule(m_Context.now() + CatchUpInterval,
                                [this, Id] { route(Id); });
  });
  return true;
}

void ReadRunner::acquireLink(const CallerStatementId &Id,
                             const ReadChoice &Choice) {
  CallerState *Caller = m_Callers.findRunning(Id);
  Execution &Run = *Caller->Running;
  ++Run.Attempts;
  Run.RequiredPoint = Caller->Token.requiredPoint(Caller->Route.Database);
  Run.Decision.Home = m_Context.settings().Vm;
  Run.Decision.Target = Choice.Target;
  Run.Decision.Reason = Choice.Reason;
  m_Context.log(WriteLog::Level::Debug, "routed",
                {{"statement", std::to_string(Id.Statement.value())},
                 {"kind", statementKindName(Run.Kind)},
                 {"target", Choice.Target.value()},
                 {"reason", Choice.Reason}});
  m_Times.onStarted(Choice.Target);
  m_Targets.links().acquire(Choice.Target, Caller->Account, Run.Deadline,
                            [this, Id, Target = Choice.Target](
                                const LinkPool::AcquireResult &Acquired) {
                              if (Acquired)
                                return runOnLink(Id, Target, *Acquired);
                              m_Times.onUnanswered(Target);
                              retry(Id, Target, Acquired.error());
                            });
}

void ReadRunner::runOnLink(const CallerStatementId &Id, const TargetId &Target,
                           LinkId Link) {
  CallerState *Caller = m_Callers.findRunning(Id);
  if (Caller == nullptr) {
    m_Times.onUnanswered(Target);
    m_Targets.links().release(Link, true);
    return;
  }
  Caller->Running->Link = Link;
  Caller->Running->Sent = true;
  Instant SentAt = m_Context.now();
  m_Targets.links().run(
      Link, Id.Caller, Id.Statement, Caller->Running->Body,
      [this, Id, Target, Link, SentAt](const LinkPool::Answer &Answer) {
        onAnswer(Id, Target, Link, SentAt, Answer);
      });
}

void ReadRunner::onAnswer(const CallerStatementId &Id, const TargetId &Target,
                          LinkId Link, Instant SentAt,
                          const LinkPool::Answer &Answer) {
  if (Answer) {
    m_Times.onAnswered(Target, m_Context.now() - SentAt, m_Context.now());
    m_Targets.links().release(Link, !Answer->InTransaction);
  } else {
    m_Times.onUnanswered(Target);
  }
  CallerState *Caller = m_Callers.findRunning(Id);
  if (Caller == nullptr)
    return;
  Caller->Running->Link.reset();
  if (!Answer) {
    Refusal ConnectionLost = makeRefusal(
        sqlstate::ConnectionFailure, RunState::Failed,
        "the connection to the target \"" + Target.value() + "\" was lost");
    if (Answer.error().Chunks == 0)
      return retry(Id, Target, std::move(ConnectionLost));
    return m_Callers.refuse(Id, std::move(ConnectionLost),
                            Answer.error().Chunks);
  }
  if (Answer->ErrorSqlState.empty())
    return onSucceeded(Id, *Caller, Target, *Answer);
  Refusal Error = makeRefusal(Answer->ErrorSqlState.c_str(), RunState::Failed,
                              Answer->ErrorMessage);
  if (Answer->Chunks == 0 && isTransient(Answer->ErrorSqlState))
    return retry(Id, Target, std::move(Error));
  m_Callers.refuse(Id, std::move(Error), Answer->Chunks);
}

void ReadRunner::onSucceeded(const CallerStatementId &Id, CallerState &Caller,
                             const TargetId &Target,
                             const LinkAnswered &Answer) {
  const Execution &Run = *Caller.Running;
  if (!covers(Answer.Reported, Run.RequiredPoint))
    return onStaleAnswer(Id, Caller, Target, Answer);
  BERGAMOTSTAGE_INVARIANT(
      covers(Answer.Reported, Run.RequiredPoint) &&
          (Run.VerifiedPrimary ||
           Caller.Token.coversAllWrites(Caller.Route.Database)),
      "a session reads its own writes");
  AnswerStatement Reply;
  Reply.Chunks = Answer.Chunks;
  Reply.Tag = Answer.Tag;
  const GroupState *Group = m_Targets.group(Caller.Route.Database);
  Reply.OnReplica = Group != nullptr && Group->Primary != Target;
  if (Run.AgeUnknown)
    Reply.Notice = AgeUnknownNotice;
  bool WasUncertain = !Caller.Token.coversAllWrites(Caller.Route.Database);
  if (WasUncertain) {
    Caller.Token.clearUncertain(Caller.Route.Database, Answer.Reported);
    m_Callers.reportToken(Caller, Caller.Token);
  }
  m_Callers.finish(Id, std::move(Reply));
}

void ReadRunner::onStaleAnswer(const CallerStatementId &Id, CallerState &Caller,
                               const TargetId &Target,
                               const LinkAnswered &Answer) {
  GroupState *Group = m_Targets.group(Caller.Route.Database);
  TargetState *State = Group == nullptr ? nullptr : Group->find(Target);
  if (State != nullptr)
    State->Replayed = Answer.Reported;
  m_Context.log(
      WriteLog::Level::Warning, "target-went-back",
      {{"target", Target.value()},
       {"term", std::to_string(Answer.Reported.AtTerm.value())},
       {"position", std::to_string(Answer.Reported.Position.value())}});
  Refusal Reason =
      makeRefusal(sqlstate::StatementUnknown, RunState::Failed,
                  "the data of the target \"" + Target.value() +
                      "\" are older than the session's last write");
  if (Answer.Chunks == 0)
    return retry(Id, Target, std::move(Reason));
  Reason.CloseConnection = true;
  m_Callers.refuse(Id, std::move(Reason), Answer.Chunks);
}

void ReadRunner::retry(const CallerStatementId &Id, const TargetId &Target,
                       Refusal LastError) {
  CallerState *Caller = m_Callers.findRunning(Id);
  if (Caller == nullptr)
    return;
  Execution &Run = *Caller->Running;
  Run.ExcludedTargets.insert(Target);
  Run.VerifiedPrimary.reset();
  if (Run.Attempts >= MaxAttempts || m_Context.now() >= Run.Deadline)
    return m_Callers.refuse(Id, std::move(LastError));
  route(Id);
}

} // namespace bergamotstage
