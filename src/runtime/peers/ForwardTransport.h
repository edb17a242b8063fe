#ifndef BERGAMOTSTAGE_RUNTIME_PEERS_FORWARDTRANSPORT_H
#define BERGAMOTSTAGE_RUNTIME_PEERS_FORWARDTRANSPORT_H

#include "bergamotstage/core/Ids.h"
#include "runtime/peers/FrameQueue.h"

#include <grpcpp/grpcpp.h>

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace bergamotstage::runtime {

class OriginStream;
class HomeStream;

/// @brief The VM that forwards statements on a stream, as its home VM sees it.
struct ForwardOrigin {
  std::uint64_t Stream = 0; ///< Assigned by the home VM; never reused.
  VmId Vm;
  Incarnation Start;
};

/// @brief Event handlers of a transport, called on gRPC threads.
struct ForwardHooks {
  /// @brief The home VM received a statement, credit or a disconnect.
  std::function<void(const ForwardOrigin &, ForwardFrame &&)> OnRequest;
  /// @brief A stream ended at its home VM; answers can no longer be sent.
  std::function<void(const ForwardOrigin &)> OnOriginLost;
  /// @brief The origin received rows or an answer, in the order of sending.
  std::function<void(ForwardFrame &&)> OnAnswer;
  /// @brief A statement ended without an answer. If NeverSent is set, no byte
  /// of it left this VM, so it was not run.
  std::function<void(std::uint64_t Id, bool NeverSent)> OnLost;
};

/// @brief Transports forwarded statements and their answers between VMs.
///
/// One stream to each home VM multiplexes statements and preserves their order.
/// A statement ends with exactly one of OnAnswer (with an answer) and OnLost.
/// Thread-safe.
class ForwardTransport {
public:
  ForwardTransport(VmId Self, Incarnation Start,
                   std::shared_ptr<grpc::ChannelCredentials> Credentials,
                   ForwardHooks Hooks);
  ~ForwardTransport();
  ForwardTransport(const ForwardTransport &) = delete;
  ForwardTransport &operator=(const ForwardTransport &) = delete;

  /// @brief Sends a frame to a home VM and opens the stream if needed.
  /// @param Address IP address and port of the home VM's peer service
  /// @return false if the frame is too large or the queue to that VM is full;
  /// nothing was sent, and no event follows
  bool send(const std::string &Address, ForwardFrame Frame);

  /// @brief Sends rows or an answer to the origin.
  /// @return false if the stream has ended or its queue is full
  bool reply(std::uint64_t Stream, ForwardFrame Frame);

  /// @brief The service that the gRPC server of a home VM registers.
  grpc::Service &service();

  /// @brief Ends all streams and waits for their last events.
  void stop();

private:
  class Service;

  std::shared_ptr<grpc::Channel> channelTo(const std::string &Address);
  void dropUnusedChannels();
  std::shared_ptr<OriginStream> openStream(const std::string &Address,
                                           ForwardFrame First);
  void onStreamEnded(const std::string &Address, OriginStream *Stream);

  VmId m_Self;
  Incarnation m_Start;
  std::shared_ptr<grpc::ChannelCredentials> m_Credentials;
  ForwardHooks m_Hooks;
  std::mutex m_Lock;
  bool m_Stopped = false;
  std::condition_variable m_StreamEnded;
  std::map<std::string, std::shared_ptr<OriginStream>> m_StreamsByAddress;
  /// @brief Owned here because gRPC must not destroy a channel on its threads.
  std::map<std::string, std::shared_ptr<grpc::Channel>> m_Channels;
  std::set<OriginStream *> m_OpenStreams; ///< Streams that have not ended.
  std::unique_ptr<Service> m_Service;
};

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_PEERS_FORWARDTRANSPORT_H
