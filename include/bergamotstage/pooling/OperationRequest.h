#ifndef BERGAMOTSTAGE_POOLING_OPERATIONREQUEST_H
#define BERGAMOTSTAGE_POOLING_OPERATIONREQUEST_H

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

/// @brief Identifies an operation: its origin, and a number that the origin
/// never reuses.
struct OperationId {
  VmId Origin;
  std::uint64_t Number = 0;

  friend bool operator<(const OperationId &Left, const OperationId &Right) {
    return Left.Number != Right.Number ? Left.Number < Right.Number
                                       : Left.Origin < Right.Origin;
  }
};

/// @brief Role that an operation requires of its target.
enum class Access : std::uint8_t {
  Primary,            ///< One statement on a proven primary.
  PrimaryTransaction, ///< A transaction on the primary throughout.
  Replica,            ///< One read on any sufficiently recent target.
  ReplicaTransaction  ///< Reads on any sufficiently recent target.
};

inline bool isTransaction(Access Mode) {
  return Mode == Access::PrimaryTransaction ||
         Mode == Access::ReplicaTransaction;
}
inline bool needsPrimary(Access Mode) {
  return Mode == Access::Primary || Mode == Access::PrimaryTransaction;
}

/// @brief An operation for the VM that owns a target's links.
struct OperationRequest {
  OperationId Id;
  TargetId Target;
  AccountId Account;
  RouteId Route;
  Access Mode = Access::Primary;
  std::optional<HistoryPoint> RequiredPosition; ///< Minimum for a replica.
  unsigned Priority = 0;                        ///< 0 is the highest.
  Duration QueueTime{};        ///< Maximum time in the target's queue.
  Duration StatementTimeout{}; ///< For each statement at the target.
  SharedValues Values;         ///< Session values to set on the link.
  Statement First;
};

/// @brief Why an operation was not sent to its target.
enum class NotRunReason : std::uint8_t {
  Overloaded,   ///< No slot or link was free in time.
  TooLate,      ///< Others precede it until it is too late to start.
  AccountLimit, ///< Its account holds its share of the connections.
  Unreachable,  ///< The target does not answer this VM.
  Leaving,      ///< The VM or the target is draining.
  UnknownTarget,
  Withdrawn ///< Its origin took it back before it was sent to the target.
};

const char *notRunReasonName(NotRunReason Reason);
/// @brief Whether the target is reachable and only its load prevented a run.
inline bool isOverload(NotRunReason Reason) {
  return Reason == NotRunReason::Overloaded ||
         Reason == NotRunReason::TooLate ||
         Reason == NotRunReason::AccountLimit;
}

/// @brief Load of a target as measured by its owner.
struct TargetLoad {
  static constexpr double Permille = 1000; ///< FailedPermille of 100 %.

  unsigned Queued = 0; ///< Operations in its queue.
  /// Share of the latest statements that failed or got no reply.
  unsigned FailedPermille = 0;
  Duration Wait{};    ///< Expected wait of a new statement for a slot.
  Duration Service{}; ///< Mean slot time; zero before any was measured.
  /// Statements that the target gets at once; 0 if the pace is fixed.
  unsigned Pace = 0;
};

/// @brief Result of one statement of an operation.
struct StatementResult {
  enum class Kind : std::uint8_t {
    Answered, ///< The target replied, perhaps with an error.
    NotRun,   ///< The target did not receive the statement.
    Lost      ///< Sent to the target, which did not reply.
  };
  Kind Outcome = Kind::NotRun;
  NotRunReason Reason = NotRunReason::Overloaded; ///< For NotRun.
  std::optional<ErrorCode> Error;                 ///< For Answered.
  std::string ErrorText;
  std::vector<std::string> Rows;
  std::string Signature;
  SessionState State = SessionState::Idle;
  std::optional<HistoryPoint> Position;
  bool PrimaryProven = false; ///< The target ran it as the primary.
  TargetLoad Load;
  Duration RetryAfter{}; ///< For NotRun: expected wait for capacity.
};

} // namespace bergamotstage::pooling

#endif // BERGAMOTSTAGE_POOLING_OPERATIONREQUEST_H
