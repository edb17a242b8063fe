#ifndef BERGAMOTSTAGE_RUNTIME_INBOX_H
#define BERGAMOTSTAGE_RUNTIME_INBOX_H

#include "runtime/Ring.h"

#include <asio.hpp>

#include <atomic>
#include <functional>
#include <utility>

namespace bergamotstage::runtime {

/// @brief A ring into a thread that runs an Asio context.
///
/// The consumer is called on the context's thread, once for each item.
template <class Item> class Inbox {
public:
  using Consumer = std::function<void(Item &&)>;

  Inbox(asio::io_context &Io, std::size_t Capacity, Consumer Consume)
      : m_Io(Io), m_Ring(Capacity), m_Consume(std::move(Consume)) {}

  /// @brief Adds an item and wakes the context; false if the ring is full.
  bool push(Item &&Added) {
    if (!m_Ring.push(std::move(Added)))
      return false;
    if (!m_Scheduled.exchange(true))
      asio::post(m_Io, [this] { drain(); });
    return true;
  }

private:
  void drain() {
    m_Scheduled.store(false);
    Item Next;
    while (m_Ring.pop(Next))
      m_Consume(std::move(Next));
  }

  asio::io_context &m_Io;
  Ring<Item> m_Ring;
  Consumer m_Consume;
  std::atomic<bool> m_Scheduled{false};
};

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_INBOX_H
