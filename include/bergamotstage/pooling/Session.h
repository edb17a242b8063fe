#ifndef BERGAMOTSTAGE_POOLING_SESSION_H
#define BERGAMOTSTAGE_POOLING_SESSION_H

#include "bergamotstage/pooling/OperationRequest.h"
#include "bergamotstage/pooling/SiteConfig.h"
#include "bergamotstage/pooling/SitePolicies.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace bergamotstage::pooling {

/// @brief Reply to a caller's statement.
struct CallerReply {
  std::vector<std::string> Rows;
  std::optional<ErrorCode> Error;
  std::string ErrorText;
  std::string Signature; ///< Empty for replies of the proxy itself.
  SessionState State = SessionState::Idle;
  std::optional<HistoryPoint> Position;
  bool Greeting = false; ///< Reply to the session start.
};

/// @brief One operation of a session: a single statement or a transaction.
struct Operation {
  std::uint64_t Number = 0;
  RouteConfig Route;                     ///< Copied when the operation begins.
  std::shared_ptr<const ReadRule> Reads; ///< Copied; null for default.
  AccountId Account;
  placement::RegionSet AccountHomes;
  Access Mode = Access::Primary;
  Instant Arrived{};
  Statement Current;          ///< Latest statement.
  bool AwaitingReply = false; ///< Current has no reply yet.
  bool Admitted = false;
  bool Dispatched = false;        ///< Handed to an owner.
  bool HasReply = false;          ///< One of its statements has a reply.
  bool TransactionFailed = false; ///< Only COMMIT or ROLLBACK may follow.
  bool HasWritten = false;
  bool ReplicaAllowed = false;  ///< Replicas may serve it.
  bool Retried = false;         ///< Already retried after a failure.
  bool PrimaryRequired = false; ///< The replicas lag too far behind.
  VmId Owner;
  TargetId Target;
  Instant SentAt{};           ///< When Current was sent to the owner.
  Instant DispatchDeadline{}; ///< Latest time to find a target.
  unsigned Attempts = 0;
  std::set<std::pair<VmId, TargetId>> ExcludedOwners; ///< Failed owners.
  std::set<TargetId> ExcludedTargets;
  SharedValues SentValues; ///< Session values sent to the owner.
  std::string DeferReason; ///< Why it last waited for a target.
  /// Why the proxy ended the transaction between two statements; empty once the
  /// caller was told.
  std::string AbortCause;
  Instant AbortedAt{};

  /// @brief Arrival time of Current.
  Instant currentArrival() const {
    return DispatchDeadline - Route.LatencyTarget;
  }
  /// @brief Whether it is one read, which is safe to run again.
  bool isSingleRead() const {
    return !isTransaction(Mode) && !Current.writes();
  }
};

/// @brief State of one caller's connection.
struct Session {
  CallerId Id;
  std::string Database;         ///< Selects the route.
  std::string Key;              ///< Never logged or forwarded.
  std::uint64_t PolicyHash = 0; ///< Selects its arm of each policy.
  std::shared_ptr<const ReadRule> Reads;
  SharedValues Values;
  std::map<std::string, PreparedQuery> Prepared;
  /// Its last commit in each group: the route may move between groups.
  std::map<DatabaseId, HistoryPoint> LastCommits;
  std::optional<Operation> Op;
  std::deque<Statement> Backlog; ///< Received before the last reply.
  bool HasReply = false;         ///< A statement of it has a reply.
  /// Until then, its next operation retries one that got no token.
  Instant RetryExpectedUntil{};

  /// @brief Whether an open transaction waits for the caller.
  bool isTransactionIdle() const {
    return state() == SessionState::InTransaction && !Op->AwaitingReply;
  }

  SessionState state() const {
    bool Transaction = Op && isTransaction(Op->Mode);
    if (!Transaction)
      return SessionState::Idle;
    return Op->TransactionFailed ? SessionState::Failed
                                 : SessionState::InTransaction;
  }
};

} // namespace bergamotstage::pooling

#endif // BERGAMOTSTAGE_POOLING_SESSION_H
