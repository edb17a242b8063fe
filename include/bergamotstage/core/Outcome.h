#ifndef BERGAMOTSTAGE_CORE_OUTCOME_H
#define BERGAMOTSTAGE_CORE_OUTCOME_H

#include "bergamotstage/core/Time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace bergamotstage {

/// @brief What is known about the effect of a statement.
enum class RunState : std::uint8_t {
  Completed, ///< The statement ran and its effect, if any, is durable.
  Failed,    ///< The statement ended with an error and has no effect.
  NotRun,    ///< The statement never ran; a retry is safe.
  Unknown    ///< The statement may have taken effect.
};

/// @brief Name of a run state in hints and logs.
const char *runStateName(RunState State);

/// @brief The rule that a decision is based on.
struct RuleRef {
  unsigned Line = 0;  ///< Line in the rules text, from 1; 0 for a default.
  std::string Author; ///< Person who requested the rule.
};

/// @brief Why a statement or a connection was not served.
struct Refusal {
  std::string SqlState; ///< Five-character code of SQL or PostgreSQL.
  RunState State = RunState::NotRun;
  std::string Message;
  RuleRef Rule;
  std::optional<Duration> RetryAfter; ///< Time until a retry may succeed.
  bool CloseConnection = false;
};

/// @brief SQLSTATE codes of errors that the proxy itself raises.
namespace sqlstate {
constexpr const char *InvalidPassword = "28P01";
constexpr const char *InvalidAuthorization = "28000";
constexpr const char *InvalidCatalogName = "3D000";
constexpr const char *ProtocolViolation = "08P01";
constexpr const char *ConnectionFailure = "08006";
constexpr const char *TransactionUnknown = "08007";
constexpr const char *StatementUnknown = "40003";
constexpr const char *TooManyRequests = "53400";
constexpr const char *TooManyConnections = "53300";
constexpr const char *OutOfMemory = "53200";
constexpr const char *CannotConnectNow = "57P03";
constexpr const char *AdminShutdown = "57P01";
constexpr const char *QueryCanceled = "57014";
constexpr const char *ReadOnlyTransaction = "25006";
constexpr const char *FeatureNotSupported = "0A000";
constexpr const char *InvalidParameterValue = "22023";
constexpr const char *InFailedTransaction = "25P02";
constexpr const char *DuplicateRequest = "55006";
constexpr const char *RequestMismatch = "42P05";
constexpr const char *ProgramLimitExceeded = "54000";
} // namespace sqlstate

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_CORE_OUTCOME_H
