#ifndef BERGAMOTSTAGE_RUNTIME_WAKEEVENT_H
#define BERGAMOTSTAGE_RUNTIME_WAKEEVENT_H

#include "bergamotstage/core/Time.h"

#include <chrono>
#include <condition_variable>
#include <mutex>

namespace bergamotstage::runtime {

/// @brief Returns the time of the monotonic clock.
inline Instant steadyNow() {
  auto Elapsed = std::chrono::steady_clock::now().time_since_epoch();
  return Instant(std::chrono::duration_cast<Duration>(Elapsed));
}

/// @brief Wakes a thread that waits for work.
class WakeEvent {
public:
  /// @brief Wakes the waiting thread, or ends its next wait at once.
  void notify() {
    std::lock_guard<std::mutex> Guard(m_Lock);
    m_Notified = true;
    m_Signal.notify_one();
  }

  /// @brief Waits for notify() or until a time of steadyNow().
  void waitUntil(Instant Deadline) {
    std::unique_lock<std::mutex> Guard(m_Lock);
    auto Until = std::chrono::steady_clock::time_point(
        std::chrono::duration_cast<std::chrono::steady_clock::duration>(
            Deadline.time_since_epoch()));
    m_Signal.wait_until(Guard, Until, [this] { return m_Notified; });
    m_Notified = false;
  }

private:
  std::mutex m_Lock;
  std::condition_variable m_Signal;
  bool m_Notified = false;
};

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_WAKEEVENT_H
