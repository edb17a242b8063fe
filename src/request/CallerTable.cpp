#include "bergamotstage/request/CallerTable.h"

#include "bergamotstage/account/KeyCheck.h"
#include "bergamotstage/core/Invariant.h"
#include "bergamotstage/request/Refusals.h"

#include <utility>

namespace bergamotstage {
namespace {

const char *const SessionParameter = "bergamotstage.session";

bool endsTransaction(StatementKind Kind) {
  return Kind == StatementKind::Commit || Kind == StatementKind::Rollback;
}

/// @brief Whether an answer completes the request with the caller's request id.
bool completesRequest(const Execution &Run, const AnswerStatement &Answer) {
  RunState State = Answer.Error ? Answer.Error->State : RunState::Completed;
  bool Decided = State == RunState::Completed || State == RunState::Failed;
  bool IsRequest =
      Run.Kind == StatementKind::Write || endsTransaction(Run.Kind);
  return Decided && IsRequest;
}

void appendNotice(AnswerStatement &Answer, const std::string &Text) {
  bool Both = !Answer.Notice.empty() && !Text.empty();
  Answer.Notice += (Both ? "; " : "") + Text;
}

} // namespace

CallerState *CallerTable::find(CallerId Id) {
  auto Found = m_Callers.find(Id);
  return Found == m_Callers.end() ? nullptr : &Found->second;
}

CallerState *CallerTable::findRunning(const CallerStatementId &Id) {
  CallerState *Caller = find(Id.Caller);
  bool IsRunning = Caller != nullptr && Caller->Running &&
                   Caller->Running->Statement == Id.Statement;
  return IsRunning ? Caller : nullptr;
}

std::vector<CallerId> CallerTable::select(
    const std::function<bool(const CallerState &)> &Predicate) const {
  std::vector<CallerId> Selected;
  for (const auto &[Id, Caller] : m_Callers)
    if (Predicate(Caller))
      Selected.push_back(Id);
  return Selected;
}

void CallerTable::finish(const CallerStatementId &Id, AnswerStatement Answer) {
  CallerState *Caller = findRunning(Id);
  if (Caller == nullptr)
    return;
  Execution Run = std::move(*Caller->Running);
  Caller->Running.reset();
  m_Context.timers().cancel(Run.Timer);
  if (m_OnFinished)
    m_OnFinished(*Caller, Run, Answer);
  bool OutsideTransaction = Caller->Transaction == TransactionState::None;
  if (OutsideTransaction) {
    Caller->HasWritten = false;
    Caller->HoldsClaim = false;
  }
  if (OutsideTransaction && completesRequest(Run, Answer))
    Caller->RequestId.clear();
  if (Caller->Disconnected)
    return remove(*Caller);
  if (Run.UncertainTokenSent && Answer.Error)
    reportToken(*Caller, Caller->Token);
  if (Caller->Explain)
    appendNotice(Answer, describeDecision(Run.Decision));
  Answer.Caller = Id.Caller;
  Answer.Statement = Id.Statement;
  Answer.InTransaction = !OutsideTransaction;
  Answer.TransactionFailed = Caller->Transaction == TransactionState::Failed;
  bool Close = Answer.Error && Answer.Error->CloseConnection;
  m_Context.emit(std::move(Answer));
  bool ForwardDone = Caller->Remote && OutsideTransaction;
  bool KeyRevoked = !Caller->Remote && Caller->Key &&
                    !isKeyValid(m_Context.rules(), *Caller->Key);
  if (KeyRevoked && !Close)
    m_Context.emit(CloseCaller{
        Id.Caller, makeClosingRefusal(sqlstate::InvalidAuthorization,
                                      "the key was withdrawn")});
  if (Close || ForwardDone || KeyRevoked)
    remove(*Caller);
}

void CallerTable::refuse(const CallerStatementId &Id, Refusal Reason,
                         std::uint64_t Chunks) {
  const CallerState *Caller = findRunning(Id);
  if (Caller == nullptr)
    return;
  BERGAMOTSTAGE_INVARIANT(Reason.State != RunState::NotRun ||
                              !Caller->Running->MayTakeEffect,
                          "a statement refused as not run cannot take effect");
  AnswerStatement Answer;
  Answer.Chunks = Chunks;
  Answer.Error = std::move(Reason);
  finish(Id, std::move(Answer));
}

Refusal CallerTable::recordLinkLoss(CallerState &Caller,
                                    const std::string &Cause) {
  Execution &Run = *Caller.Running;
  bool WasInTransaction = Caller.Transaction != TransactionState::None;
  Run.Link.reset();
  Caller.PinnedLink.reset();
  Caller.Home.reset();
  if (Run.MayTakeEffect) {
    Caller.Transaction = TransactionState::None;
    Caller.Token.markUncertain(Caller.Route.Database);
    reportToken(Caller, Caller.Token);
    return makeRefusal(sqlstate::TransactionUnknown, RunState::Unknown, Cause);
  }
  if (!WasInTransaction)
    return makeRefusal(sqlstate::ConnectionFailure,
                       Run.Sent ? RunState::Failed : RunState::NotRun, Cause);
  Caller.Transaction = endsTransaction(Run.Kind) ? TransactionState::None
                                                 : TransactionState::Failed;
  return makeRefusal(sqlstate::ConnectionFailure, RunState::Failed,
                     Cause + "; the transaction was rolled back");
}

Refusal CallerTable::abortStatement(CallerState &Caller,
                                    const std::string &Cause) {
  if (std::optional<LinkId> Link = Caller.Running->Link)
    m_Links.release(*Link, false);
  if (Caller.Running->Forwarded && Caller.Home)
    m_Context.emit(CloseForward{*Caller.Home, Caller.Id});
  return recordLinkLoss(Caller, Cause);
}

void CallerTable::reportToken(const CallerState &Caller,
                              const SessionToken &Token) {
  m_Context.emit(ReportParameter{
      Caller.Id, SessionParameter,
      encodeToken(Token, Caller.Account, m_Context.settings().TokenSecret)});
}

void CallerTable::reportUncertainToken(CallerState &Caller) {
  const DatabaseId &Database = Caller.Route.Database;
  if (Caller.Remote || Caller.Running->UncertainTokenSent ||
      Caller.Token.UncertainDatabases.count(Database) > 0)
    return;
  Caller.Running->UncertainTokenSent = true;
  SessionToken Token = Caller.Token;
  Token.markUncertain(Database);
  reportToken(Caller, Token);
}

void CallerTable::remove(CallerState &Caller) {
  if (Caller.Running) {
    m_Context.timers().cancel(Caller.Running->Timer);
    bool LinkAcquired =
        Caller.Running->Link && Caller.Running->Link != Caller.PinnedLink;
    if (LinkAcquired)
      m_Links.release(*Caller.Running->Link, false);
  }
  if (Caller.PinnedLink)
    m_Links.release(*Caller.PinnedLink, false);
  if (Caller.Home)
    m_Context.emit(CloseForward{*Caller.Home, Caller.Id});
  m_Callers.erase(Caller.Id);
}

} // namespace bergamotstage
