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

/// @brief The side of a forwarding stream that sends statements.
///
/// Statements are written only after the home VM's first frame, so that a
/// statement for a VM that cannot be reached is known not to have been sent.
class OriginStream final
    : public grpc::ClientBidiReactor<ForwardFrame, ForwardFrame>,
      public std::enable_shared_from_this<OriginStream> {
public:
  struct Hooks {
    std::function<void(ForwardFrame &&)> Answered;
    std::function<void(std::uint64_t Id, bool NeverSent)> Lost;
    std::function<void(OriginStream *)> Ended;
  };

  OriginStream(const std::shared_ptr<grpc::Channel> &Channel, Hooks Wanted);

  /// @brief Opens the stream, which keeps itself alive until it has ended.
  /// @param First statement to send, which is under way from then on
  void start(ForwardFrame Hello, ForwardFrame First);

  enum class SendResult : std::uint8_t { Accepted, Full, Closed };

  /// @brief Sends a frame; an accepted statement is under way from then on.
  SendResult send(ForwardFrame &&Frame);

  /// @brief Ends the call; Ended follows.
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
  /// @brief Gone once the call has ended. It refers to the channel, the last
  /// reference to which must not go on a thread of gRPC.
  std::unique_ptr<grpc::ClientContext> m_Context;
  ForwardFrame m_Input;
  std::mutex m_Lock;
  FrameQueue m_Queue;
  std::unordered_map<std::uint64_t, bool> m_UnderWay; ///< Id to written.
  bool m_Ready = false; ///< The home VM has answered the hello.
  bool m_Closed = false;
};

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_PEERS_ORIGINSTREAM_H
