#ifndef BERGAMOTSTAGE_POOLING_LINKMESSAGE_H
#define BERGAMOTSTAGE_POOLING_LINKMESSAGE_H

#include "bergamotstage/core/HistoryPoint.h"
#include "bergamotstage/core/Ids.h"
#include "bergamotstage/core/Time.h"
#include "bergamotstage/pooling/ErrorCode.h"
#include "bergamotstage/pooling/Statement.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bergamotstage::pooling {

/// @brief The target and the client account of a new link.
struct LinkTarget {
  TargetId Target;
  std::string Address; ///< IP address and port.
  DatabaseId Group;
  AccountId Account; ///< Authenticates the link and its statements.
};

/// @brief A request to a target.
struct LinkRequest {
  enum class Kind : std::uint8_t {
    CallerStatement, ///< A caller's statement, with its request id.
    Begin,           ///< Opens a transaction; only a primary accepts it.
    BeginReadOnly,   ///< Opens a read-only transaction.
    Rollback,
    ClearSession, ///< Drops session values and prepared statements.
    SetValue,
    Prepare,
    Status,   ///< Reads role, term and position; uses a slot.
    Pause,    ///< Stops a replica's replication until Resume.
    Resume,   ///< Ends Pause.
    StepDown, ///< Demotes a primary of a lower term to a replica.
  };
  Kind Type = Kind::CallerStatement;
  std::optional<HistoryPoint> After; ///< Position that must be reached.
  Statement Stmt;                    ///< For CallerStatement.
  std::string Name;       ///< Session value, or prepared statement on the link.
  std::string Value;      ///< For SetValue.
  PreparedQuery Prepared; ///< For Prepare.
  Term AtTerm;            ///< For Pause and StepDown.
};

/// @brief Role and log position that a target reports.
struct TargetStatus {
  bool IsPrimary = false;
  Term HighestTerm;      ///< Highest term known to the target.
  HistoryPoint Received; ///< End of its log; a replica may have applied less.
};

/// @brief A target's reply to one request.
struct LinkReply {
  std::optional<ErrorCode> Error;
  std::string ErrorText;
  std::vector<std::string> Rows;
  std::string Signature; ///< Proves which target ran the statement.
  SessionState State = SessionState::Idle;
  std::optional<HistoryPoint> Position; ///< Applied by the target.
  std::optional<TargetStatus> Status;   ///< For Status, Pause and StepDown.
};

} // namespace bergamotstage::pooling

#endif // BERGAMOTSTAGE_POOLING_LINKMESSAGE_H
