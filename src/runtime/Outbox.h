#ifndef BERGAMOTSTAGE_RUNTIME_OUTBOX_H
#define BERGAMOTSTAGE_RUNTIME_OUTBOX_H

#include "runtime/Commands.h"

#include <asio.hpp>

#include <chrono>
#include <deque>
#include <utility>

namespace bergamotstage::runtime {

/// @brief Buffers events that must not be lost while the event queue is full.
///
/// Used on the producing thread only. It holds at most one event per connection
/// of that thread, which bounds its size.
class Outbox {
public:
  Outbox(asio::io_context &Io, EventSink Events)
      : m_Retry(Io), m_Events(std::move(Events)) {}

  /// @brief Sends an event now or as soon as the event queue has space.
  void push(Event &&Added) {
    m_Waiting.push_back(std::move(Added));
    if (m_Waiting.size() == 1)
      drain();
  }

private:
  static constexpr auto RetryInterval = std::chrono::milliseconds(1);

  void drain() {
    while (!m_Waiting.empty()) {
      if (!m_Events(std::move(m_Waiting.front())))
        return retryLater();
      m_Waiting.pop_front();
    }
  }

  void retryLater() {
    m_Retry.expires_after(RetryInterval);
    m_Retry.async_wait([this](std::error_code Error) {
      if (!Error)
        drain();
    });
  }

  asio::steady_timer m_Retry;
  EventSink m_Events;
  std::deque<Event> m_Waiting;
};

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_OUTBOX_H
