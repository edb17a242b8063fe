#ifndef BERGAMOTSTAGE_POOLING_FLEETMESSAGE_H
#define BERGAMOTSTAGE_POOLING_FLEETMESSAGE_H

#include "bergamotstage/core/HistoryPoint.h"
#include "bergamotstage/core/Ids.h"
#include "bergamotstage/core/Time.h"
#include "bergamotstage/fleet/TextDelta.h"
#include "bergamotstage/pooling/OperationRequest.h"
#include "bergamotstage/pooling/TargetTable.h"
#include "bergamotstage/ratelimit/TokenDemand.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bergamotstage::pooling {

/// @brief Identifies the sender; sent first on a stream and when leaving.
struct Hello {
  VmId Vm;
  DataCentreId DataCentre;
  std::string Address; ///< Address for streams from other VMs.
  Incarnation Start;
  std::uint64_t ConfigVersion = 0;
  bool Leaving = false;
  double Cores = 1;
};

/// @brief Checks whether the receiver still responds.
struct Ping {
  std::uint64_t ConfigVersion = 0;
};
/// @brief Reply to a Ping.
struct Pong {
  std::uint64_t ConfigVersion = 0;
};

/// @brief Starts an operation at the owner of a target.
struct StartOperation {
  OperationRequest Request;
};
/// @brief Sends the next statement of a transaction to its owner.
struct NextStatement {
  std::uint64_t Number = 0;
  Statement Stmt;
  bool ValuesChanged = false;
  SharedValues Values; ///< Set if they changed since the last statement.
  Duration QueueTime{};
};
/// @brief Aborts an operation whose caller disconnected or rolls back.
struct AbortOperation {
  std::uint64_t Number = 0;
};
/// @brief Asks the owner to refuse a statement that it has not sent to the
/// target yet. The StatementReply tells whether it was sent.
struct WithdrawStatement {
  std::uint64_t Number = 0; ///< Of its operation.
};
/// @brief Reports the result of a statement to the origin.
struct StatementReply {
  std::uint64_t Number = 0;
  StatementResult Result;
};

/// @brief Asks the owner of a target to verify that the target is primary and
/// to report the position of its log.
struct ProofRequest {
  TargetId Target;
  AccountId Account;
  std::uint64_t Timestamp = 0; ///< Requester's clock; echoed in the reply.
  Duration MaxAge{};           ///< An older proof is of no use.
};
/// @brief Reply to a ProofRequest. Position is valid only if Proven is set.
struct ProofReply {
  TargetId Target;
  bool Proven = false;
  HistoryPoint Position;
  /// Time from the request to the target to the arrival of the ProofRequest; 0
  /// if the target was asked after it.
  Duration Age{};
  std::uint64_t Timestamp = 0;
};

/// @brief Requests tokens of a client account's rate.
struct TokenRequest {
  AccountId Account;
  std::uint64_t MilliTokens = 0;
  /// Demand at the sender and its waiting operations, the highest priority
  /// first; empty unless tokens are shared by priority.
  std::vector<ratelimit::PriorityDemand> Demand{};
  std::vector<ratelimit::WaitingOperations> Waiting{};
  std::uint64_t Number = 0; ///< The sender never reuses it.
};
/// @brief Transfers tokens to the receiver.
struct TokenGrant {
  AccountId Account;
  std::uint64_t MilliTokens = 0;
  std::uint64_t LeftMilliTokens = 0; ///< Tokens that the sender can still lend.
  std::vector<ratelimit::PriorityShare> Shares{}; ///< Empty as for Demand.
  std::uint64_t Number = 0;                       ///< Of the request.
};

/// @brief Reports that the sender cannot reach the primary of a group.
struct PrimarySuspected {
  DatabaseId Group;
  TargetId Target;
};
/// @brief Reports that the sender recently got data from a suspected primary.
struct TargetAlive {
  DatabaseId Group;
  TargetId Target;
};
/// @brief Reports that a target is the primary of a group from a term on.
struct Promoted {
  DatabaseId Group;
  TargetId Target;
  Term NewTerm;
};

/// @brief Requests a configuration that is newer than the sender's, at once or
/// as soon as the receiver has one.
struct ConfigRequest {
  std::uint64_t Version = 0; ///< Of the sender.
  TextDigest Base;           ///< Of the sender's text, if it has one.
};
/// @brief Configuration in its stored form, as compressText() encodes it.
struct ConfigText {
  std::uint64_t Version = 0;
  TextDigest Base; ///< Of the base of the encoding, if it has one.
  std::string Compressed;
};

/// @brief Requests changes from a VM that follows the store.
struct StoreUpdateRequest {
  std::uint64_t ConfigVersion = 0;
  std::uint64_t TargetsVersion = 0;
  std::uint64_t Timestamp = 0; ///< Requester's clock; echoed.
  /// digestOfList() of the requester's targets; 0 if it has no list.
  std::uint64_t ListDigest = 0;
  /// Targets whose claims to be primary the requester rejected while it knows
  /// no other primary: it needs the newest versions of their entries.
  std::vector<TargetId> Rejected{};
};
/// @brief Changes that a VM which follows the store has read.
struct StoreUpdate {
  std::uint64_t Timestamp = 0; ///< Of the request; 0 if unsolicited.
  Duration StoreAge{}; ///< Time since the store last answered the sender.
  std::uint64_t ConfigVersion = 0;
  /// The receiver's list is the sender's; nothing else is told of targets.
  bool SameList = false;
  /// Oldest version that Changed and Removed apply to; 0 if Changed is the full
  /// list.
  std::uint64_t BaseTargetsVersion = 0;
  std::uint64_t TargetsVersion = 0;
  /// The newest row version that the sender has read. Entries that were only
  /// written again are not sent, and a promotion outdates all rows known then.
  std::uint64_t NewestRow = 0;
  std::vector<TargetEntry> Changed;
  std::vector<TargetId> Removed;
  placement::EvacuationList Evacuations;
};

/// @brief Converts a time of this VM's clock for a message that echoes it.
inline std::uint64_t toTimestamp(Instant Time) {
  return static_cast<std::uint64_t>(Time.time_since_epoch().count());
}
/// @brief Converts an echoed timestamp back.
inline Instant fromTimestamp(std::uint64_t Timestamp) {
  return Instant(Duration(static_cast<Duration::rep>(Timestamp)));
}

/// @brief Asks another VM to write this VM's row in a batch.
struct RenewalRequest {
  std::string Row;             ///< Value of the row.
  std::uint64_t Timestamp = 0; ///< Requester's clock; echoed.
};
struct RenewalReply {
  std::uint64_t Timestamp = 0; ///< Of the request.
  bool Renewed = false;        ///< Otherwise the row may or may not be written.
};

/// @brief Any message between two VMs. The position of an alternative is its
/// tag on the wire.
using FleetMessage =
    std::variant<Hello, Ping, Pong, StartOperation, NextStatement,
                 AbortOperation, StatementReply, ProofRequest, ProofReply,
                 TokenRequest, TokenGrant, PrimarySuspected, TargetAlive,
                 Promoted, ConfigRequest, ConfigText, StoreUpdateRequest,
                 StoreUpdate, RenewalRequest, RenewalReply, WithdrawStatement>;

/// @brief Serializes a message. Complexity: linear in its size.
std::string encodeMessage(const FleetMessage &Message);

/// @brief Parses the output of encodeMessage().
/// @return std::nullopt for malformed bytes
std::optional<FleetMessage> decodeMessage(std::string_view Bytes);

} // namespace bergamotstage::pooling

#endif // BERGAMOTSTAGE_POOLING_FLEETMESSAGE_H
