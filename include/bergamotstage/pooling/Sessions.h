#ifndef BERGAMOTSTAGE_POOLING_SESSIONS_H
#define BERGAMOTSTAGE_POOLING_SESSIONS_H

#include "bergamotstage/balancing/TargetSelector.h"
#include "bergamotstage/metrics/Registry.h"
#include "bergamotstage/pooling/Context.h"
#include "bergamotstage/pooling/FleetMessage.h"
#include "bergamotstage/pooling/Session.h"
#include "bergamotstage/pooling/TargetTable.h"
#include "bergamotstage/ratelimit/RateShare.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

namespace bergamotstage::pooling {

using balancing::TargetSelector;
using ratelimit::RateShare;

/// @brief Manages the sessions of this VM's callers and their operations.
class Sessions {
public:
  /// @brief Callbacks into the VM.
  struct Hooks {
    std::function<void(CallerId, CallerReply &&)> Answer;
    std::function<void(CallerId)> Close;
    /// Sends a message to an owner, possibly this VM itself.
    std::function<void(const VmId &, FleetMessage &&)> Send;
  };

  Sessions(Context &Ctx, TargetTable &Targets, TargetSelector &Selector,
           RateShare &Rates, metrics::Registry &Metrics, Hooks Callbacks)
      : m_Context(Ctx), m_Targets(Targets), m_Selector(Selector),
        m_Rates(Rates), m_Metrics(Metrics), m_Hooks(std::move(Callbacks)),
        m_Config(std::make_shared<SiteConfig>()),
        m_LastOperation(Ctx.random()() >> NumberFreeBits) {}

  /// @brief Applies a configuration to operations that begin from now on, and
  /// ends those whose key no longer names their client account.
  /// Complexity: linear in the operations.
  void setConfig(SharedConfig Config);
  /// @brief Applies policies to operations that begin from now on, in open
  /// sessions too. Complexity: linear in the sessions.
  void setPolicies(SitePolicies Policies);

  /// @brief Starts the session of a caller that sent its database and key.
  void onCallerOpened(CallerId Caller, std::string Database, std::string Key);
  /// @brief Runs a caller's statement, or queues it behind the current one.
  void onStatement(CallerId Caller, Statement Stmt);
  /// @brief Ends the session of a disconnected caller.
  void onCallerClosed(CallerId Caller);

  /// @brief Handles an owner's reply to a statement.
  void onReply(const VmId &Owner, const StatementReply &Reply);
  /// @brief Handles a proven position, or the failure to prove one.
  void onProof(const VmId &Owner, const ProofReply &Reply);
  /// @brief Fails the operations of an owner that became unreachable.
  void onOwnerLost(const VmId &Owner);
  /// @brief Retries operations that wait for a target.
  void retryDeferred();

  /// @brief Closes sessions that are between operations, now and from now on.
  /// @param IncludeUnused whether to close sessions without a reply yet, too
  void closeIdle(bool IncludeUnused);
  /// @brief Ends all transactions, now and from now on, so that the process can
  /// stop.
  ///
  /// A statement in flight runs to its end and is answered. Later statements
  /// are refused as not kept, and no new operation begins.
  void endTransactions();
  /// @brief Answers the statements that are still in flight as the process
  /// ends.
  void refuseInFlight();

  std::size_t size() const { return m_Sessions.size(); }
  /// @brief Number of operations in flight, open transactions included.
  std::size_t operations() const { return m_CallersByOperation.size(); }

private:
  static constexpr const char *ShutdownCause = "the VM is shutting down";
  static constexpr const char *KeyCause = "the key is no longer valid";
  /// Maximum number of owners that are asked to run an operation, or to prove a
  /// position within FailedProofLifetime.
  static constexpr unsigned MaxAttempts = 4;
  /// Suggested retry delay if another VM can serve at once.
  static constexpr Duration OtherVmRetryAfter = milliseconds(50);
  /// The first number is below 2^40 so that numbers encode into six bytes.
  static constexpr unsigned NumberFreeBits = 24;

  /// @brief Start of a session that waits for the first configuration.
  struct PendingStart {
    std::string Database;
    std::string Key;
    std::deque<Statement> Backlog;
  };

  /// @brief The latest request for a proven position of a group.
  struct ProofState {
    Instant RequestedAt{};
    std::optional<std::pair<VmId, TargetId>> Unanswered;
    /// Owners that gave no proof, and when they were asked.
    std::map<std::pair<VmId, TargetId>, Instant> FailedOwners;
  };

  Session *find(CallerId Caller);
  void queueStatement(CallerId Caller, std::deque<Statement> &Backlog,
                      Statement Stmt);
  void execute(Session &CallerSession, Statement Stmt);
  void answerLocally(Session &CallerSession, const Statement &Stmt);
  void beginTransaction(Session &CallerSession, const Statement &Stmt);
  bool startOperation(Session &CallerSession, const Statement &Stmt,
                      Access Mode);
  void endFailedTransaction(Session &CallerSession, const Statement &Stmt);
  // The right of an operation, in SessionsAuthorization.cpp.
  std::optional<ErrorCode>
  authorizationFault(const Session &CallerSession) const;
  void endUnauthorizedOperations();
  void endIfUnauthorized(Session &CallerSession);
  void refuseUnauthorized(Session &CallerSession, ErrorCode Fault);
  static const char *authorizationCause(ErrorCode Fault);
  void runStatement(Session &CallerSession, Statement Stmt);
  void admit(Session &CallerSession);
  ratelimit::Urgency tokenUrgency(const Session &CallerSession) const;
  void dispatch(Session &CallerSession);
  void defer(Session &CallerSession, const char *Reason);
  void sendNextStatement(Session &CallerSession);
  void requestProof(const Operation &Op, Duration MaxAge);
  TargetSelector::Choice selectProofOwner(const DatabaseId &Group);

  void onAnswered(Session &CallerSession, const StatementResult &Result);
  void onNotRun(Session &CallerSession, const StatementResult &Result);
  void onLost(Session &CallerSession, const std::string &Cause);
  void refuseLost(Session &CallerSession, const std::string &Cause);
  bool retryRead(Session &CallerSession);
  bool retryElsewhere(Session &CallerSession, const char *Reason);
  void recordTargetState(const Operation &Op, const StatementResult &Result);

  void refuse(Session &CallerSession, ErrorCode Code, const std::string &Cause,
              Duration RetryAfter);
  void finishStatement(Session &CallerSession, CallerReply Reply);
  void endOperation(Session &CallerSession);
  /// @brief Ends an operation; its owner rolls back an open transaction.
  void abortOperation(Session &CallerSession);
  void abortTransaction(Session &CallerSession, const char *Cause);
  void rejectSession(CallerId Caller, ErrorCode Code, const char *Text);
  static CallerReply makeRefusal(ErrorCode Code, const std::string &Cause,
                                 Duration RetryAfter);
  void recordMetrics(const Operation &Op, const CallerReply &Reply);
  void logOutcome(const Session &CallerSession, const CallerReply &Reply);

  Context &m_Context;
  TargetTable &m_Targets;
  TargetSelector &m_Selector;
  RateShare &m_Rates;
  metrics::Registry &m_Metrics;
  Hooks m_Hooks;
  SharedConfig m_Config;
  SitePolicies m_Policies;
  std::map<CallerId, PendingStart> m_PendingStarts;
  std::unordered_map<CallerId, Session> m_Sessions;
  std::map<std::uint64_t, CallerId> m_CallersByOperation;
  std::map<std::uint64_t, CallerId> m_Deferred; ///< By operation number.
  std::map<DatabaseId, ProofState> m_ProofStates;
  /// Number of the last operation. It starts at random: other VMs may still
  /// run operations from before a restart of this process.
  std::uint64_t m_LastOperation;
  std::optional<TimerId> m_RetryTimer;
  bool m_Closing = false;
  bool m_EndsTransactions = false; ///< No further statement is accepted.
};

} // namespace bergamotstage::pooling

#endif // BERGAMOTSTAGE_POOLING_SESSIONS_H
