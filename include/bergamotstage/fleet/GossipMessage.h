#ifndef BERGAMOTSTAGE_FLEET_GOSSIPMESSAGE_H
#define BERGAMOTSTAGE_FLEET_GOSSIPMESSAGE_H

#include "bergamotstage/core/Ids.h"
#include "bergamotstage/core/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bergamotstage {

/// @brief Description that a VM gives of itself; others forward it unchanged.
struct MemberRecord {
  VmId Vm;
  DataCentreId DataCentre;
  std::string PeerAddress;
  Incarnation Start; ///< 0 if only the platform's list names the VM.
  bool Leaving = false;
};

/// @brief Time since a VM was last known to be alive, in steps of 100 ms,
/// rounded up.
///
/// The high bit is set if the VM also attested the rules at that time: its own
/// revision was known to be current and not newer than the message sender's.
struct LivenessAge {
  static constexpr Duration Step = milliseconds(100);
  static constexpr std::uint8_t MaxSteps = 127; ///< Older or unknown.
  static constexpr std::uint8_t AttestBit = 128;
  std::uint8_t Bits = MaxSteps;

  static LivenessAge fromDuration(Duration Age, bool Attested);
  std::uint8_t steps() const { return Bits & MaxSteps; }
  bool isKnown() const { return steps() != MaxSteps; }
  bool isAttested() const { return (Bits & AttestBit) != 0; }
  Duration duration() const { return Step * steps(); }
};

/// @brief Liveness age of a member that is identified by its record's hash.
struct HashedAge {
  std::uint32_t Hash = 0;
  LivenessAge Age;
};

/// @brief A member's record and its liveness age.
struct AgedRecord {
  MemberRecord Record;
  LivenessAge Age;
};

/// @brief Liveness probe; the sender keeps the time of sending.
struct GossipProbe {
  std::uint64_t Number = 0;
  std::uint32_t MembersHash = 0; ///< Hash of all records that the sender knows.
  MemberRecord Sender;
};

/// @brief Answer to a probe: the VM's view of the fleet, with ages as of the
/// time of sending.
struct GossipAck {
  std::uint64_t Number = 0; ///< Number of the probe.
  MemberRecord Sender;
  Revision RulesRevision; ///< 0 before the first revision.
  std::string Object;     ///< Object that holds that revision's text.
  LivenessAge StoreAge;   ///< Time since the store held none newer.
  bool Attests = false;
  std::vector<LivenessAge> Ages;     ///< By name; sent if the tables are equal.
  std::vector<HashedAge> HashedAges; ///< Sent if the tables differ.
  std::vector<AgedRecord> Records;   ///< Part of a table that differs.
};

/// @brief Announces that the sender leaves and accepts no new statements.
struct GossipLeave {
  MemberRecord Sender;
};

using GossipMessage = std::variant<GossipProbe, GossipAck, GossipLeave>;

/// @brief Encodes a message. Complexity: linear in its size.
std::string encodeGossip(const GossipMessage &Message);

/// @brief Decodes a message; empty if the bytes are malformed.
std::optional<GossipMessage> decodeGossip(std::string_view Bytes);

/// @brief Hash of a member's record; the same on all VMs.
std::uint32_t recordHash(const MemberRecord &Record);

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_FLEET_GOSSIPMESSAGE_H
