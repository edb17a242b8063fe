#ifndef BERGAMOTSTAGE_RUNTIME_PEERS_FRAMEQUEUE_H
#define BERGAMOTSTAGE_RUNTIME_PEERS_FRAMEQUEUE_H

#include "peer.grpc.pb.h"

#include <cstddef>
#include <deque>
#include <mutex>
#include <utility>

namespace bergamotstage::runtime {

using ForwardFrame = wire::peer::ForwardFrame;

/// @brief Bounded queue of the frames to write to a stream.
///
/// Used by both ends of a forwarding stream. Not thread-safe: the owning stream
/// holds a lock.
class FrameQueue {
public:
  /// @brief Limit for the queued bytes of one stream.
  static constexpr std::size_t MaxBytes = std::size_t{16} << 20U;

  /// @brief Appends a frame. Answers and credit are exempt from the limit
  /// because a statement has at most one answer.
  /// @return false if the queue is full; nothing is added then
  bool push(ForwardFrame &&Frame) {
    std::size_t Bytes = Frame.ByteSizeLong();
    bool Bounded = Frame.has_statement() || Frame.has_rows();
    if (Bounded && m_Bytes + Bytes > MaxBytes)
      return false;
    m_Bytes += Bytes;
    m_Frames.push_back(std::move(Frame));
    return true;
  }

  /// @brief Returns the next frame and marks it as being written; null if a
  /// write is pending or the queue is empty. Valid until finishWrite().
  const ForwardFrame *next() {
    if (m_Writing || m_Frames.empty())
      return nullptr;
    m_Writing = true;
    return &m_Frames.front();
  }

  /// @brief Removes the frame that next() returned.
  void finishWrite() {
    m_Bytes -= m_Frames.front().ByteSizeLong();
    m_Frames.pop_front();
    m_Writing = false;
  }

  bool isWriting() const { return m_Writing; }

private:
  std::deque<ForwardFrame> m_Frames; ///< The front one may be being written.
  std::size_t m_Bytes = 0;
  bool m_Writing = false;
};

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_PEERS_FRAMEQUEUE_H
