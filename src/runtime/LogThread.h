#ifndef BERGAMOTSTAGE_RUNTIME_LOGTHREAD_H
#define BERGAMOTSTAGE_RUNTIME_LOGTHREAD_H

#include "bergamotstage/node/Action.h"
#include "runtime/BoundedQueue.h"
#include "runtime/WakeEvent.h"

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>

namespace bergamotstage::runtime {

/// @brief Formats an event as key=value pairs. Values with blanks, quotes or
/// control characters are quoted and escaped.
std::string formatLogLine(const WriteLog &Entry);

/// @brief The thread that writes the log through log4cxx.
///
/// Lines are dropped while the queue is full; their count is logged.
class LogThread {
public:
  /// @param Level one of debug, info, warning, error
  explicit LogThread(const std::string &Level);
  ~LogThread();
  LogThread(const LogThread &) = delete;
  LogThread &operator=(const LogThread &) = delete;

  void start();
  void stop();
  void push(WriteLog &&Entry);

private:
  void run();
  void drain();

  SpscQueue<WriteLog> m_Queue;
  WakeEvent m_WakeEvent;
  std::atomic<std::uint64_t> m_Dropped{0};
  std::atomic<bool> m_Stopped{false};
  std::thread m_Thread;
};

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_LOGTHREAD_H
