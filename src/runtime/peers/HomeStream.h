#ifndef BERGAMOTSTAGE_RUNTIME_PEERS_HOMESTREAM_H
#define BERGAMOTSTAGE_RUNTIME_PEERS_HOMESTREAM_H

#include "runtime/peers/ForwardTransport.h"

#include <functional>
#include <mutex>

namespace bergamotstage::runtime {

/// @brief The home VM's end of a forwarding stream.
///
/// Its owner destroys it when OnEnded is called.
class HomeStream final
    : public grpc::ServerBidiReactor<ForwardFrame, ForwardFrame> {
public:
  struct Hooks {
    std::function<void(const ForwardOrigin &, ForwardFrame &&)> OnRequest;
    std::function<void(const ForwardOrigin &)> OnEnded;
  };

  HomeStream(std::uint64_t Number, ForwardFrame Hello, Hooks Callbacks);

  /// @brief Sends the hello frame and starts reading.
  void start();

  /// @brief Sends a frame; false if the stream has ended or its queue is full.
  bool send(ForwardFrame &&Frame);

  void OnReadDone(bool Succeeded) override;
  void OnWriteDone(bool Succeeded) override;
  void OnDone() override;

private:
  void writeNext();
  void finishOnce();

  ForwardOrigin m_Origin;
  Hooks m_Hooks;
  ForwardFrame m_Input;
  std::mutex m_Lock;
  FrameQueue m_Queue;
  bool m_HelloReceived = false; ///< The origin has identified itself.
  bool m_Closed = false;
  bool m_Finished = false;
};

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_PEERS_HOMESTREAM_H
