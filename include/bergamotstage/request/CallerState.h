#ifndef BERGAMOTSTAGE_REQUEST_CALLERSTATE_H
#define BERGAMOTSTAGE_REQUEST_CALLERSTATE_H

#include "bergamotstage/core/Ids.h"
#include "bergamotstage/core/Time.h"
#include "bergamotstage/core/TimerQueue.h"
#include "bergamotstage/request/RouteDecision.h"
#include "bergamotstage/request/Statement.h"
#include "bergamotstage/request/StatementBody.h"
#include "bergamotstage/rules/RuleSet.h"
#include "bergamotstage/session/SessionToken.h"

#include <optional>
#include <set>
#include <string>

namespace bergamotstage {

/// @brief State of a session's explicit transaction.
enum class TransactionState : std::uint8_t { None, Open, Failed };

/// @brief State of the statement that a caller waits for.
struct Execution {
  StatementId Statement;
  StatementKind Kind = StatementKind::Empty;
  Instant ReceivedAt{};
  Instant Deadline{};
  SharedBody Body;
  bool Admitted = false;      ///< It consumed a rate token of its account.
  TimerId Timer;              ///< Cancels the statement at its deadline.
  std::optional<LinkId> Link; ///< Acquired link; not set while queued.
  bool Sent = false;          ///< Sent on a link: it may have started to run.
  bool MayTakeEffect = false; ///< Its effect may become durable without a
                              ///< further message of this VM.
  bool Forwarded = false;     ///< The home VM of the database runs it.
  bool UncertainTokenSent = false; ///< The caller has a token that accounts
                                   ///< for an unknown outcome.
  unsigned Attempts = 0; ///< Reads: targets tried. Writes: attempts that
                         ///< may have run.
  std::set<TargetId> ExcludedTargets; ///< Targets on which the read failed.
  std::optional<TargetId> VerifiedPrimary; ///< Verified after the statement was
                                           ///< received.
  std::optional<Instant> WaitUntil;        ///< End of the wait for a replica.
  bool AgeSampled = false; ///< A sample of the primary was requested for it.
  bool AgeUnknown = false; ///< Its target may exceed the maximum age.
  HistoryPoint RequiredPoint{}; ///< Point that the target must cover.
  RouteDecision Decision;       ///< Latest routing decision.
};

/// @brief State of a caller's connection and session.
struct CallerState {
  CallerId Id;
  AccountId Account;
  RouteRule Route;
  std::optional<KeyRule> Key; ///< Not set on open routes.
  SessionToken Token;
  std::optional<Duration> MaxAge;
  std::string RequestId;   ///< Id of the non-idempotent request; reset when
                           ///< that request has completed or failed.
  bool Idempotent = false; ///< The caller declared retries safe.
  bool Explain = false;    ///< Each answer explains its routing.
  TransactionState Transaction = TransactionState::None;
  bool HasWritten = false; ///< The open transaction has run a write.
  bool HoldsClaim = false; ///< The open transaction has claimed the request.
  std::optional<LinkId> PinnedLink; ///< The link of an open transaction.
  std::optional<Execution> Running;
  bool Disconnected = false; ///< The connection closed during a statement.
  bool Remote = false;       ///< Connected to another VM, the origin.
  std::optional<VmId> Home;  ///< Home VM of its forwarded statement or
                             ///< transaction.
};

/// @brief Identifies a statement of a caller, also after it has ended.
struct CallerStatementId {
  CallerId Caller;
  StatementId Statement;
};

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_REQUEST_CALLERSTATE_H
