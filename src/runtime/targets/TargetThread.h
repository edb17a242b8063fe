#ifndef BERGAMOTSTAGE_RUNTIME_TARGETS_TARGETTHREAD_H
#define BERGAMOTSTAGE_RUNTIME_TARGETS_TARGETTHREAD_H

#include "runtime/Inbox.h"
#include "runtime/Outbox.h"
#include "runtime/targets/TargetLink.h"

#include <thread>
#include <unordered_map>

namespace bergamotstage::runtime {

/// @brief The thread that owns all links to targets.
class TargetThread {
public:
  TargetThread(TargetCredentials Credentials, EventSink Events,
               ChunkSink Chunks);
  ~TargetThread();
  TargetThread(const TargetThread &) = delete;
  TargetThread &operator=(const TargetThread &) = delete;

  void start();
  void stop();

  /// @brief Queues a command; false if the queue is full.
  bool push(TargetCommand &&Command) {
    return m_Inbox.push(std::move(Command));
  }

private:
  void execute(TargetCommand &&Command);

  asio::io_context m_Io;
  asio::executor_work_guard<asio::io_context::executor_type> m_WorkGuard;
  TargetCredentials m_Credentials;
  Outbox m_Events;
  ChunkSink m_Chunks;
  std::unordered_map<LinkId, std::shared_ptr<TargetLink>> m_Links;
  Inbox<TargetCommand> m_Inbox;
  std::thread m_Thread;
};

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_TARGETS_TARGETTHREAD_H
