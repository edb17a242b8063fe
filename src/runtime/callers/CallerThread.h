#ifndef BERGAMOTSTAGE_RUNTIME_CALLERS_CALLERTHREAD_H
#define BERGAMOTSTAGE_RUNTIME_CALLERS_CALLERTHREAD_H

#include "runtime/Inbox.h"
#include "runtime/Outbox.h"
#include "runtime/callers/CallerSession.h"

#include <tl/expected.hpp>

#include <array>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <unordered_map>

namespace bergamotstage::runtime {

/// @brief The thread that owns the listener and the callers' connections.
class CallerThread {
public:
  /// @param Tls server context; null without TLS
  CallerThread(EventSink Events, CallerLimits Limits,
               std::shared_ptr<asio::ssl::context> Tls, TlsMode Mode);
  ~CallerThread();
  CallerThread(const CallerThread &) = delete;
  CallerThread &operator=(const CallerThread &) = delete;

  /// @brief Listens and starts the thread.
  /// @return nothing, or why it cannot listen on the address
  tl::expected<void, std::string> start(const std::string &Address);

  /// @brief Stops accepting, writes pending output for a limited time, and
  /// ends the thread.
  void stop();

  /// @brief The port of the listener; valid after start().
  std::uint16_t port() const { return m_Acceptor.local_endpoint().port(); }

  bool push(CallerCommand &&Command) {
    return m_Inbox.push(std::move(Command));
  }
  /// @brief Queues rows of this VM's targets; from the target thread only.
  bool pushRows(RowChunk &&Chunk) { return m_Chunks.push(std::move(Chunk)); }
  /// @brief Queues rows received from a home VM; from any thread.
  bool pushForwardedRows(RowChunk &&Chunk) {
    return m_ForwardedChunks.push(std::move(Chunk));
  }

private:
  void accept();
  void scheduleAccept(std::error_code Reason);
  void rejectConnection(asio::ip::tcp::socket Socket);
  void cancel(const wire::CancelRequest &Request);
  void checkSessions();
  void flushSessions(Instant Deadline);
  void add(asio::ip::tcp::socket Socket);
  void execute(CallerCommand &&Command);
  void deliverRows(RowChunk &&Chunk);
  void onSessionEnded(CallerId Caller);

  asio::io_context m_Io;
  asio::ip::tcp::acceptor m_Acceptor;
  asio::steady_timer m_AcceptTimer;
  asio::steady_timer m_SessionTimer;
  EventSink m_Events;
  CallerLimits m_Limits;
  std::shared_ptr<asio::ssl::context> m_Tls;
  TlsMode m_Mode;
  std::array<char, 16384> m_Input{}; ///< Shared by all sessions.
  std::random_device m_Random;       ///< Creates cancellation secrets.
  Outbox m_ClosedEvents;
  Inbox<CallerCommand> m_Inbox;
  Inbox<RowChunk> m_Chunks;
  Inbox<RowChunk, MpscQueue> m_ForwardedChunks;
  std::unordered_map<CallerId, std::shared_ptr<CallerSession>> m_Sessions;
  bool m_AcceptFails = false; ///< Since the last accepted connection.
  std::uint64_t m_LastCaller = 0;
  std::uint64_t m_LastStatement = 0;
  std::thread m_Thread;
};

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_CALLERS_CALLERTHREAD_H
