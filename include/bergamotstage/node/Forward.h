#ifndef BERGAMOTSTAGE_NODE_FORWARD_H
#define BERGAMOTSTAGE_NODE_FORWARD_H

#include "bergamotstage/core/Ids.h"
#include "bergamotstage/core/Outcome.h"
#include "bergamotstage/core/Time.h"
#include "bergamotstage/request/StatementBody.h"

#include <cstdint>
#include <optional>
#include <string>

namespace bergamotstage {

/// @brief Bit that the runtime of a home VM sets in the ids of forwarded
/// callers and statements, so that they never equal ids of its own callers.
constexpr std::uint64_t ForwardedIdBit = std::uint64_t{1} << 62U;

/// @brief Whether a caller is connected to another VM.
inline bool isForwarded(CallerId Caller) {
  return (Caller.value() & ForwardedIdBit) != 0;
}

/// @brief State of a caller's session that the home VM of a database needs.
///
/// The origin has checked the caller's key and the account's rate limit. The
/// key itself is not forwarded.
struct ForwardedSession {
  AccountId Account;
  std::string KeyId;     ///< Empty on open routes.
  std::string KeyDigest; ///< Digest of the key in the rules.
  RouteId Route;
  std::string Token; ///< Encoded session token; marks itself
                     ///< if it may not cover all writes.
  std::optional<Duration> MaxAge;
  std::string RequestId;
  bool Idempotent = false;
  bool Explain = false;       ///< The answer explains the routing.
  bool InTransaction = false; ///< A transaction is open at the origin.
};

/// @brief Action at the origin: forwards a statement to a database's home VM.
///
/// Exactly one ForwardAnswered or ForwardLost follows.
struct ForwardStatement {
  VmId To;
  std::string Address; ///< Peer address of the home VM.
  CallerId Caller;
  StatementId Statement;
  ForwardedSession Session;
  SharedBody Body;
  Duration TimeLeft{}; ///< Time until the statement times out.
};

/// @brief Action at the origin: ends a caller's forwarding to a home VM, which
/// rolls back the caller's transaction if one is open.
struct CloseForward {
  VmId To;
  CallerId Caller;
};

/// @brief Event at the home VM: another VM forwarded a statement.
///
/// The runtime assigns one Caller to all statements of a caller of an origin;
/// CallerClosed ends it. Answers are sent as AnswerStatement, ReportParameter
/// and CloseCaller for that Caller.
struct ForwardReceived {
  VmId From;
  CallerId Caller;       ///< Has ForwardedIdBit set.
  StatementId Statement; ///< Has ForwardedIdBit set.
  ForwardedSession Session;
  SharedBody Body;
  Duration TimeLeft{};
};

/// @brief Event at the origin: the home VM answered a forwarded statement.
struct ForwardAnswered {
  CallerId Caller;
  StatementId Statement;
  std::uint64_t Chunks = 0; ///< Chunks of rows passed to the caller.
  std::optional<Refusal> Error;
  std::string Tag;
  std::string Notice;
  std::string Token;      ///< New session token; empty if unchanged.
  bool OnReplica = false; ///< A replica served it.
  bool InTransaction = false;
  bool TransactionFailed = false;
};

/// @brief Event at the origin: the answer to a forwarded statement is lost.
struct ForwardLost {
  CallerId Caller;
  StatementId Statement;
  bool NeverSent = false;   ///< It did not reach the home VM.
  std::uint64_t Chunks = 0; ///< Chunks of rows passed to the caller.
};

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_NODE_FORWARD_H
