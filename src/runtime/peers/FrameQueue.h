#ifndef BERGAMOTSTAGE_RUNTIME_PEERS_FRAMEQUEUE_H
#define BERGAMOTSTAGE_RUNTIME_PEERS_FRAMEQUEUE_H

#include "peer.grpc.pb.h"

#include <cstddef>
#include <deque>
#include <mutex>
#include <utility>

namespace bergamotstage::runtime {

using ForwardFrame = wire::peer::ForwardFrame;

/// @brief The frames of one stream that wait to be written, one at a time.
///
/// Shared by the two sides of a forwarding stream. Not thread-safe: the
/// stream that owns it holds a lock.
class FrameQueue {
public:
  /// @brief Most bytes that may wait on one stream.
  static constexpr std::size_t MaxBytes = std::size_t{16} << 20U;

  /// @brief Adds a frame behind all others. Answers and credit always have
  /// room: there is at most one answer for each statement.
  /// @return false if too many bytes wait already; nothing is added then
  bool push(ForwardFrame &&Added) {
    std::size_t Bytes = Added.ByteSizeLong();
    bool Bounded = Added.has_statement() || Added.has_rows();
    if (Bounded && m_Bytes + Bytes > MaxBytes)
      return false;
    m_Bytes += Bytes;
    m_Waiting.push_back(std::move(Added));
    return true;
  }

  /// @brief Takes the next frame to write; null if one is being written or
  /// none waits. The frame stays valid until written() is called.
  const ForwardFrame *next() {
    if (m_Writing || m_Waiting.empty())
      return nullptr;
    m_Writing = true;
    return &m_Waiting.front();
  }

  /// @brief The frame that next() returned has been written.
  void written() {
    m_Bytes -= m_Waiting.front().ByteSizeLong();
    m_Waiting.pop_front();
    m_Writing = false;
  }

  bool writing() const { return m_Writing; }

private:
  std::deque<ForwardFrame> m_Waiting; ///< The front one may be under way.
  std::size_t m_Bytes = 0;
  bool m_Writing = false;
};

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_PEERS_FRAMEQUEUE_H
