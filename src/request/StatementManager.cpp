#include "bergamotstage/request/StatementManager.h"

#include "bergamotstage/account/KeyCheck.h"
#include "bergamotstage/core/Parse.h"
#include "bergamotstage/request/Refusals.h"
#include "bergamotstage/rules/PolicyChoice.h"

#include <utility>

namespace bergamotstage {
namespace {

const char *const SessionSetting = "bergamotstage.session";
const char *const MaxAgeSetting = "bergamotstage.max_age";
const char *const RequestIdSetting = "bergamotstage.request_id";
const char *const IdempotentSetting = "bergamotstage.idempotent";
const char *const ExplainSetting = "bergamotstage.explain";
/// @brief Added to the deadline of forwarded statements, so that the home VM
/// times out first and its answer arrives.
constexpr Duration ForwardGrace = milliseconds(500);

bool endsTransaction(StatementKind Kind) {
  return Kind == StatementKind::Commit || Kind == StatementKind::Rollback;
}

bool isIdle(const CallerState &Caller) {
  return !Caller.Running && !Caller.PinnedLink && !Caller.Home;
}

} // namespace

StatementManager::StatementManager(NodeContext &Context,
                                   AccountManager &Accounts,
                                   TargetManager &Targets)
    : m_Context(Context), m_Accounts(Accounts), m_Targets(Targets),
      m_Callers(Context, Targets.links()),
      m_Verifier(Context, Targets.monitors(), m_Positions),
      m_Reads(Context, Targets, m_Callers, m_Verifier, m_Positions),
      m_Primary(Context, Targets, m_Callers, m_Verifier, m_Positions) {
  m_Callers.setFinishedHook([this](const CallerState &Caller,
                                   const Execution &Run,
                                   const AnswerStatement &Answer) {
    onStatementFinished(Caller, Run, Answer);
  });
}

void StatementManager::onStatementFinished(const CallerState &Caller,
                                           const Execution &Run,
                                           const AnswerStatement &Answer) {
  metrics::Sample StatementSample;
  StatementSample.State =
      Answer.Error ? Answer.Error->State : RunState::Completed;
  if (Run.Admitted && StatementSample.State == RunState::NotRun)
    m_Accounts.refund(Caller.Account);
  // Statements of a forwarded caller are counted at its origin.
  if (Caller.Remote)
    return;
  bool Transaction = Caller.Transaction != TransactionState::None ||
                     Run.Kind == StatementKind::Begin ||
                     endsTransaction(Run.Kind);
  StatementSample.Account = Caller.Account;
  StatementSample.Class = Transaction ? metrics::StatementClass::Transaction
                          : Run.Kind == StatementKind::Read
                              ? metrics::StatementClass::Read
                              : metrics::StatementClass::Write;
  StatementSample.Arm = findPolicyArm(Caller);
  StatementSample.SqlState = Answer.Error ? Answer.Error->SqlState : "";
  StatementSample.Latency = m_Context.now() - Run.ReceivedAt;
  StatementSample.OnReplica = Answer.OnReplica;
  m_Context.metrics().record(StatementSample);
}

ArmId StatementManager::findPolicyArm(const CallerState &Caller) const {
  return choosePolicy(m_Context.rules(), "reads", "default",
                      Caller.Token.SessionId)
      .Arm;
}

void StatementManager::onCallerOpened(const CallerOpened &Event) {
  const RuleSet &Rules = m_Context.rules();
  auto Close = [&](const char *SqlState, const std::string &Message) {
    m_Context.emit(
        CloseCaller{Event.Caller, makeClosingRefusal(SqlState, Message)});
  };
  if (Rules.Number.value() == 0)
    return Close(sqlstate::CannotConnectNow, "no rules are in force yet");
  if (m_Callers.size() >= m_Context.settings().MaxCallers)
    return Close(sqlstate::TooManyConnections,
                 "too many connections; the limit of this VM is " +
                     std::to_string(m_Context.settings().MaxCallers));
  auto Route = Rules.Routes.find(Event.Route);
  if (Route == Rules.Routes.end())
    return Close(sqlstate::InvalidCatalogName,
                 "the route \"" + Event.Route.value() + "\" does not exist");
  CallerState Caller;
  Caller.Id = Event.Caller;
  Caller.Account = Event.Account;
  Caller.Route = Route->second;
  Caller.MaxAge = Route->second.MaxAge;
  Caller.Token.SessionId = m_Context.random()();
  if (!Route->second.Open) {
    if (!Event.Key) {
      m_Context.emit(RequestKey{Event.Caller});
      return;
    }
    if (!m_Context.rulesAreCurrent())
      return Close(sqlstate::CannotConnectNow,
                   "this VM cannot check whether the key is still valid");
    Caller.Key = findKey(Rules, Event.Account, *Event.Key);
    if (!Caller.Key)
      return Close(sqlstate::InvalidPassword, "the key is not valid");
  }
  for (const auto &[Name, Value] : Event.Settings)
    applySetting(Caller, Name, Value);
  m_Callers.findOrCreate(Event.Caller) = std::move(Caller);
  m_Context.emit(AdmitCaller{Event.Caller});
}

void StatementManager::applySetting(CallerState &Caller,
                                    const std::string &Name,
                                    const std::string &Value) {
  if (Name == SessionSetting) {
    restoreToken(Caller, Value);
  } else if (Name == MaxAgeSetting) {
    Caller.MaxAge = parseDuration(Value);
  } else if (Name == RequestIdSetting) {
    Caller.RequestId = Value;
  } else if (Name == IdempotentSetting) {
    Caller.Idempotent = Value == "on" || Value == "true";
  } else if (Name == ExplainSetting) {
    Caller.Explain = Value == "on" || Value == "true";
  }
}

void StatementManager::restoreToken(CallerState &Caller,
                                    const std::string &Text) {
  if (Text.empty())
    return;
  auto Token =
      decodeToken(Text, Caller.Account, m_Context.settings().TokenSecret);
  if (Token) {
    Caller.Token = *Token;
    return recordReplicaPositions(*Token);
  }
  Caller.Token = SessionToken();
  Caller.Token.SessionId = m_Context.random()();
  Caller.Token.Complete = false;
}

void StatementManager::recordReplicaPositions(const SessionToken &Token) {
  for (const auto &[Database, Replica] : Token.CoveringReplicas) {
    GroupState *Group = m_Targets.group(Database);
    TargetState *Target = Group == nullptr ? nullptr : Group->find(Replica);
    HistoryPoint Covered = Token.requiredPoint(Database);
    if (Target != nullptr && Target->Replayed < Covered)
      Target->Replayed = Covered;
  }
}

void StatementManager::onCallerClosed(const CallerClosed &Event) {
  CallerState *Caller = m_Callers.find(Event.Caller);
  if (Caller == nullptr)
    return;
  Caller->Disconnected = true;
  bool MustRunToEnd = Caller->Running && Caller->Running->MayTakeEffect;
  if (!MustRunToEnd)
    m_Callers.remove(*Caller);
}

void StatementManager::onCancelRequested(const CancelRequested &Event) {
  CallerState *Caller = m_Callers.find(Event.Caller);
  if (Caller == nullptr || !Caller->Running || Caller->Running->MayTakeEffect)
    return;
  CallerStatementId Id{Event.Caller, Caller->Running->Statement};
  Refusal Reason =
      m_Callers.abortStatement(*Caller, "cancelled at the caller's request");
  Reason.SqlState = sqlstate::QueryCanceled;
  m_Callers.refuse(Id, std::move(Reason));
}

void StatementManager::onStatementTimeout(const CallerStatementId &Id) {
  CallerState *Caller = m_Callers.findRunning(Id);
  if (Caller == nullptr)
    return;
  Execution &Run = *Caller->Running;
  if (Run.Forwarded && m_Context.now() < Run.Deadline + ForwardGrace) {
    Run.Timer = m_Context.timers().schedule(
        Run.Deadline + ForwardGrace, [this, Id] { onStatementTimeout(Id); });
    return;
  }
  Refusal Reason = m_Callers.abortStatement(*Caller, "the statement timed out");
  if (Reason.State != RunState::Unknown)
    Reason.SqlState = sqlstate::QueryCanceled;
  m_Callers.refuse(Id, std::move(Reason));
}

void StatementManager::closeCallers(const std::vector<CallerId> &Callers,
                                    const Refusal &Reason) {
  for (CallerId Id : Callers) {
    m_Context.emit(CloseCaller{Id, Reason});
    m_Callers.remove(*m_Callers.find(Id));
  }
}

void StatementManager::onRulesChanged() {
  auto HasRevokedKey = [this](const CallerState &Caller) {
    return Caller.Key && !isKeyValid(m_Context.rules(), *Caller.Key) &&
           !Caller.Running;
  };
  closeCallers(m_Callers.select(HasRevokedKey),
               makeClosingRefusal(sqlstate::InvalidAuthorization,
                                  "the key was withdrawn"));
}

bool StatementManager::isBusy() const {
  auto Busy = [](const CallerState &Caller) { return !isIdle(Caller); };
  return !m_Callers.select(Busy).empty();
}

void StatementManager::closeIdleCallers(const Refusal &Reason) {
  closeCallers(m_Callers.select(isIdle), Reason);
}

CallerStatementId StatementManager::beginStatement(
    CallerState &Caller, const StatementReceived &Event, Instant Deadline) {
  CallerStatementId Id{Event.Caller, Event.Statement};
  Execution Run;
  Run.Statement = Event.Statement;
  Run.Kind = statementKind(*Event.Body);
  Run.ReceivedAt = m_Context.now();
  Run.Deadline = Deadline;
  Run.Body = Event.Body;
  Run.Timer = m_Context.timers().schedule(
      Deadline, [this, Id] { onStatementTimeout(Id); });
  Caller.Running = std::move(Run);
  return Id;
}

void StatementManager::onStatementReceived(const StatementReceived &Event) {
  CallerState *Caller = m_Callers.find(Event.Caller);
  if (Caller == nullptr || Caller->Running)
    return;
  CallerStatementId Id = beginStatement(
      *Caller, Event, m_Context.now() + m_Context.settings().StatementTimeout);
  if (Caller->Key && !isKeyValid(m_Context.rules(), *Caller->Key))
    return m_Callers.refuse(Id,
                            makeClosingRefusal(sqlstate::InvalidAuthorization,
                                               "the key was withdrawn"));
  if (Caller->Key && !m_Context.rulesAreCurrent())
    return m_Callers.refuse(
        Id, makeRefusal(sqlstate::CannotConnectNow, RunState::NotRun,
                        "this VM cannot check whether the key is still valid"));
  if (answerLocally(Id, *Caller))
    return;
  if (Caller->PinnedLink)
    return m_Primary.startInTransaction(Id);
  if (Caller->Home)
    return forwardToHome(Id, *Caller, *Caller->Home);
  m_Accounts.admit(Caller->Account,
                   [this, Id](const AccountManager::AdmissionResult &Admitted) {
                     CallerState *RunningCaller = m_Callers.findRunning(Id);
                     if (RunningCaller == nullptr)
                       return;
                     if (!Admitted)
                       return m_Callers.refuse(Id, Admitted.error());
                     RunningCaller->Running->Admitted = true;
                     routeStatement(Id, *RunningCaller);
                   });
}

bool StatementManager::answerLocally(const CallerStatementId &Id,
                                     CallerState &Caller) {
  StatementKind Kind = Caller.Running->Kind;
  bool TransactionActive = Caller.PinnedLink || Caller.Home;
  bool EndsTransaction = endsTransaction(Kind);
  AnswerStatement Answer;
  if (Kind == StatementKind::Unsupported) {
    m_Callers.refuse(Id, makeRefusal(sqlstate::FeatureNotSupported,
                                     RunState::NotRun,
                                     "this statement is not supported"));
    return true;
  }
  if (Kind == StatementKind::Setting) {
    answerSetting(Id, Caller);
    return true;
  }
  bool TransactionLost =
      Caller.Transaction == TransactionState::Failed && !TransactionActive;
  if (TransactionLost && !EndsTransaction && Kind != StatementKind::Empty) {
    m_Callers.refuse(
        Id, makeRefusal(sqlstate::InFailedTransaction, RunState::NotRun,
                        "the transaction was lost; end it with ROLLBACK"));
    return true;
  }
  if (TransactionActive || (!EndsTransaction && Kind != StatementKind::Empty))
    return false;
  if (EndsTransaction) {
    bool RolledBack = TransactionLost || Kind == StatementKind::Rollback;
    Answer.Tag = RolledBack ? "ROLLBACK" : "COMMIT";
    Caller.Transaction = TransactionState::None;
  }
  m_Callers.finish(Id, std::move(Answer));
  return true;
}

void StatementManager::answerSetting(const CallerStatementId &Id,
                                     CallerState &Caller) {
  SettingChange Change = parseSetting(Caller.Running->Body->Text);
  applySetting(Caller, Change.Name, Change.Value);
  AnswerStatement Answer;
  Answer.Tag = "SET";
  m_Callers.finish(Id, std::move(Answer));
}

void StatementManager::runLocally(const CallerStatementId &Id,
                                  const CallerState &Caller) {
  if (Caller.Running->Kind == StatementKind::Read)
    m_Reads.start(Id);
  else
    m_Primary.start(Id);
}

} // namespace bergamotstage
