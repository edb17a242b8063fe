#ifndef BERGAMOTSTAGE_RUNTIME_INBOX_H
#define BERGAMOTSTAGE_RUNTIME_INBOX_H

#include "runtime/BoundedQueue.h"

#include <asio.hpp>

#include <atomic>
#include <functional>
#include <utility>

namespace bergamotstage::runtime {

/// @brief A queue to a thread that runs an Asio context.
///
/// The consumer is called on the context's thread, once for each item.
template <class Item, template <class> class Queue = SpscQueue> class Inbox {
public:
  using Consumer = std::function<void(Item &&)>;

  Inbox(asio::io_context &Io, std::size_t Capacity, Consumer Consume)
      : m_Io(Io), m_Items(Capacity), m_Consume(std::move(Consume)) {}

  /// @brief Adds an item and wakes the context; false if the queue is full.
  bool push(Item &&Added) {
    if (!m_Items.push(std::move(Added)))
      return false;
    schedule();
    return true;
  }

  /// @brief Consumes all items; on the context's thread only.
  void drainAll() {
    Item Next;
    while (m_Items.pop(Next))
      m_Consume(std::move(Next));
  }

private:
  /// @brief Items consumed before other handlers of the context run.
  static constexpr unsigned MaxBatch = 128;

  void drain() {
    m_Scheduled.store(false);
    Item Next;
    for (unsigned Count = 0; Count < MaxBatch; ++Count) {
      if (!m_Items.pop(Next))
        return;
      m_Consume(std::move(Next));
    }
    schedule();
  }

  void schedule() {
    if (!m_Scheduled.exchange(true))
      asio::post(m_Io, [this] { drain(); });
  }

  asio::io_context &m_Io;
  Queue<Item> m_Items;
  Consumer m_Consume;
  std::atomic<bool> m_Scheduled{false};
};

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_INBOX_H
