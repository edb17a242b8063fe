#ifndef BERGAMOTSTAGE_RUNTIME_CALLERTHREAD_H
#define BERGAMOTSTAGE_RUNTIME_CALLERTHREAD_H

#include "runtime/CallerSession.h"
#include "runtime/Inbox.h"
#include "runtime/Outbox.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <string>
#include <thread>
#include <unordered_map>

namespace bergamotstage::runtime {

/// @brief The thread that owns the listener and all callers' connections.
class CallerThread {
public:
  explicit CallerThread(EventSink Events);
  ~CallerThread();
  CallerThread(const CallerThread &) = delete;
  CallerThread &operator=(const CallerThread &) = delete;

  /// @brief Listens and starts the thread.
  /// @return the reason if the address cannot be listened on
  tl::expected<void, std::string> start(const std::string &Address);
  void stop();

  bool push(CallerCommand &&Command) {
    return m_Inbox.push(std::move(Command));
  }
  bool pushRows(RowChunk &&Chunk) { return m_Chunks.push(std::move(Chunk)); }

private:
  void accept();
  void add(asio::ip::tcp::socket Socket);
  void take(CallerCommand &&Command);
  void takeRows(RowChunk &&Chunk);
  void ended(CallerId Caller);

  asio::io_context m_Io;
  asio::ip::tcp::acceptor m_Acceptor;
  EventSink m_Events;
  Outbox m_Ended;
  Inbox<CallerCommand> m_Inbox;
  Inbox<RowChunk> m_Chunks;
  std::unordered_map<CallerId, std::shared_ptr<CallerSession>> m_Sessions;
  std::uint64_t m_LastCaller = 0;
  std::uint64_t m_LastStatement = 0;
  std::thread m_Thread;
};

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_CALLERTHREAD_H
