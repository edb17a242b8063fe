#ifndef BERGAMOTSTAGE_NODE_EVENT_H
#define BERGAMOTSTAGE_NODE_EVENT_H

#include "bergamotstage/core/HistoryPoint.h"
#include "bergamotstage/core/Ids.h"
#include "bergamotstage/core/Outcome.h"
#include "bergamotstage/core/PeerMessage.h"
#include "bergamotstage/core/PlatformApi.h"
#include "bergamotstage/node/Forward.h"
#include "bergamotstage/request/StatementBody.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bergamotstage {

/// @brief A caller sent its start-up message.
///
/// Occurs a second time, with the key, after a RequestKey.
struct CallerOpened {
  CallerId Caller;
  AccountId Account;              ///< The user name.
  std::optional<std::string> Key; ///< The password, if it was requested;
                                  ///< never logged or forwarded.
  RouteId Route;                  ///< The database name.
  std::map<std::string, std::string> Settings; ///< bergamotstage.* options.
};

/// @brief A caller sent a statement and waits for its answer.
struct StatementReceived {
  CallerId Caller;
  StatementId Statement;
  SharedBody Body;
};

/// @brief A caller requested the cancellation of its running statement.
struct CancelRequested {
  CallerId Caller;
};

/// @brief A caller's connection was closed.
struct CallerClosed {
  CallerId Caller;
};

/// @brief A link to a target is ready for its first statement.
struct LinkOpened {
  LinkId Link;
};

/// @brief A link could not be opened or broke.
struct LinkFailed {
  LinkId Link;
  bool NeverSent = false;   ///< Nothing of the running statement was sent.
  std::uint64_t Chunks = 0; ///< Chunks of the answer passed to the caller.
  std::string Reason;
};

/// @brief A target answered the statement that ran on a link.
struct LinkAnswered {
  LinkId Link;
  StatementId Statement;
  std::string ErrorSqlState;      ///< Empty if the statement succeeded.
  std::string ErrorMessage;       ///< Message of the target.
  HistoryPoint Reported;          ///< Target's point after the statement.
  bool InTransaction = false;     ///< A transaction is open.
  bool TransactionFailed = false; ///< Only a rollback can end it.
  std::string Tag;                ///< Completion tag on success.
  std::uint64_t Chunks = 0;       ///< Chunks of rows passed to the caller.
  std::vector<std::string> Cells; ///< First row, for internal statements only.
};

/// @brief The platform answered a call, or the call failed.
struct PlatformAnswered {
  CallId Call;
  PlatformAnswer Answer;
};

/// @brief A message of another VM was received.
struct PeerReceived {
  VmId From;
  Incarnation FromIncarnation; ///< Sending process.
  PeerMessage Message;
};

/// @brief An operator's request was received.
struct OperatorRequested {
  OperatorCallId Call;
  std::string Verb; ///< For example "apply", "status", "drain".
  std::map<std::string, std::string> Arguments;
};

/// @brief The time of the last WakeAt was reached.
struct TimerFired {};

/// @brief The process received a shutdown request. The second one aborts all
/// running statements.
struct ShutdownRequested {};

/// @brief The listener could not accept a connection, for example because the
/// process has no descriptors left. Reported once until it succeeds again.
struct AcceptFailed {
  std::string Reason;
};

/// @brief Any event that a node handles.
using Event = std::variant<CallerOpened, StatementReceived, CancelRequested,
                           CallerClosed, LinkOpened, LinkFailed, LinkAnswered,
                           ForwardReceived, ForwardAnswered, ForwardLost,
                           PlatformAnswered, PeerReceived, OperatorRequested,
                           TimerFired, ShutdownRequested, AcceptFailed>;

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_NODE_EVENT_H
