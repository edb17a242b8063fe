#include "bergamotstage/account/KeyCheck.h"
#include "bergamotstage/request/StatementDuty.h"
#include "bergamotstage/session/SessionToken.h"

#include <algorithm>
#include <utility>

namespace bergamotstage {
namespace {

const char *const SessionParameter = "bergamotstage.session";

/// @brief What goes with a statement to the home; never the key itself.
ForwardedSession sessionOf(const CallerState &Caller,
                           const std::string &Secret) {
  ForwardedSession Session;
  Session.Account = Caller.Account;
  if (Caller.Key) {
    Session.KeyId = Caller.Key->KeyId;
    Session.KeyDigest = Caller.Key->Digest;
  }
  Session.Route = Caller.Route.Id;
  if (!Caller.Token.Seen.empty())
    Session.Token = encodeToken(Caller.Token, Caller.Account, Secret);
  Session.TokenMissing = Caller.TokenMissing;
  Session.MaxAge = Caller.MaxAge;
  Session.RequestId = Caller.RequestId;
  Session.Idempotent = Caller.Idempotent;
  return Session;
}

Refusal lostRefusal(bool NeverSent) {
  Refusal Reason;
  Reason.SqlState =
      NeverSent ? sqlstate::ConnectionFailure : sqlstate::TransactionUnknown;
  Reason.State = NeverSent ? RunState::NotRun : RunState::Unknown;
  Reason.Message = "the connection to the database's home VM was lost";
  Reason.RetryAfter = seconds(1);
  return Reason;
}

} // namespace

void StatementDuty::route(const Running &Work, CallerState &Caller) {
  std::optional<VmId> Home;
  if (m_HomeOf && !Caller.Remote)
    Home = m_HomeOf(Caller.Route.Database);
  if (Home)
    return forward(Work, Caller, *Home);
  runFree(Work, Caller);
}

void StatementDuty::forward(const Running &Work, CallerState &Caller,
                            const VmId &Home) {
  auto Member = m_Context.members().find(Home);
  if (Member == m_Context.members().end()) {
    Caller.Home.reset();
    Caller.Transaction = TransactionState::None;
    return refuse(Work, lostRefusal(true));
  }
  m_Forwarded.insert_or_assign(Work.Statement, Work);
  ForwardStatement Wanted;
  Wanted.To = Home;
  Wanted.Address = Member->second.PeerAddress;
  Wanted.Caller = Work.Caller;
  Wanted.Statement = Work.Statement;
  Wanted.Session = sessionOf(Caller, m_Context.settings().TokenSecret);
  Wanted.Body = Work.Body;
  Wanted.TimeLeft = std::max(Duration(0), Work.Deadline - m_Context.now());
  Caller.Home = Home;
  m_Context.act(std::move(Wanted));
}

void StatementDuty::forwardAnswered(const ForwardAnswered &Event) {
  auto Found = m_Forwarded.find(Event.Statement);
  if (Found == m_Forwarded.end())
    return;
  Running Work = std::move(Found->second);
  m_Forwarded.erase(Found);
  CallerState *Caller = caller(Work.Caller);
  if (Caller == nullptr)
    return;
  Caller->Transaction = !Event.InTransaction      ? TransactionState::None
                        : Event.TransactionFailed ? TransactionState::Failed
                                                  : TransactionState::Open;
  if (!Event.InTransaction)
    Caller->Home.reset();
  auto Token = decodeToken(Event.Token, Caller->Account,
                           m_Context.settings().TokenSecret);
  if (Token) {
    Caller->Token = *Token;
    Caller->TokenMissing = false;
    m_Context.act(ReportParameter{Work.Caller, SessionParameter, Event.Token});
  }
  AnswerStatement Answer;
  Answer.Chunks = Event.Chunks;
  Answer.Error = Event.Error;
  Answer.Tag = Event.Tag;
  Answer.Notice = Event.Notice;
  finish(Work, std::move(Answer));
}

void StatementDuty::forwardLost(const ForwardLost &Event) {
  auto Found = m_Forwarded.find(Event.Statement);
  if (Found == m_Forwarded.end())
    return;
  Running Work = std::move(Found->second);
  m_Forwarded.erase(Found);
  CallerState *Caller = caller(Work.Caller);
  if (Caller == nullptr)
    return;
  bool WasInTransaction = Caller->Transaction != TransactionState::None;
  Caller->Home.reset();
  Caller->Transaction = TransactionState::None;
  bool HasNoEffect = Event.NeverSent ||
                     (Work.Kind == StatementKind::Read && Event.Chunks == 0);
  if (WasInTransaction || !HasNoEffect)
    return refuse(Work, lostRefusal(false), Event.Chunks);
  if (m_Context.now() >= Work.Deadline)
    return refuse(Work, lostRefusal(Event.NeverSent));
  m_Context.timers().schedule(m_Context.now() + milliseconds(20), [this, Work] {
    if (CallerState *Known = caller(Work.Caller))
      route(Work, *Known);
  });
}

CallerState &StatementDuty::forwardedCaller(const ForwardArrived &Event) {
  CallerState &Caller = m_Callers[Event.Caller];
  const ForwardedSession &Session = Event.Session;
  Caller.Id = Event.Caller;
  Caller.Remote = true;
  Caller.Account = Session.Account;
  Caller.Key.reset();
  if (!Session.KeyDigest.empty()) {
    Caller.Key.emplace();
    Caller.Key->Account = Session.Account;
    Caller.Key->KeyId = Session.KeyId;
    Caller.Key->Digest = Session.KeyDigest;
  }
  auto Token = decodeToken(Session.Token, Session.Account,
                           m_Context.settings().TokenSecret);
  Caller.Token = Token.value_or(SessionToken());
  Caller.TokenMissing = Session.TokenMissing;
  Caller.MaxAge = Session.MaxAge;
  Caller.RequestId = Session.RequestId;
  Caller.Idempotent = Session.Idempotent;
  return Caller;
}

void StatementDuty::forwardArrived(const ForwardArrived &Event) {
  CallerState &Caller = forwardedCaller(Event);
  if (Caller.Running)
    return;
  Caller.Running = Event.Statement;
  Running Work{Event.Caller, Event.Statement, kindOf(*Event.Body),
               m_Context.now() + Event.TimeLeft, Event.Body};
  auto Route = m_Context.rules().Routes.find(Event.Session.Route);
  bool Known = Route != m_Context.rules().Routes.end();
  bool Allowed = Known && (Route->second.Open || Caller.Key);
  if (!Allowed || (Caller.Key && !keyStands(m_Context.rules(), *Caller.Key))) {
    Refusal Reason;
    Reason.SqlState = sqlstate::InvalidAuthorization;
    Reason.State = RunState::NotRun;
    Reason.Message = "the route is not open to this client account";
    return refuse(Work, Reason);
  }
  Caller.Route = Route->second;
  if (Caller.Pinned)
    return runOn(Work, *Caller.Pinned);
  runFree(Work, Caller);
}

} // namespace bergamotstage
