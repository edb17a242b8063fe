#ifndef BERGAMOTSTAGE_FLEETCOST_PEERTRAFFIC_H
#define BERGAMOTSTAGE_FLEETCOST_PEERTRAFFIC_H

#include "bergamotstage/pooling/FleetMessage.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

namespace bergamotstage::fleetcost {

/// @brief Whether this VM sent or received a message.
enum class Direction : std::uint8_t { Sent, Received };

/// @brief Number of alternatives of FleetMessage.
constexpr std::size_t MessageKinds = std::variant_size_v<pooling::FleetMessage>;

/// @brief Name of a kind of message, as shown on /metrics.
/// @param Kind position of the alternative in FleetMessage
const char *messageKindName(std::size_t Kind);

/// @brief Counts the messages between this VM and others by kind and direction.
class PeerTraffic {
public:
  /// @brief Messages and their encoded bytes, without framing.
  struct Count {
    std::uint64_t Messages = 0;
    std::uint64_t Bytes = 0;
  };

  void record(const pooling::FleetMessage &Message, Direction Way,
              std::size_t Bytes);
  const Count &count(std::size_t Kind, Direction Way) const {
    return m_Counts[Kind][static_cast<std::size_t>(Way)];
  }
  /// @brief Sum over all kinds.
  Count total(Direction Way) const;

private:
  std::array<std::array<Count, 2>, MessageKinds> m_Counts{};
};

/// @brief Renders the counts of all kinds that occurred in the Prometheus text
/// format.
std::string renderTraffic(const PeerTraffic &Traffic);

} // namespace bergamotstage::fleetcost

#endif // BERGAMOTSTAGE_FLEETCOST_PEERTRAFFIC_H
