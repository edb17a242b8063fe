#ifndef BERGAMOTSTAGE_RUNTIME_PEERS_ORIGINSTREAM_H
#define BERGAMOTSTAGE_RUNTIME_PEERS_ORIGINSTREAM_H

#include "runtime/peers/FrameQueue.h"

#include <grpcpp/grpcpp.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace bergamotstage::runtime {

/// @brief The origin's end of a forwarding stream.
///
/// Statements are written only after the home VM's first frame, so that a
/// statement to an unreachable VM is known not to have been sent.
class OriginStream final
    : public grpc::ClientBidiReactor<ForwardFrame, ForwardFrame>,
      public std::enable_shared_from_this<OriginStream> {
public:
  struct Hooks {
    std::function<void(ForwardFrame &&)> OnAnswer;
    std::function<void(std::uint64_t Id, bool NeverSent)> OnLost;
    std::function<void(OriginStream *)> OnEnded;
  };

  OriginStream(const std::shared_ptr<grpc::Channel> &Channel, Hooks Callbacks);

  /// @brief Opens the stream, which owns itself until it has ended.
  /// @param First statement to send; it is in flight from then on
  void start(ForwardFrame Hello, ForwardFrame First);

  enum class SendResult : std::uint8_t { Accepted, Full, Closed };

  /// @brief Sends a frame; an accepted statement is in flight from then on.
  SendResult send(ForwardFrame &&Frame);

  /// @brief Cancels the call; OnEnded is called later.
  void cancel();

  void OnReadDone(bool Succeeded) override;
  void OnWriteDone(bool Succeeded) override;
  void OnDone(const grpc::Status &Status) override;

private:
  void writeNext();
  void close();

  Hooks m_Hooks;
  std::shared_ptr<OriginStream> m_Self; ///< Set while the call is open.
  std::unique_ptr<wire::peer::Forwarding::Stub> m_Stub;
  /// @brief Reset when the call ends because it refers to the channel, which
  /// must not be destroyed on a gRPC thread.
  std::unique_ptr<grpc::ClientContext> m_Context;
  ForwardFrame m_Input;
  std::mutex m_Lock;
  FrameQueue m_Queue;
  /// @brief Ids of statements in flight, each with whether it was written.
  std::unordered_map<std::uint64_t, bool> m_InFlight;
  bool m_HelloReceived = false; ///< The home VM has answered the hello.
  bool m_Closed = false;
};

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_PEERS_ORIGINSTREAM_H
