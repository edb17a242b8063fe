#ifndef BERGAMOTSTAGE_RUNTIME_SITE_PEERSTREAMS_H
#define BERGAMOTSTAGE_RUNTIME_SITE_PEERSTREAMS_H

#include "bergamotstage/fleet/MemberState.h"
#include "bergamotstage/fleetcost/PeerTraffic.h"
#include "bergamotstage/pooling/FleetMessage.h"
#include "runtime/site/ByteStream.h"
#include "runtime/site/Listener.h"

#include <tl/expected.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace bergamotstage::runtime {

/// @brief Exchanges fleet messages with other VMs over TCP.
///
/// A VM opens one stream to each VM that it sends requests to; replies arrive
/// on the same stream. Messages are prefixed with their length. The first
/// message is a Hello that identifies the VM that opened the stream.
class PeerStreams {
public:
  struct Hooks {
    std::function<void(const VmId &, pooling::FleetMessage &&)> Received;
    /// A stream that this VM opened has ended.
    std::function<void(const VmId &)> Lost;
    /// A stream that another VM opened has ended.
    std::function<void(const VmId &)> OriginLost;
    /// Creates the first message of a new stream.
    std::function<pooling::Hello()> MakeHello;
    std::function<void(const std::string &Reason)> Refused;
  };

  static tl::expected<std::unique_ptr<PeerStreams>, std::string>
  listen(asio::io_context &Io, const std::string &Address, Hooks Callbacks);

  PeerStreams(asio::io_context &Io, Hooks Callbacks)
      : m_Io(Io), m_Hooks(std::move(Callbacks)) {}

  /// @brief Sends on the stream to a VM and opens it if needed.
  void send(const MemberState &To, const pooling::FleetMessage &Message);
  /// @brief Sends on the stream that a VM opened; does nothing if it has ended.
  void reply(const VmId &To, const pooling::FleetMessage &Message);
  /// @brief Closes the stream to a VM without calling Lost.
  void drop(const VmId &Vm);
  /// @brief Messages since the start. A sent one may still be in a buffer.
  const fleetcost::PeerTraffic &traffic() const { return m_Traffic; }

private:
  static constexpr std::size_t MaxFrameBytes = std::size_t{4} * 1024 * 1024;

  /// @brief Splits a byte stream into length-prefixed messages.
  class FrameReader {
  public:
    /// @return false if a frame is too long or OnMessage rejects it
    bool add(std::string_view Bytes,
             const std::function<bool(std::string_view)> &OnMessage);

  private:
    std::string m_Bytes;
  };
  struct Incoming {
    std::weak_ptr<ByteStream> Stream;
    FrameReader Reader;
    VmId Vm; ///< Empty until its Hello arrives.
  };

  std::string encodeFrame(const pooling::FleetMessage &Message);
  /// @return std::nullopt for malformed bytes
  std::optional<pooling::FleetMessage> decodeBody(std::string_view Body);
  void onAccepted(asio::ip::tcp::socket Socket);
  void handleBytes(const std::shared_ptr<Incoming> &Source,
                   std::string_view Bytes);
  bool handleIntroduction(const std::shared_ptr<Incoming> &Source,
                          const pooling::FleetMessage &First);

  asio::io_context &m_Io;
  std::unique_ptr<Listener> m_Listener;
  Hooks m_Hooks;
  fleetcost::PeerTraffic m_Traffic;
  std::map<VmId, std::shared_ptr<ByteStream>> m_Outgoing;
  std::map<VmId, std::shared_ptr<ByteStream>> m_Incoming;
};

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_SITE_PEERSTREAMS_H
