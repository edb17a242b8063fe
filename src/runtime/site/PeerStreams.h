#ifndef BERGAMOTSTAGE_RUNTIME_SITE_PEERSTREAMS_H
#define BERGAMOTSTAGE_RUNTIME_SITE_PEERSTREAMS_H

#include "bergamotstage/fleet/MemberState.h"
#include "bergamotstage/pooling/FleetMessage.h"
#include "runtime/site/ByteStream.h"

#include <tl/expected.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace bergamotstage::runtime {

/// @brief The streams between this VM and others.
///
/// A VM opens one stream to each VM that it needs something of; answers come
/// back on the same stream. Each message is preceded by its length. The first
/// message of a stream tells who opened it.
class PeerStreams {
public:
  struct Hooks {
    std::function<void(const VmId &, pooling::FleetMessage &&)> Received;
    /// The stream that this VM opened has ended.
    std::function<void(const VmId &)> Lost;
    /// The stream that another VM opened has ended.
    std::function<void(const VmId &)> OriginLost;
    /// What a new stream starts with.
    std::function<pooling::Hello()> Introduce;
    std::function<void(const std::string &Reason)> Refused;
  };

  static tl::expected<std::unique_ptr<PeerStreams>, std::string>
  listen(asio::io_context &Io, const std::string &Address, Hooks Ask);

  PeerStreams(asio::io_context &Io, asio::ip::tcp::acceptor Acceptor, Hooks Ask)
      : m_Io(Io), m_Acceptor(std::move(Acceptor)), m_Hooks(std::move(Ask)) {}

  /// @brief Sends on the stream to a VM, which is opened if there is none.
  void send(const MemberState &To, const pooling::FleetMessage &Message);
  /// @brief Sends on the stream that a VM has opened, if it still stands.
  void reply(const VmId &To, const pooling::FleetMessage &Message);
  /// @brief Closes the stream to a VM without telling of it.
  void drop(const VmId &Vm);

private:
  static constexpr std::size_t MaxFrame = std::size_t{4} * 1024 * 1024;

  /// @brief Cuts a stream of bytes into messages.
  class FrameReader {
  public:
    /// @return false if the bytes make no sense
    bool add(std::string_view Bytes,
             const std::function<bool(std::string_view)> &Take);

  private:
    std::string m_Bytes;
  };
  struct Incoming {
    std::weak_ptr<ByteStream> Stream;
    FrameReader Reader;
    VmId From; ///< Empty until it has introduced itself.
  };

  void accept();
  void took(const std::shared_ptr<Incoming> &From, std::string_view Bytes);
  bool introduced(const std::shared_ptr<Incoming> &From,
                  const pooling::FleetMessage &First);

  asio::io_context &m_Io;
  asio::ip::tcp::acceptor m_Acceptor;
  Hooks m_Hooks;
  std::map<VmId, std::shared_ptr<ByteStream>> m_Out;
  std::map<VmId, std::shared_ptr<ByteStream>> m_In;
};

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_SITE_PEERSTREAMS_H
