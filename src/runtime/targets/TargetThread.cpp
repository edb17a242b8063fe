#include "runtime/targets/TargetThread.h"

#include <utility>

namespace bergamotstage::runtime {
namespace {

constexpr std::size_t InboxCapacity = 8192;

} // namespace

TargetThread::TargetThread(TargetCredentials Credentials, EventSink Events,
                           ChunkSink Chunks)
    : m_WorkGuard(asio::make_work_guard(m_Io)),
      m_Credentials(std::move(Credentials)), m_Events(m_Io, std::move(Events)),
      m_Chunks(std::move(Chunks)),
      m_Inbox(m_Io, InboxCapacity, [this](TargetCommand &&Command) {
        execute(std::move(Command));
      }) {}

TargetThread::~TargetThread() { stop(); }

void TargetThread::start() {
  m_Thread = std::thread([this] { m_Io.run(); });
}

void TargetThread::stop() {
  m_Io.stop();
  if (m_Thread.joinable())
    m_Thread.join();
}

void TargetThread::execute(TargetCommand &&Command) {
  if (const auto *Open = std::get_if<OpenLink>(&Command)) {
    EventSink Sink = [this](Event &&Emitted) {
      m_Events.push(std::move(Emitted));
      return true;
    };
    auto Link = std::make_shared<TargetLink>(m_Io, Open->Link, Sink, m_Chunks);
    m_Links[Open->Link] = Link;
    Link->open(*Open, m_Credentials);
    return;
  }
  if (const auto *Close = std::get_if<CloseLink>(&Command)) {
    auto Found = m_Links.find(Close->Link);
    if (Found == m_Links.end())
      return;
    Found->second->close();
    m_Links.erase(Found);
    return;
  }
  if (const auto *Run = std::get_if<RunStatement>(&Command)) {
    auto Found = m_Links.find(Run->Link);
    if (Found != m_Links.end())
      Found->second->run(*Run);
    return;
  }
  const auto &Internal = std::get<RunInternal>(Command);
  auto Found = m_Links.find(Internal.Link);
  if (Found != m_Links.end())
    Found->second->run(Internal);
}

} // namespace bergamotstage::runtime
