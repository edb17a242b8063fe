#include "runtime/DecisionThread.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace bergamotstage::runtime {
namespace {

constexpr std::size_t QueueCapacity = 8192;
constexpr Duration IdleInterval = seconds(1);
constexpr Duration RetryInterval = milliseconds(1);

} // namespace

DecisionThread::DecisionThread(std::unique_ptr<Node> DecisionNode,
                               ActionSinks Sinks)
    : m_Node(std::move(DecisionNode)), m_Sinks(std::move(Sinks)),
      m_CallerQueue(QueueCapacity), m_TargetQueue(QueueCapacity),
      m_PlatformQueue(QueueCapacity), m_SharedQueue(QueueCapacity) {}

DecisionThread::~DecisionThread() { stop(); }

void DecisionThread::start() {
  m_Thread = std::thread([this] { run(); });
}

void DecisionThread::stop() {
  if (!m_Thread.joinable())
    return;
  m_Stopped.store(true);
  m_WakeEvent.notify();
  m_Thread.join();
}

EventSink DecisionThread::makeSink(SpscQueue<Event> &To) {
  return [this, &To](Event &&Received) {
    if (!To.push(std::move(Received)))
      return false;
    m_WakeEvent.notify();
    return true;
  };
}

EventSink DecisionThread::sharedEvents() {
  return [this](Event &&Received) {
    if (!m_SharedQueue.push(std::move(Received)))
      return false;
    m_WakeEvent.notify();
    return true;
  };
}

void DecisionThread::run() {
  m_Node->start(steadyNow(), m_NewActions);
  dispatchActions();
  Event Next;
  while (!m_Stopped.load()) {
    dispatchActions();
    bool QueuesFull = !m_PendingActions.empty();
    if (!QueuesFull && processQueued(Next))
      continue;
    Instant Now = steadyNow();
    if (m_WakeTime && *m_WakeTime <= Now) {
      m_WakeTime.reset();
      processEvent(TimerFired{});
      continue;
    }
    Instant Until = Now + (QueuesFull ? RetryInterval : IdleInterval);
    m_WakeEvent.waitUntil(m_WakeTime ? std::min(*m_WakeTime, Until) : Until);
  }
}

bool DecisionThread::processQueued(Event &Next) {
  bool Processed = false;
  for (SpscQueue<Event> *From :
       {&m_TargetQueue, &m_PlatformQueue, &m_CallerQueue}) {
    if (!From->pop(Next))
      continue;
    processEvent(Next);
    Processed = true;
  }
  if (m_SharedQueue.pop(Next)) {
    processEvent(Next);
    Processed = true;
  }
  return Processed;
}

void DecisionThread::processEvent(const Event &Received) {
  m_Node->step(steadyNow(), Received, m_NewActions);
  dispatchActions();
}

void DecisionThread::dispatchActions() {
  for (Action &Requested : m_NewActions)
    m_PendingActions.push_back(std::move(Requested));
  m_NewActions.clear();
  while (!m_PendingActions.empty()) {
    if (!dispatch(m_PendingActions.front()))
      return;
    m_PendingActions.pop_front();
  }
}

bool DecisionThread::dispatch(Action &Requested) {
  struct Visitor {
    DecisionThread &Owner;
    bool toCaller(CallerCommand &&Command) {
      return Owner.m_Sinks.Callers(std::move(Command));
    }
    bool toTarget(TargetCommand &&Command) {
      return Owner.m_Sinks.Targets(std::move(Command));
    }
    bool operator()(RequestKey &A) { return toCaller(A); }
    bool operator()(AdmitCaller &A) { return toCaller(A); }
    bool operator()(CloseCaller &A) { return toCaller(A); }
    bool operator()(ReportParameter &A) { return toCaller(A); }
    bool operator()(AnswerStatement &A) { return toCaller(A); }
    bool operator()(OpenLink &A) { return toTarget(A); }
    bool operator()(CloseLink &A) { return toTarget(A); }
    bool operator()(RunStatement &A) { return toTarget(A); }
    bool operator()(RunInternal &A) { return toTarget(A); }
    bool operator()(CallPlatform &A) {
      return Owner.m_Sinks.Platform(CallPlatform(A));
    }
    bool operator()(SendPeer &A) {
      Owner.m_Sinks.Peers(std::move(A));
      return true;
    }
    bool operator()(ForwardStatement &A) { return Owner.m_Sinks.Forwards(A); }
    bool operator()(CloseForward &A) { return Owner.m_Sinks.Forwards(A); }
    bool operator()(AnswerOperator &A) {
      Owner.m_Sinks.Operators(std::move(A));
      return true;
    }
    bool operator()(WriteLog &A) {
      Owner.m_Sinks.Log(std::move(A));
      return true;
    }
    bool operator()(WakeAt &A) {
      Owner.m_WakeTime = A.Time;
      return true;
    }
    bool operator()(Exit &A) {
      Owner.m_Sinks.Exit(A);
      return true;
    }
  };
  return std::visit(Visitor{*this}, Requested);
}

} // namespace bergamotstage::runtime
