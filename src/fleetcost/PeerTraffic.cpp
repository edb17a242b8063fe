#include "bergamotstage/fleetcost/PeerTraffic.h"

#include "bergamotstage/metrics/Prometheus.h"

namespace bergamotstage::fleetcost {

const char *messageKindName(std::size_t Kind) {
  constexpr std::array<const char *, MessageKinds> Names = {
      "hello",           "ping",           "pong",
      "start_operation", "next_statement", "abort_operation",
      "statement_reply", "proof_request",  "proof_reply",
      "token_request",   "token_grant",    "primary_suspected",
      "target_alive",    "promoted",       "config_request",
      "config_text",     "update_request", "store_update",
      "renewal_request", "renewal_reply"};
  return Names.at(Kind);
}

void PeerTraffic::record(const pooling::FleetMessage &Message, Direction Way,
                         std::size_t Bytes) {
  Count &Total = m_Counts[Message.index()][static_cast<std::size_t>(Way)];
  ++Total.Messages;
  Total.Bytes += Bytes;
}

PeerTraffic::Count PeerTraffic::total(Direction Way) const {
  Count Sum;
  for (std::size_t Kind = 0; Kind < MessageKinds; ++Kind) {
    Sum.Messages += count(Kind, Way).Messages;
    Sum.Bytes += count(Kind, Way).Bytes;
  }
  return Sum;
}

std::string renderTraffic(const PeerTraffic &Traffic) {
  std::string Text;
  for (std::size_t Kind = 0; Kind < MessageKinds; ++Kind)
    for (Direction Way : {Direction::Sent, Direction::Received}) {
      const PeerTraffic::Count &Count = Traffic.count(Kind, Way);
      if (Count.Messages == 0)
        continue;
      const char *WayName = Way == Direction::Sent ? "sent" : "received";
      Text += metrics::renderLabelled(
          "bergamotstage_peer_messages_total",
          {{"kind", messageKindName(Kind)}, {"direction", WayName}},
          static_cast<double>(Count.Messages));
      Text += metrics::renderLabelled(
          "bergamotstage_peer_bytes_total",
          {{"kind", messageKindName(Kind)}, {"direction", WayName}},
          static_cast<double>(Count.Bytes));
    }
  return Text;
}

} // namespace bergamotstage::fleetcost
