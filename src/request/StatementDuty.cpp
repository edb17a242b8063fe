#include "bergamotstage/request/StatementDuty.h"

#include "bergamotstage/account/KeyCheck.h"
#include "bergamotstage/core/Parse.h"
#include "bergamotstage/session/ReadPolicy.h"

#include <utility>
#include <vector>

namespace bergamotstage {
namespace {

const char *const SessionSetting = "bergamotstage.session";
const char *const MaxAgeSetting = "bergamotstage.max_age";
const char *const RequestIdSetting = "bergamotstage.request_id";
const char *const IdempotentSetting = "bergamotstage.idempotent";

Refusal refusal(const char *SqlState, RunState State, std::string Message) {
  Refusal Reason;
  Reason.SqlState = SqlState;
  Reason.State = State;
  Reason.Message = std::move(Message);
  return Reason;
}

Refusal closing(const char *SqlState, std::string Message) {
  Refusal Reason = refusal(SqlState, RunState::NotRun, std::move(Message));
  Reason.CloseConnection = true;
  return Reason;
}

bool endsTransaction(StatementKind Kind) {
  return Kind == StatementKind::Commit || Kind == StatementKind::Rollback;
}

} // namespace

StatementDuty::StatementDuty(NodeContext &Context, AccountDuty &Accounts,
                             TargetDuty &Targets)
    : m_Context(Context), m_Accounts(Accounts), m_Targets(Targets) {}

CallerState *StatementDuty::caller(CallerId Id) {
  auto Found = m_Callers.find(Id);
  return Found == m_Callers.end() ? nullptr : &Found->second;
}

void StatementDuty::opened(const CallerOpened &Event) {
  const RuleBook &Rules = m_Context.rules();
  auto Close = [&](const char *SqlState, const char *Message) {
    m_Context.act(CloseCaller{Event.Caller, closing(SqlState, Message)});
  };
  if (Rules.Number.value() == 0)
    return Close(sqlstate::CannotConnectNow, "no rules are in force yet");
  if (m_Callers.size() >= m_Context.settings().MaxCallers)
    return Close(sqlstate::TooManyConnections, "too many connections");
  auto Route = Rules.Routes.find(Event.Route);
  if (Route == Rules.Routes.end())
    return Close(sqlstate::InvalidCatalogName, "no such route");
  CallerState Caller;
  Caller.Id = Event.Caller;
  Caller.Account = Event.Account;
  Caller.Route = Route->second;
  Caller.MaxAge = Route->second.MaxAge;
  if (!Route->second.Open) {
    if (!Event.Key) {
      m_Context.act(AskForKey{Event.Caller});
      return;
    }
    Caller.Key = findKey(Rules, Event.Account, *Event.Key);
    if (!Caller.Key)
      return Close(sqlstate::InvalidPassword, "the key is not valid");
  }
  for (const auto &[Name, Value] : Event.Settings)
    takeSetting(Caller, Name, Value);
  m_Callers.emplace(Event.Caller, std::move(Caller));
  m_Context.act(AdmitCaller{Event.Caller});
}

void StatementDuty::takeSetting(CallerState &Caller, const std::string &Name,
                                const std::string &Value) {
  if (Name == SessionSetting) {
    auto Token =
        decodeToken(Value, Caller.Account, m_Context.settings().TokenSecret);
    Caller.NamedSession = !Value.empty();
    Caller.TokenMissing = Caller.NamedSession && !Token;
    Caller.Token = Token.value_or(SessionToken());
  } else if (Name == MaxAgeSetting) {
    Caller.MaxAge = parseDuration(Value);
  } else if (Name == RequestIdSetting) {
    Caller.RequestId = Value;
  } else if (Name == IdempotentSetting) {
    Caller.Idempotent = Value == "on" || Value == "true";
  }
}

void StatementDuty::closed(const CallerClosed &Event) {
  CallerState *Caller = caller(Event.Caller);
  if (Caller == nullptr)
    return;
  Caller->Gone = true;
  if (!Caller->Running)
    dropCaller(*Caller);
}

void StatementDuty::dropCaller(CallerState &Caller) {
  if (Caller.Pinned)
    m_Targets.links().release(*Caller.Pinned, false);
  if (Caller.Home)
    m_Context.act(CloseForward{*Caller.Home, Caller.Id});
  m_Callers.erase(Caller.Id);
}

void StatementDuty::rulesChanged() {
  std::vector<CallerId> Withdrawn;
  for (const auto &[Id, Caller] : m_Callers)
    if (Caller.Key && !keyStands(m_Context.rules(), *Caller.Key) &&
        !Caller.Running)
      Withdrawn.push_back(Id);
  for (CallerId Id : Withdrawn) {
    m_Context.act(CloseCaller{
        Id, closing(sqlstate::InvalidAuthorization, "the key was withdrawn")});
    dropCaller(m_Callers.at(Id));
  }
}

bool StatementDuty::busy() const {
  for (const auto &[Id, Caller] : m_Callers)
    if (Caller.Running || Caller.Pinned || Caller.Home)
      return true;
  return false;
}

void StatementDuty::closeIdle(const Refusal &Reason) {
  std::vector<CallerId> Idle;
  for (const auto &[Id, Caller] : m_Callers)
    if (!Caller.Running && !Caller.Pinned && !Caller.Home)
      Idle.push_back(Id);
  for (CallerId Id : Idle) {
    m_Context.act(CloseCaller{Id, Reason});
    dropCaller(m_Callers.at(Id));
  }
}

void StatementDuty::arrived(const StatementArrived &Event) {
  CallerState *Caller = caller(Event.Caller);
  if (Caller == nullptr || Caller->Running)
    return;
  Running Work{Event.Caller, Event.Statement, kindOf(*Event.Body),
               m_Context.now() + m_Context.settings().StatementTimeout,
               Event.Body};
  Caller->Running = Event.Statement;
  if (Caller->Key && !keyStands(m_Context.rules(), *Caller->Key))
    return refuse(
        Work, closing(sqlstate::InvalidAuthorization, "the key was withdrawn"));
  if (Work.Kind == StatementKind::Unsupported)
    return refuse(Work, refusal(sqlstate::FeatureNotSupported, RunState::NotRun,
                                "this statement is not carried"));
  if (Work.Kind == StatementKind::Setting)
    return answerSetting(*Caller, Event);
  bool InTransaction = Caller->Pinned || Caller->Home;
  bool OutsideEnd = endsTransaction(Work.Kind) && !InTransaction;
  if (Work.Kind == StatementKind::Empty || OutsideEnd) {
    AnswerStatement Answer;
    Answer.Tag = Work.Kind == StatementKind::Commit     ? "COMMIT"
                 : Work.Kind == StatementKind::Rollback ? "ROLLBACK"
                                                        : "";
    return finish(Work, Answer);
  }
  if (Caller->Pinned)
    return runOn(Work, *Caller->Pinned);
  if (Caller->Home)
    return forward(Work, *Caller, *Caller->Home);
  m_Accounts.admit(Caller->Account,
                   [this, Work](const AccountDuty::Admitted &Admitted) {
                     CallerState *Known = caller(Work.Caller);
                     if (Known == nullptr)
                       return;
                     if (!Admitted)
                       return refuse(Work, Admitted.error());
                     Running Counted = Work;
                     Counted.Admitted = true;
                     route(Counted, *Known);
                   });
}

void StatementDuty::answerSetting(CallerState &Caller,
                                  const StatementArrived &Event) {
  SettingChange Change = parseSetting(Event.Body->Text);
  takeSetting(Caller, Change.Name, Change.Value);
  Running Work{Event.Caller, Event.Statement, StatementKind::Setting, {}, {}};
  AnswerStatement Answer;
  Answer.Tag = "SET";
  finish(Work, Answer);
}

void StatementDuty::runFree(const Running &Work, const CallerState &Caller) {
  GroupState *Group = m_Targets.group(Caller.Route.Database);
  if (Group == nullptr)
    return refuse(Work, refusal(sqlstate::CannotConnectNow, RunState::NotRun,
                                "the database has no targets"));
  ReadRequest Request;
  Request.From = m_Context.settings().DataCentre;
  auto Seen = Caller.Token.Seen.find(Group->Database);
  if (Seen != Caller.Token.Seen.end())
    Request.MustCover = Seen->second;
  Request.MaxAge = Caller.MaxAge;
  Request.TokenMissing = Caller.TokenMissing;
  bool Read = Work.Kind == StatementKind::Read;
  ReadPolicy Policy = readPolicy(Read ? "nearest-covered" : "primary-only");
  ReadChoice Choice = Policy(Request, *Group, m_Context.now());
  if (Choice.Target.value().empty())
    return refuse(Work, refusal(sqlstate::CannotConnectNow, RunState::NotRun,
                                Choice.Reason));
  m_Context.log(WriteLog::Level::Debug, "routed",
                {{"statement", std::to_string(Work.Statement.value())},
                 {"kind", statementKindName(Work.Kind)},
                 {"target", Choice.Target.value()},
                 {"reason", Choice.Reason}});
  m_Targets.links().acquire(Choice.Target, Caller.Account, Work.Deadline,
                            [this, Work](const LinkPool::Lent &Lent) {
                              if (!Lent)
                                return refuse(Work, Lent.error());
                              runOn(Work, *Lent);
                            });
}

void StatementDuty::runOn(const Running &Work, LinkId Link) {
  m_Targets.links().run(Link, Work.Caller, Work.Statement, Work.Body,
                        [this, Work, Link](const LinkPool::Answer &Answer) {
                          answered(Work, Link, Answer);
                        });
}

void StatementDuty::answered(const Running &Work, LinkId Link,
                             const LinkPool::Answer &Answer) {
  if (!Answer)
    return lost(Work, Answer.error());
  if (CallerState *Caller = caller(Work.Caller))
    settleTransaction(*Caller, Link, *Answer);
  else
    m_Targets.links().release(Link, !Answer->InTransaction);
  if (!Answer->ErrorSqlState.empty()) {
    refuse(Work,
           refusal(Answer->ErrorSqlState.c_str(), RunState::Failed,
                   Answer->ErrorMessage),
           Answer->Chunks);
    return;
  }
  bool Committed =
      Work.Kind == StatementKind::Commit ||
      (Work.Kind == StatementKind::Write && !Answer->InTransaction);
  if (Committed)
    return confirm(Work, *Answer);
  AnswerStatement Done;
  Done.Chunks = Answer->Chunks;
  Done.Tag = Answer->Tag;
  finish(Work, Done);
}

void StatementDuty::settleTransaction(CallerState &Caller, LinkId Link,
                                      const LinkAnswered &Answer) {
  Caller.Transaction = !Answer.InTransaction      ? TransactionState::None
                       : Answer.TransactionFailed ? TransactionState::Failed
                                                  : TransactionState::Open;
  if (Answer.InTransaction) {
    Caller.Pinned = Link;
    return;
  }
  Caller.Pinned.reset();
  m_Targets.links().release(Link, true);
}

void StatementDuty::confirm(const Running &Work, const LinkAnswered &Answer) {
  const CallerState *Caller = caller(Work.Caller);
  const GroupState *Group =
      Caller == nullptr ? nullptr : m_Targets.group(Caller->Route.Database);
  if (Group == nullptr)
    return;
  m_Targets.confirmation().wait(
      *Group, Answer.Reported, [this, Work, Answer](Confirmed Result) {
        if (Result == Confirmed::Durable)
          return acknowledge(Work, Answer);
        refuse(Work,
               refusal(sqlstate::TransactionUnknown, RunState::Unknown,
                       Result == Confirmed::Superseded
                           ? "the primary was superseded during the commit"
                           : "the commit was not confirmed in time"),
               Answer.Chunks);
      });
}

void StatementDuty::acknowledge(const Running &Work,
                                const LinkAnswered &Answer) {
  if (CallerState *Caller = caller(Work.Caller)) {
    Caller->Token.raise(Caller->Route.Database, Answer.Reported);
    Caller->TokenMissing = false;
    m_Context.act(
        ReportParameter{Work.Caller, SessionSetting,
                        encodeToken(Caller->Token, Caller->Account,
                                    m_Context.settings().TokenSecret)});
  }
  AnswerStatement Done;
  Done.Chunks = Answer.Chunks;
  Done.Tag = Answer.Tag;
  finish(Work, Done);
}

void StatementDuty::lost(const Running &Work, const LinkLost &Lost) {
  if (CallerState *Caller = caller(Work.Caller)) {
    Caller->Pinned.reset();
    Caller->Transaction = TransactionState::None;
  }
  if (Lost.NeverSent)
    return refuse(Work, refusal(sqlstate::ConnectionFailure, RunState::NotRun,
                                "the connection to the target was lost"));
  refuse(Work,
         refusal(sqlstate::TransactionUnknown, RunState::Unknown,
                 "the connection to the target was lost"),
         Lost.Chunks);
}

void StatementDuty::refuse(const Running &Work, Refusal Reason,
                           std::uint64_t Chunks) {
  const CallerState *Caller = caller(Work.Caller);
  bool TakesBack = Work.Admitted && Reason.State == RunState::NotRun;
  if (TakesBack && Caller != nullptr)
    m_Accounts.refund(Caller->Account);
  AnswerStatement Answer;
  Answer.Chunks = Chunks;
  Answer.Error = std::move(Reason);
  finish(Work, std::move(Answer));
}

void StatementDuty::finish(const Running &Work, AnswerStatement Answer) {
  CallerState *Caller = caller(Work.Caller);
  if (Caller == nullptr)
    return;
  Caller->Running.reset();
  if (Caller->Gone)
    return dropCaller(*Caller);
  Answer.Caller = Work.Caller;
  Answer.Statement = Work.Statement;
  Answer.InTransaction = Caller->Transaction != TransactionState::None;
  Answer.TransactionFailed = Caller->Transaction == TransactionState::Failed;
  bool Close = Answer.Error && Answer.Error->CloseConnection;
  m_Context.act(std::move(Answer));
  bool Finished =
      Caller->Remote && Caller->Transaction == TransactionState::None;
  if (Close || Finished)
    dropCaller(*Caller);
}

} // namespace bergamotstage
