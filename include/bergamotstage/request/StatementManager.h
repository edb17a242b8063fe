#ifndef BERGAMOTSTAGE_REQUEST_STATEMENTMANAGER_H
#define BERGAMOTSTAGE_REQUEST_STATEMENTMANAGER_H

#include "bergamotstage/node/NodeContext.h"
#include "bergamotstage/request/CallerTable.h"
#include "bergamotstage/request/PrimaryRunner.h"
#include "bergamotstage/request/ReadRunner.h"
#include "bergamotstage/request/Statement.h"
#include "bergamotstage/session/PositionHistory.h"
#include "bergamotstage/session/PrimaryVerifier.h"

#include "bergamotstage/account/AccountManager.h"
#include "bergamotstage/target/TargetManager.h"
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace bergamotstage {

/// @brief Manages callers' sessions and the life cycle of their statements.
class StatementManager {
public:
  StatementManager(NodeContext &Context, AccountManager &Accounts,
                   TargetManager &Targets);

  /// @brief Returns the home VM of a database, or nothing if this VM runs its
  /// statements itself.
  using HomeLookup = std::function<std::optional<VmId>(const DatabaseId &)>;
  void setHomeLookup(HomeLookup Lookup) { m_HomeLookup = std::move(Lookup); }

  void onCallerOpened(const CallerOpened &Event);
  void onStatementReceived(const StatementReceived &Event);
  void onCallerClosed(const CallerClosed &Event);

  /// @brief Cancels the running statement of a caller if it cannot take effect.
  ///
  /// A queued statement ends as not run. For a read, or a statement inside a
  /// transaction other than its commit, the link is closed. A write that may
  /// take effect runs to its end, since an abort would only make its outcome
  /// unknown.
  void onCancelRequested(const CancelRequested &Event);

  /// @brief At the home VM: runs a statement that another VM forwarded.
  void onForwardReceived(const ForwardReceived &Event);
  /// @brief At the origin: passes on the answer of the home VM.
  void onForwardAnswered(const ForwardAnswered &Event);
  /// @brief At the origin: retries or refuses a statement whose answer is lost.
  void onForwardLost(const ForwardLost &Event);

  /// @brief Closes all idle callers whose key was removed from the rules.
  void onRulesChanged();

  /// @brief Number of connected callers.
  std::size_t callerCount() const { return m_Callers.size(); }
  /// @brief Whether any statement or transaction is in progress.
  bool isBusy() const;
  /// @brief Closes every caller without a running statement or transaction.
  void closeIdleCallers(const Refusal &Reason);

private:
  void applySetting(CallerState &Caller, const std::string &Name,
                    const std::string &Value);
  void restoreToken(CallerState &Caller, const std::string &Text);
  void recordReplicaPositions(const SessionToken &Token);
  void answerSetting(const CallerStatementId &Id, CallerState &Caller);
  CallerStatementId beginStatement(CallerState &Caller,
                                   const StatementReceived &Event,
                                   Instant Deadline);
  bool answerLocally(const CallerStatementId &Id, CallerState &Caller);
  void routeStatement(const CallerStatementId &Id, CallerState &Caller);
  void forwardToHome(const CallerStatementId &Id, CallerState &Caller,
                     const VmId &Home);
  bool agreesOnTransaction(const ForwardReceived &Event);
  CallerState &updateForwardedCaller(const ForwardReceived &Event);
  void runLocally(const CallerStatementId &Id, const CallerState &Caller);
  void onStatementTimeout(const CallerStatementId &Id);
  void onStatementFinished(const CallerState &Caller, const Execution &Run,
                           const AnswerStatement &Answer);
  ArmId findPolicyArm(const CallerState &Caller) const;
  void closeCallers(const std::vector<CallerId> &Callers,
                    const Refusal &Reason);

  NodeContext &m_Context;
  AccountManager &m_Accounts;
  TargetManager &m_Targets;
  HomeLookup m_HomeLookup;
  CallerTable m_Callers;
  PositionHistory m_Positions;
  PrimaryVerifier m_Verifier;
  ReadRunner m_Reads;
  PrimaryRunner m_Primary;
};

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_REQUEST_STATEMENTMANAGER_H
