#ifndef BERGAMOTSTAGE_RUNTIME_BOUNDEDQUEUE_H
#define BERGAMOTSTAGE_RUNTIME_BOUNDEDQUEUE_H

#include <boost/lockfree/spsc_queue.hpp>

#include <cstddef>
#include <deque>
#include <mutex>
#include <utility>

namespace bergamotstage::runtime {

/// @brief A bounded lock-free queue with one producer and one consumer.
template <class Item> class SpscQueue {
public:
  explicit SpscQueue(std::size_t Capacity) : m_Queue(Capacity) {}

  /// @brief Adds an item. Never blocks.
  /// @return false if the queue is full; the item is then unchanged
  bool push(Item &&Added) { return m_Queue.push(std::move(Added)); }

  /// @brief Removes the oldest item. Never blocks.
  /// @return false if the queue is empty
  bool pop(Item &Result) {
    return m_Queue.consume_one([&](Item &Front) { Result = std::move(Front); });
  }

private:
  boost::lockfree::spsc_queue<Item> m_Queue;
};

/// @brief A bounded queue with any number of producers and one consumer.
template <class Item> class MpscQueue {
public:
  explicit MpscQueue(std::size_t Capacity) : m_Capacity(Capacity) {}

  /// @brief Adds an item.
  /// @return false if the queue is full; the item is then unchanged
  bool push(Item &&Added) {
    std::lock_guard<std::mutex> Guard(m_Lock);
    if (m_Items.size() >= m_Capacity)
      return false;
    m_Items.push_back(std::move(Added));
    return true;
  }

  /// @brief Removes the oldest item.
  /// @return false if the queue is empty
  bool pop(Item &Result) {
    std::lock_guard<std::mutex> Guard(m_Lock);
    if (m_Items.empty())
      return false;
    Result = std::move(m_Items.front());
    m_Items.pop_front();
    return true;
  }

private:
  std::size_t m_Capacity;
  std::mutex m_Lock;
  std::deque<Item> m_Items;
};

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_BOUNDEDQUEUE_H
