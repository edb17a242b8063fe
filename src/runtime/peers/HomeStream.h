#ifndef BERGAMOTSTAGE_RUNTIME_PEERS_HOMESTREAM_H
#define BERGAMOTSTAGE_RUNTIME_PEERS_HOMESTREAM_H

#include "runtime/peers/ForwardTransport.h"

#include <functional>
#include <mutex>

namespace bergamotstage::runtime {

/// @brief The side of a forwarding stream that runs statements.
///
/// Deletes nothing itself: its owner drops it when Ended is called.
class HomeStream final
    : public grpc::ServerBidiReactor<ForwardFrame, ForwardFrame> {
public:
  struct Hooks {
    std::function<void(const ForwardOrigin &, ForwardFrame &&)> Requested;
    std::function<void(const ForwardOrigin &)> Ended;
  };

  HomeStream(std::uint64_t Number, ForwardFrame Hello, Hooks Wanted);

  /// @brief Answers the hello and takes frames.
  void start();

  /// @brief Sends a frame back; false if closed or too many bytes wait.
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
  bool m_Greeted = false; ///< The origin has said who it is.
  bool m_Closed = false;
  bool m_Finished = false;
};

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_PEERS_HOMESTREAM_H
