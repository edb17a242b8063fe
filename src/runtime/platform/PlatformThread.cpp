#include "runtime/platform/PlatformThread.h"

#include "runtime/platform/PlatformCalls.h"

#include <chrono>
#include <utility>

namespace bergamotstage::runtime {
namespace {

constexpr std::size_t QueueCapacity = 1024;

} // namespace

PlatformThread::PlatformThread(
    const std::string &Address,
    const std::shared_ptr<grpc::ChannelCredentials> &Credentials,
    EventSink Events)
    : m_Channel(grpc::CreateChannel(Address, Credentials)),
      m_Stub(wire::platform::Platform::NewStub(m_Channel)),
      m_Events(std::move(Events)), m_Queue(QueueCapacity) {}

PlatformThread::~PlatformThread() { stop(); }

void PlatformThread::start() {
  m_Thread = std::thread([this] { run(); });
}

void PlatformThread::stop() {
  if (!m_Thread.joinable())
    return;
  m_Queue.stop();
  m_Thread.join();
}

bool PlatformThread::push(CallPlatform &&Call) {
  return m_Queue.push(std::move(Call));
}

void PlatformThread::run() {
  m_Queue.run([this](const CallPlatform &Next) { startCall(Next); },
              [this](void *Tag) { finishCall(Tag); });
}

void PlatformThread::finishCall(void *Tag) {
  std::unique_ptr<PendingCall> Call(static_cast<PendingCall *>(Tag));
  Event Completed = PlatformAnswered{Call->Id, Call->answer()};
  // NOLINTNEXTLINE(bugprone-use-after-move): a full queue moves nothing.
  while (!m_Events(std::move(Completed)))
    std::this_thread::yield();
}

void PlatformThread::startCall(const CallPlatform &Call) {
  std::unique_ptr<PendingCall> Pending = makeCall(Call.Request);
  Pending->Id = Call.Call;
  Pending->Context.set_deadline(std::chrono::system_clock::now() +
                                Call.Timeout);
  Pending->start(*m_Stub, m_Queue.completions());
  // The completion queue owns the call until it returns the tag.
  static_cast<void>(Pending.release());
}

} // namespace bergamotstage::runtime
