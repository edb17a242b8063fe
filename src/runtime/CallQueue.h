#ifndef BERGAMOTSTAGE_RUNTIME_CALLQUEUE_H
#define BERGAMOTSTAGE_RUNTIME_CALLQUEUE_H

#include "runtime/BoundedQueue.h"

#include <grpcpp/alarm.h>
#include <grpcpp/completion_queue.h>

#include <chrono>
#include <cstddef>
#include <mutex>
#include <utility>

namespace bergamotstage::runtime {

/// @brief Queue whose consumer starts gRPC calls for items and handles their
/// completions on the same thread.
template <class Item> class CallQueue {
public:
  explicit CallQueue(std::size_t Capacity) : m_Items(Capacity) {}

  /// @brief Adds an item and wakes the consumer.
  /// @return false if the queue is full; the item is then unchanged
  bool push(Item &&Added) {
    if (!m_Items.push(std::move(Added)))
      return false;
    std::lock_guard<std::mutex> Guard(m_WakeLock);
    if (!m_WakePending && !m_Stopped) {
      m_WakePending = true;
      m_Wake.Set(&m_Completions, std::chrono::system_clock::now(), nullptr);
    }
    return true;
  }

  /// @brief Ends run() after all in-flight calls have completed.
  void stop() {
    std::lock_guard<std::mutex> Guard(m_WakeLock);
    m_Stopped = true;
    m_Completions.Shutdown();
  }

  /// @brief The completion queue of the calls; their tags must not be null.
  grpc::CompletionQueue &completions() { return m_Completions; }

  /// @brief Passes items to @p OnItem and tags of completed calls to
  /// @p OnCompletion until stop().
  template <class ItemHandler, class CompletionHandler>
  void run(const ItemHandler &OnItem, const CompletionHandler &OnCompletion) {
    void *Tag = nullptr;
    bool Succeeded = false;
    while (m_Completions.Next(&Tag, &Succeeded)) {
      if (Tag == nullptr)
        startCalls(OnItem);
      else
        OnCompletion(Tag);
    }
  }

private:
  template <class ItemHandler> void startCalls(const ItemHandler &OnItem) {
    {
      std::lock_guard<std::mutex> Guard(m_WakeLock);
      m_WakePending = false;
      if (m_Stopped)
        return;
    }
    Item Next;
    while (m_Items.pop(Next))
      OnItem(Next);
  }

  SpscQueue<Item> m_Items;
  grpc::CompletionQueue m_Completions;
  grpc::Alarm m_Wake;
  std::mutex m_WakeLock;
  bool m_WakePending = false;
  bool m_Stopped = false;
};

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_CALLQUEUE_H
