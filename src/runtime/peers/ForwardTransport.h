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

/// @brief The other end of a stream, as its home VM sees it.
struct ForwardOrigin {
  std::uint64_t Stream = 0; ///< Numbered by the home VM; never used again.
  VmId Vm;
  Incarnation Start;
};

/// @brief What a transport reports. All are called on threads of gRPC.
struct ForwardHooks {
  /// @brief The home VM gets a statement, credit or a cancellation.
  std::function<void(const ForwardOrigin &, ForwardFrame &&)> Requested;
  /// @brief A stream ended at its home VM: its answers are of no use now.
  std::function<void(const ForwardOrigin &)> OriginLost;
  /// @brief The origin gets rows or an answer, in the order they were sent.
  std::function<void(ForwardFrame &&)> Answered;
  /// @brief A statement ends without an answer.
  /// NeverSent: no byte of it has left this VM, so it was not run.
  std::function<void(std::uint64_t Id, bool NeverSent)> Lost;
};

/// @brief Carries statements to the home VMs of their databases and back.
///
/// One stream leads from this VM to each home VM and carries many statements,
/// each in order. A statement ends with exactly one of Answered (with an
/// answer) and Lost. Thread-safe.
class ForwardTransport {
public:
  ForwardTransport(VmId Self, Incarnation Start,
                   std::shared_ptr<grpc::ChannelCredentials> Credentials,
                   ForwardHooks Hooks);
  ~ForwardTransport();
  ForwardTransport(const ForwardTransport &) = delete;
  ForwardTransport &operator=(const ForwardTransport &) = delete;

  /// @brief Sends a frame to a home VM; opens the stream if there is none.
  /// @param Address IP number and port of the home VM's peer service
  /// @return false if the frame is too large or too many bytes wait for that
  /// VM: nothing was sent, and no event follows
  bool send(const std::string &Address, ForwardFrame Frame);

  /// @brief Sends rows or an answer back.
  /// @return false if the stream is gone or too many bytes wait on it
  bool reply(std::uint64_t Stream, ForwardFrame Frame);

  /// @brief What a gRPC server must register to be a home VM.
  grpc::Service &service();

  /// @brief Ends all streams and waits for their last events.
  void stop();

private:
  class Service;

  std::shared_ptr<grpc::Channel> channelTo(const std::string &Address);
  void dropUnusedChannels();
  std::shared_ptr<OriginStream> openStream(const std::string &Address,
                                           ForwardFrame First);
  void originEnded(const std::string &Address, OriginStream *Ended);

  VmId m_Self;
  Incarnation m_Start;
  std::shared_ptr<grpc::ChannelCredentials> m_Credentials;
  ForwardHooks m_Hooks;
  std::mutex m_Lock;
  bool m_Stopped = false;
  std::condition_variable m_OriginEnded;
  std::map<std::string, std::shared_ptr<OriginStream>> m_Origins;
  /// @brief Kept until the end: gRPC must not drop one on its own threads.
  std::map<std::string, std::shared_ptr<grpc::Channel>> m_Channels;
  std::set<OriginStream *> m_Open; ///< All that have not ended yet.
  std::unique_ptr<Service> m_Service;
};

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_PEERS_FORWARDTRANSPORT_H
