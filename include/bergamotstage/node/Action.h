#ifndef BERGAMOTSTAGE_NODE_ACTION_H
#define BERGAMOTSTAGE_NODE_ACTION_H

#include "bergamotstage/core/HistoryPoint.h"
#include "bergamotstage/core/Ids.h"
#include "bergamotstage/core/Outcome.h"
#include "bergamotstage/core/PeerMessage.h"
#include "bergamotstage/core/PlatformApi.h"
#include "bergamotstage/core/Time.h"
#include "bergamotstage/node/Forward.h"
#include "bergamotstage/request/StatementBody.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace bergamotstage {

/// @brief Requests the key of a caller.
struct RequestKey {
  CallerId Caller;
};

/// @brief Admits a caller: AuthenticationOk and ReadyForQuery.
struct AdmitCaller {
  CallerId Caller;
};

/// @brief Closes a caller's connection with an error.
struct CloseCaller {
  CallerId Caller;
  Refusal Reason;
};

/// @brief Sends a caller a ParameterStatus message.
struct ReportParameter {
  CallerId Caller;
  std::string Name;
  std::string Value;
};

/// @brief Ends a statement: completion or an error, then ReadyForQuery.
struct AnswerStatement {
  CallerId Caller;
  StatementId Statement;
  std::uint64_t Chunks = 0; ///< Chunks of rows that must be passed on first.
  std::optional<Refusal> Error;
  std::string Tag;            ///< Completion tag; empty for an empty query.
  std::string Notice;         ///< Sent before completion; empty for none.
  bool OnReplica = false;     ///< A replica served it.
  bool InTransaction = false; ///< Transaction status of ReadyForQuery.
  bool TransactionFailed = false;
};

/// @brief Opens a connection to a target.
struct OpenLink {
  LinkId Link;
  TargetId Target;
  std::string Address; ///< IP address and port.
  std::string DatabaseName;
};

/// @brief Closes a link and discards what still arrives on it.
struct CloseLink {
  LinkId Link;
};

/// @brief Runs a caller's statement on a link.
///
/// Until the answer arrives, it is unknown whether the statement has run.
struct RunStatement {
  LinkId Link;
  StatementId Statement;
  CallerId Caller;
  SharedBody Body;
};

/// @brief Runs a statement of the proxy itself on a link.
struct RunInternal {
  LinkId Link;
  StatementId Statement;
  std::string Text;
};

/// @brief Calls the platform.
struct CallPlatform {
  CallId Call;
  PlatformRequest Request;
  Duration Timeout{};
};

/// @brief Sends a message to another VM, without guaranteed delivery.
struct SendPeer {
  VmId To;
  std::string Address;
  PeerMessage Message;
};

/// @brief Answers an operator.
struct AnswerOperator {
  OperatorCallId Call;
  bool Succeeded = false;
  std::string Body; ///< Text or JSON, depending on the verb.
};

/// @brief Writes one line of key=value pairs to the log.
struct WriteLog {
  enum class Level : std::uint8_t { Debug, Info, Warning, Error };
  Level Severity = Level::Info;
  std::string EventName;
  std::vector<std::pair<std::string, std::string>> Pairs;
};

/// @brief Schedules a TimerFired at the given time; replaces the earlier one.
struct WakeAt {
  Instant Time;
};

/// @brief Ends the process after shutdown.
struct Exit {
  bool RequestsAborted = false; ///< Statements or transactions were aborted.
};

/// @brief A side effect that the runtime carries out for a node.
using Action =
    std::variant<RequestKey, AdmitCaller, CloseCaller, ReportParameter,
                 AnswerStatement, OpenLink, CloseLink, RunStatement,
                 RunInternal, CallPlatform, SendPeer, ForwardStatement,
                 CloseForward, AnswerOperator, WriteLog, WakeAt, Exit>;

/// @brief Actions in the order of execution.
using Actions = std::vector<Action>;

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_NODE_ACTION_H
