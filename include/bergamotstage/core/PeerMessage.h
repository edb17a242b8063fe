#ifndef BERGAMOTSTAGE_CORE_PEERMESSAGE_H
#define BERGAMOTSTAGE_CORE_PEERMESSAGE_H

#include "bergamotstage/core/Ids.h"

#include <cstdint>
#include <string>

namespace bergamotstage {

/// @brief The component of the receiving VM that handles a message.
enum class PeerChannel : std::uint8_t {
  Membership, ///< Heartbeats, digests, drains.
  Rules,      ///< Revisions of the rules.
  Allocation, ///< Rate shares and loans of client accounts.
  Failover,   ///< Target probes and observed terms.
  Forwarding  ///< Statements that another VM runs.
};

/// @brief A message between two VMs.
///
/// Each component defines its own payload and codec in its own folder, so that
/// the transport does not depend on them.
struct PeerMessage {
  PeerChannel Channel = PeerChannel::Membership;
  std::string Payload; ///< Serialized by the sending component.
};

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_CORE_PEERMESSAGE_H
