#include "bergamotstage/pooling/Sessions.h"

#include <vector>

// The right of a caller to go on with an operation under the configuration in
// force, which may be newer than the operation.

namespace bergamotstage::pooling {

/// @brief Why an operation must not go on: its key was withdrawn, or names
/// another client account now.
///
/// A change of the route applies to later operations only.
std::optional<ErrorCode>
Sessions::authorizationFault(const Session &CallerSession) const {
  const Operation &Op = *CallerSession.Op;
  if (Op.Route.Open)
    return std::nullopt;
  auto Key = m_Config->Keys.find(CallerSession.Key);
  if (Key == m_Config->Keys.end())
    return ErrorCode::NoKey;
  if (Key->second != Op.Account)
    return ErrorCode::Aborted;
  return std::nullopt;
}

const char *Sessions::authorizationCause(ErrorCode Fault) {
  return Fault == ErrorCode::NoKey ? KeyCause
                                   : "the key names another client account";
}

void Sessions::refuseUnauthorized(Session &CallerSession, ErrorCode Fault) {
  refuse(CallerSession, Fault, authorizationCause(Fault), OtherVmRetryAfter);
}

void Sessions::endUnauthorizedOperations() {
  std::vector<CallerId> Callers;
  Callers.reserve(m_CallersByOperation.size());
  for (const auto &[Number, Caller] : m_CallersByOperation)
    Callers.push_back(Caller);
  for (CallerId Caller : Callers) {
    // The end of another operation may have changed this session.
    Session *CallerSession = find(Caller);
    if (CallerSession != nullptr && CallerSession->Op)
      endIfUnauthorized(*CallerSession);
  }
}

void Sessions::endIfUnauthorized(Session &CallerSession) {
  Operation &Op = *CallerSession.Op;
  auto Fault = authorizationFault(CallerSession);
  if (!Fault || Op.TransactionFailed)
    return;
  if (!Op.AwaitingReply)
    return abortTransaction(CallerSession, authorizationCause(*Fault));
  bool MayTakeEffect =
      Op.Dispatched && (Op.Current.Kind == Verb::Commit ||
                        (!isTransaction(Op.Mode) && Op.Current.writes()));
  // Only the owner knows whether the target has the statement already.
  if (MayTakeEffect)
    return m_Hooks.Send(Op.Owner, WithdrawStatement{Op.Number});
  if (Op.Dispatched) {
    m_Hooks.Send(Op.Owner, AbortOperation{Op.Number});
    Op.Dispatched = false;
    // The target may run it all the same: its token is spent.
    Op.Admitted = false;
  }
  refuseUnauthorized(CallerSession, *Fault);
}

} // namespace bergamotstage::pooling
