#include "bergamotstage/account/KeyCheck.h"
#include "bergamotstage/request/Refusals.h"
#include "bergamotstage/request/StatementManager.h"
#include "bergamotstage/session/SessionToken.h"

#include <algorithm>
#include <utility>

namespace bergamotstage {
namespace {

constexpr Duration RetryDelay = milliseconds(20);

/// @brief The session state that is forwarded with a statement, without the
/// key itself.
ForwardedSession sessionOf(const CallerState &Caller,
                           const std::string &Secret) {
  ForwardedSession Session;
  Session.Account = Caller.Account;
  if (Caller.Key) {
    Session.KeyId = Caller.Key->KeyId;
    Session.KeyDigest = Caller.Key->Digest;
  }
  Session.Route = Caller.Route.Id;
  Session.Token = encodeToken(Caller.Token, Caller.Account, Secret);
  Session.MaxAge = Caller.MaxAge;
  Session.RequestId = Caller.RequestId;
  Session.Idempotent = Caller.Idempotent;
  Session.Explain = Caller.Explain;
  Session.InTransaction = Caller.Transaction != TransactionState::None;
  return Session;
}

} // namespace

void StatementManager::routeStatement(const CallerStatementId &Id,
                                      CallerState &Caller) {
  std::optional<VmId> Home;
  if (m_HomeLookup && !Caller.Remote)
    Home = m_HomeLookup(Caller.Route.Database);
  if (Home)
    return forwardToHome(Id, Caller, *Home);
  runLocally(Id, Caller);
}

void StatementManager::forwardToHome(const CallerStatementId &Id,
                                     CallerState &Caller, const VmId &Home) {
  Execution &Run = *Caller.Running;
  auto Member = m_Context.members().find(Home);
  if (Member == m_Context.members().end())
    return m_Callers.refuse(Id, m_Callers.recordLinkLoss(
                                    Caller, "the database's home VM has left"));
  bool InTransaction = Caller.Transaction != TransactionState::None;
  bool Writes = Run.Kind == StatementKind::Write;
  Caller.HasWritten = Caller.HasWritten || Writes;
  Run.MayTakeEffect =
      InTransaction ? Run.Kind == StatementKind::Commit && Caller.HasWritten
                    : Writes;
  if (Run.MayTakeEffect)
    m_Callers.reportUncertainToken(Caller);
  Run.Sent = true;
  Run.Forwarded = true;
  ForwardStatement Forward;
  Forward.To = Home;
  Forward.Address = Member->second.PeerAddress;
  Forward.Caller = Id.Caller;
  Forward.Statement = Id.Statement;
  Forward.Session = sessionOf(Caller, m_Context.settings().TokenSecret);
  Forward.Body = Run.Body;
  Forward.TimeLeft = std::max(Duration(0), Run.Deadline - m_Context.now());
  Caller.Home = Home;
  m_Context.emit(std::move(Forward));
}

void StatementManager::onForwardAnswered(const ForwardAnswered &Event) {
  CallerStatementId Id{Event.Caller, Event.Statement};
  CallerState *Caller = m_Callers.findRunning(Id);
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
    m_Callers.reportToken(*Caller, *Token);
  }
  AnswerStatement Answer;
  Answer.Chunks = Event.Chunks;
  Answer.Error = Event.Error;
  Answer.Tag = Event.Tag;
  Answer.Notice = Event.Notice;
  Answer.OnReplica = Event.OnReplica;
  m_Callers.finish(Id, std::move(Answer));
}

void StatementManager::onForwardLost(const ForwardLost &Event) {
  CallerStatementId Id{Event.Caller, Event.Statement};
  CallerState *Caller = m_Callers.findRunning(Id);
  if (Caller == nullptr)
    return;
  Execution &Run = *Caller->Running;
  bool InTransaction = Caller->Transaction != TransactionState::None;
  if (Event.NeverSent) {
    Run.MayTakeEffect = false;
    Run.Sent = InTransaction;
  }
  if (Caller->Home)
    m_Context.emit(CloseForward{*Caller->Home, Caller->Id});
  bool Retryable =
      Event.NeverSent || (Run.Kind == StatementKind::Read && Event.Chunks == 0);
  Instant RetryAt = m_Context.now() + RetryDelay;
  if (InTransaction || !Retryable || RetryAt >= Run.Deadline) {
    Refusal Reason = m_Callers.recordLinkLoss(
        *Caller, "the connection to the database's home VM was lost");
    Reason.RetryAfter = seconds(1);
    return m_Callers.refuse(Id, std::move(Reason), Event.Chunks);
  }
  Caller->Home.reset();
  Run.Forwarded = false;
  m_Context.timers().schedule(RetryAt, [this, Id] {
    if (CallerState *RunningCaller = m_Callers.findRunning(Id))
      routeStatement(Id, *RunningCaller);
  });
}

CallerState &
StatementManager::updateForwardedCaller(const ForwardReceived &Event) {
  CallerState &Caller = m_Callers.findOrCreate(Event.Caller);
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
  restoreToken(Caller, Session.Token);
  Caller.MaxAge = Session.MaxAge;
  Caller.RequestId = Session.RequestId;
  Caller.Idempotent = Session.Idempotent;
  Caller.Explain = Session.Explain;
  return Caller;
}

/// @brief Whether origin and home VM agree on an open transaction. If not, the
/// transaction's link or messages about it were lost.
bool StatementManager::agreesOnTransaction(const ForwardReceived &Event) {
  CallerState *Existing = m_Callers.find(Event.Caller);
  bool OpenHere =
      Existing != nullptr && Existing->Transaction != TransactionState::None;
  if (OpenHere && !Event.Session.InTransaction) {
    m_Callers.remove(*Existing);
    return true;
  }
  return OpenHere == Event.Session.InTransaction;
}

void StatementManager::onForwardReceived(const ForwardReceived &Event) {
  const CallerState *Existing = m_Callers.find(Event.Caller);
  if (Existing != nullptr && Existing->Running)
    return;
  bool Agrees = agreesOnTransaction(Event);
  CallerState &Caller = updateForwardedCaller(Event);
  CallerStatementId Id = beginStatement(
      Caller, StatementReceived{Event.Caller, Event.Statement, Event.Body},
      m_Context.now() + Event.TimeLeft);
  auto Route = m_Context.rules().Routes.find(Event.Session.Route);
  bool RouteKnown = Route != m_Context.rules().Routes.end();
  bool Allowed = RouteKnown && (Route->second.Open || Caller.Key);
  if (!Allowed || (Caller.Key && !isKeyValid(m_Context.rules(), *Caller.Key)))
    return m_Callers.refuse(
        Id, makeRefusal(sqlstate::InvalidAuthorization, RunState::NotRun,
                        "the route \"" + Event.Session.Route.value() +
                            "\" is not open to this client account"));
  Caller.Route = Route->second;
  if (!Agrees)
    Caller.Transaction = TransactionState::Failed;
  if (answerLocally(Id, Caller))
    return;
  if (Caller.PinnedLink)
    return m_Primary.startInTransaction(Id);
  runLocally(Id, Caller);
}

} // namespace bergamotstage
