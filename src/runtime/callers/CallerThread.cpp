#include "runtime/callers/CallerThread.h"

#include "runtime/Address.h"
#include "runtime/WakeEvent.h"

#include <utility>
#include <vector>

namespace bergamotstage::runtime {
namespace {

constexpr std::size_t InboxCapacity = 8192;
constexpr std::size_t ChunkCapacity = 4096;
constexpr auto AcceptRetryInterval = std::chrono::milliseconds(100);
constexpr auto SessionCheckInterval = std::chrono::milliseconds(500);
constexpr auto FlushCheckInterval = std::chrono::milliseconds(5);
constexpr Duration FlushTimeout = seconds(2);

} // namespace

CallerThread::CallerThread(EventSink Events, CallerLimits Limits,
                           std::shared_ptr<asio::ssl::context> Tls,
                           TlsMode Mode)
    : m_Acceptor(m_Io), m_AcceptTimer(m_Io), m_SessionTimer(m_Io),
      m_Events(std::move(Events)), m_Limits(Limits), m_Tls(std::move(Tls)),
      m_Mode(Mode), m_ClosedEvents(m_Io, m_Events),
      m_Inbox(m_Io, InboxCapacity,
              [this](CallerCommand &&Command) { execute(std::move(Command)); }),
      m_Chunks(m_Io, ChunkCapacity,
               [this](RowChunk &&Chunk) { deliverRows(std::move(Chunk)); }),
      m_ForwardedChunks(m_Io, ChunkCapacity, [this](RowChunk &&Chunk) {
        deliverRows(std::move(Chunk));
      }) {}

CallerThread::~CallerThread() { stop(); }

tl::expected<void, std::string>
CallerThread::start(const std::string &Address) {
  auto Endpoint = parseEndpoint(Address);
  if (!Endpoint)
    return tl::make_unexpected("not an IP address and port: " + Address);
  std::error_code Error;
  m_Acceptor.open(Endpoint->protocol(), Error);
  m_Acceptor.set_option(asio::socket_base::reuse_address(true), Error);
  m_Acceptor.bind(*Endpoint, Error);
  if (!Error)
    m_Acceptor.listen(asio::socket_base::max_listen_connections, Error);
  if (Error)
    return tl::make_unexpected("cannot listen on " + Address + ": " +
                               Error.message());
  accept();
  checkSessions();
  m_Thread = std::thread([this] { m_Io.run(); });
  return {};
}

void CallerThread::stop() {
  if (!m_Thread.joinable())
    return;
  asio::post(m_Io, [this] {
    std::error_code Ignored;
    m_Acceptor.close(Ignored);
    m_AcceptTimer.cancel();
    flushSessions(steadyNow() + FlushTimeout);
  });
  m_Thread.join();
}

void CallerThread::flushSessions(Instant Deadline) {
  m_Inbox.drainAll();
  bool Writing = false;
  for (const auto &[Id, Session] : m_Sessions)
    Writing = Writing || Session->hasPendingOutput();
  if (!Writing || steadyNow() >= Deadline)
    return m_Io.stop();
  m_SessionTimer.expires_after(FlushCheckInterval);
  m_SessionTimer.async_wait([this, Deadline](std::error_code Error) {
    if (!Error)
      flushSessions(Deadline);
  });
}

void CallerThread::checkSessions() {
  Instant Now = steadyNow();
  // A session that ends erases itself from the map.
  std::vector<std::shared_ptr<CallerSession>> Sessions;
  Sessions.reserve(m_Sessions.size());
  for (const auto &[Id, Session] : m_Sessions)
    Sessions.push_back(Session);
  for (const auto &Session : Sessions)
    Session->checkLimits(Now);
  m_SessionTimer.expires_after(SessionCheckInterval);
  m_SessionTimer.async_wait([this](std::error_code Error) {
    if (!Error)
      checkSessions();
  });
}

void CallerThread::accept() {
  m_Acceptor.async_accept(
      [this](std::error_code Error, asio::ip::tcp::socket Socket) {
        if (!m_Acceptor.is_open())
          return;
        if (Error)
          return scheduleAccept(Error);
        m_AcceptFails = false;
        if (m_Sessions.size() < m_Limits.MaxConnections)
          add(std::move(Socket));
        else
          rejectConnection(std::move(Socket));
        accept();
      });
}

void CallerThread::scheduleAccept(std::error_code Reason) {
  if (!m_AcceptFails)
    m_AcceptFails = m_Events(AcceptFailed{Reason.message()});
  // Errors such as running out of descriptors persist, so retrying at once
  // would spin.
  m_AcceptTimer.expires_after(AcceptRetryInterval);
  m_AcceptTimer.async_wait([this](std::error_code Error) {
    if (!Error)
      accept();
  });
}

void CallerThread::rejectConnection(asio::ip::tcp::socket Socket) {
  std::string Bytes;
  wire::ErrorFields Fields;
  Fields.Severity = "FATAL";
  Fields.SqlState = sqlstate::TooManyConnections;
  Fields.Message = "too many connections";
  Fields.Hint = runStateName(RunState::NotRun);
  wire::BackendWriter(Bytes).error(Fields);
  std::error_code Ignored;
  Socket.non_blocking(true, Ignored);
  Socket.write_some(asio::buffer(Bytes), Ignored);
  Socket.shutdown(asio::ip::tcp::socket::shutdown_send, Ignored);
}

void CallerThread::add(asio::ip::tcp::socket Socket) {
  CallerId Id(++m_LastCaller);
  SessionHooks Hooks;
  Hooks.Events = m_Events;
  Hooks.NextStatementId = [this] { return StatementId(++m_LastStatement); };
  Hooks.OnEnded = [this](CallerId Caller) { onSessionEnded(Caller); };
  Hooks.OnCancel = [this](const wire::CancelRequest &R) { cancel(R); };
  Hooks.Input = asio::buffer(m_Input);
  Hooks.Tls = m_Tls.get();
  Hooks.Mode = m_Mode;
  Hooks.Limits = m_Limits;
  auto Session = std::make_shared<CallerSession>(
      std::move(Socket), Id, m_Random(), steadyNow(), std::move(Hooks));
  m_Sessions[Id] = Session;
  Session->start();
}

void CallerThread::cancel(const wire::CancelRequest &Request) {
  auto Found = m_Sessions.find(CallerId(Request.ProcessId));
  if (Found != m_Sessions.end())
    Found->second->cancel(Request.Secret);
}

void CallerThread::onSessionEnded(CallerId Caller) {
  m_Sessions.erase(Caller);
  m_ClosedEvents.push(CallerClosed{Caller});
}

void CallerThread::execute(CallerCommand &&Command) {
  CallerId Caller = std::visit(
      [](const auto &Alternative) { return Alternative.Caller; }, Command);
  auto Found = m_Sessions.find(Caller);
  if (Found == m_Sessions.end())
    return;
  std::shared_ptr<CallerSession> Session = Found->second;
  struct Visitor {
    CallerSession &To;
    void operator()(RequestKey &) { To.requestKey(); }
    void operator()(AdmitCaller &) { To.admit(); }
    void operator()(CloseCaller &C) { To.close(C.Reason); }
    void operator()(ReportParameter &C) { To.reportParameter(C); }
    void operator()(AnswerStatement &C) { To.answer(std::move(C)); }
  };
  std::visit(Visitor{*Session}, Command);
}

void CallerThread::deliverRows(RowChunk &&Chunk) {
  auto Found = m_Sessions.find(Chunk.Caller);
  if (Found == m_Sessions.end()) {
    if (Chunk.OnDelivered)
      (*Chunk.OnDelivered)(Chunk.Bytes.size());
    return;
  }
  std::shared_ptr<CallerSession> Session = Found->second;
  Session->appendRows(std::move(Chunk));
}

} // namespace bergamotstage::runtime
