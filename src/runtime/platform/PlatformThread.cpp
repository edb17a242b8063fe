#include "runtime/platform/PlatformThread.h"

#include "runtime/platform/PlatformCalls.h"

#include <chrono>
#include <utility>

namespace bergamotstage::runtime {
namespace {

constexpr std::size_t RingCapacity = 1024;

} // namespace

PlatformThread::PlatformThread(
    const std::string &Address,
    const std::shared_ptr<grpc::ChannelCredentials> &Credentials,
    EventSink Events)
    : m_Channel(grpc::CreateChannel(Address, Credentials)),
      m_Stub(wire::platform::Platform::NewStub(m_Channel)),
      m_Events(std::move(Events)), m_Ring(RingCapacity) {}

PlatformThread::~PlatformThread() { stop(); }

void PlatformThread::start() {
  m_Thread = std::thread([this] { run(); });
}

void PlatformThread::stop() {
  if (!m_Thread.joinable())
    return;
  {
    std::lock_guard<std::mutex> Guard(m_WakeLock);
    m_Stopped = true;
    m_Queue.Shutdown();
  }
  m_Thread.join();
}

bool PlatformThread::push(CallPlatform &&Call) {
  if (!m_Ring.push(std::move(Call)))
    return false;
  std::lock_guard<std::mutex> Guard(m_WakeLock);
  if (!m_WakeSet && !m_Stopped) {
    m_WakeSet = true;
    m_Wake.Set(&m_Queue, std::chrono::system_clock::now(), nullptr);
  }
  return true;
}

void PlatformThread::run() {
  void *Tag = nullptr;
  bool Succeeded = false;
  while (m_Queue.Next(&Tag, &Succeeded)) {
    if (Tag == nullptr) {
      takeCalls();
      continue;
    }
    std::unique_ptr<PendingCall> Call(static_cast<PendingCall *>(Tag));
    Event Answered = PlatformAnswered{Call->Id, Call->answer()};
    // NOLINTNEXTLINE(bugprone-use-after-move): a full ring moves nothing.
    while (!m_Events(std::move(Answered)))
      std::this_thread::yield();
  }
}

void PlatformThread::takeCalls() {
  {
    std::lock_guard<std::mutex> Guard(m_WakeLock);
    m_WakeSet = false;
    if (m_Stopped)
      return;
  }
  CallPlatform Next;
  while (m_Ring.pop(Next))
    begin(Next);
}

void PlatformThread::begin(const CallPlatform &Call) {
  std::unique_ptr<PendingCall> Pending = makeCall(Call.Request);
  Pending->Id = Call.Call;
  Pending->Context.set_deadline(std::chrono::system_clock::now() +
                                Call.Timeout);
  Pending->begin(*m_Stub, m_Queue);
  // The queue owns the call until it hands its tag back.
  static_cast<void>(Pending.release());
}

} // namespace bergamotstage::runtime
