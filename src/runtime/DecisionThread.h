#ifndef BERGAMOTSTAGE_RUNTIME_DECISIONTHREAD_H
#define BERGAMOTSTAGE_RUNTIME_DECISIONTHREAD_H

#include "bergamotstage/node/Node.h"
#include "runtime/BoundedQueue.h"
#include "runtime/Commands.h"
#include "runtime/WakeEvent.h"

#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <thread>

namespace bergamotstage::runtime {

/// @brief Receivers of the node's actions. Those with a result return false if
/// their queue is full and then leave the argument unchanged.
struct ActionSinks {
  std::function<bool(CallerCommand &&)> Callers;
  std::function<bool(TargetCommand &&)> Targets;
  std::function<bool(CallPlatform &&)> Platform;
  std::function<bool(SendPeer &&)> Peers;
  std::function<bool(ForwardCommand &&)> Forwards;
  std::function<void(AnswerOperator &&)> Operators;
  std::function<void(WriteLog &&)> Log;
  std::function<void(const Exit &)> Exit;
};

/// @brief The thread that passes events to the node and dispatches its actions.
class DecisionThread {
public:
  DecisionThread(std::unique_ptr<Node> DecisionNode, ActionSinks Sinks);
  ~DecisionThread();
  DecisionThread(const DecisionThread &) = delete;
  DecisionThread &operator=(const DecisionThread &) = delete;

  void start();
  void stop();

  /// @brief Sinks for events. Each one is for a single producer thread, except
  /// sharedEvents(), which any thread may use.
  EventSink callerEvents() { return makeSink(m_CallerQueue); }
  EventSink targetEvents() { return makeSink(m_TargetQueue); }
  EventSink platformEvents() { return makeSink(m_PlatformQueue); }
  EventSink sharedEvents();

private:
  EventSink makeSink(SpscQueue<Event> &To);
  void run();
  bool processQueued(Event &Next);
  void processEvent(const Event &Received);
  void dispatchActions();
  bool dispatch(Action &Requested);

  std::unique_ptr<Node> m_Node;
  ActionSinks m_Sinks;
  SpscQueue<Event> m_CallerQueue;
  SpscQueue<Event> m_TargetQueue;
  SpscQueue<Event> m_PlatformQueue;
  MpscQueue<Event> m_SharedQueue;
  WakeEvent m_WakeEvent;
  std::atomic<bool> m_Stopped{false};
  Actions m_NewActions;
  std::deque<Action> m_PendingActions; ///< Wait for space in their queues.
  std::optional<Instant> m_WakeTime;
  std::thread m_Thread;
};

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_DECISIONTHREAD_H
