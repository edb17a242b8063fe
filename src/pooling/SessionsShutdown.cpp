#include "bergamotstage/pooling/Sessions.h"

#include <vector>

namespace bergamotstage::pooling {
namespace {

/// Time for which the session of an aborted transaction stays open, so that a
/// statement under way is answered.
constexpr Duration AbortedSessionTimeout = milliseconds(500);

} // namespace

void Sessions::closeIdle(bool IncludeUnused) {
  m_Closing = true;
  std::vector<CallerId> Idle;
  for (const auto &[Id, CallerSession] : m_Sessions)
    if (!CallerSession.Op && CallerSession.Backlog.empty() &&
        (CallerSession.HasReply || IncludeUnused))
      Idle.push_back(Id);
  for (CallerId Id : Idle) {
    m_Hooks.Close(Id);
    m_Sessions.erase(Id);
  }
}

void Sessions::endTransactions() {
  m_EndsTransactions = true;
  std::vector<CallerId> Expired;
  for (auto &[Id, CallerSession] : m_Sessions) {
    if (CallerSession.isTransactionIdle())
      abortTransaction(CallerSession, ShutdownCause);
    else if (CallerSession.state() == SessionState::Failed &&
             CallerSession.Op->AbortedAt + AbortedSessionTimeout <=
                 m_Context.now())
      Expired.push_back(Id);
  }
  for (CallerId Id : Expired) {
    m_Hooks.Close(Id);
    onCallerClosed(Id);
  }
}

/// @brief Rolls a transaction back between two statements. The caller is told
/// in the reply to the next one.
void Sessions::abortTransaction(Session &CallerSession, const char *Cause) {
  Operation &Op = *CallerSession.Op;
  m_Context.log(WriteLog::Level::Info, "transaction_aborted",
                {{"request", Op.Current.RequestId},
                 {"account", Op.Account.value()},
                 {"route", Op.Route.Name.value()},
                 {"owner", Op.Owner.value()},
                 {"target", Op.Target.value()},
                 {"reason", Cause}});
  if (Op.Dispatched)
    m_Hooks.Send(Op.Owner, AbortOperation{Op.Number});
  Op.Dispatched = false;
  Op.TransactionFailed = true;
  Op.AbortCause = Cause;
  Op.AbortedAt = m_Context.now();
}

void Sessions::refuseInFlight() {
  std::vector<CallerId> Waiting;
  for (const auto &[Id, CallerSession] : m_Sessions)
    if (CallerSession.Op && CallerSession.Op->AwaitingReply)
      Waiting.push_back(Id);
  for (CallerId Id : Waiting)
    refuseLost(m_Sessions.at(Id), ShutdownCause);
}

} // namespace bergamotstage::pooling
