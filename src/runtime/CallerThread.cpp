#include "runtime/CallerThread.h"

#include "runtime/Address.h"

#include <utility>

namespace bergamotstage::runtime {
namespace {

constexpr std::size_t InboxCapacity = 8192;
constexpr std::size_t ChunkCapacity = 4096;

} // namespace

CallerThread::CallerThread(EventSink Events)
    : m_Acceptor(m_Io), m_Events(std::move(Events)), m_Ended(m_Io, m_Events),
      m_Inbox(m_Io, InboxCapacity,
              [this](CallerCommand &&Command) { take(std::move(Command)); }),
      m_Chunks(m_Io, ChunkCapacity,
               [this](RowChunk &&Chunk) { takeRows(std::move(Chunk)); }) {}

CallerThread::~CallerThread() { stop(); }

tl::expected<void, std::string>
CallerThread::start(const std::string &Address) {
  auto Endpoint = parseEndpoint(Address);
  if (!Endpoint)
    return tl::make_unexpected("not an IP number and port: " + Address);
  std::error_code Fault;
  m_Acceptor.open(Endpoint->protocol(), Fault);
  m_Acceptor.set_option(asio::socket_base::reuse_address(true), Fault);
  m_Acceptor.bind(*Endpoint, Fault);
  if (!Fault)
    m_Acceptor.listen(asio::socket_base::max_listen_connections, Fault);
  if (Fault)
    return tl::make_unexpected("cannot listen on " + Address + ": " +
                               Fault.message());
  accept();
  m_Thread = std::thread([this] { m_Io.run(); });
  return {};
}

void CallerThread::stop() {
  m_Io.stop();
  if (m_Thread.joinable())
    m_Thread.join();
}

void CallerThread::accept() {
  m_Acceptor.async_accept(
      [this](std::error_code Fault, asio::ip::tcp::socket Socket) {
        if (Fault == asio::error::operation_aborted)
          return;
        if (!Fault)
          add(std::move(Socket));
        accept();
      });
}

void CallerThread::add(asio::ip::tcp::socket Socket) {
  std::error_code Ignored;
  Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
  CallerId Id(++m_LastCaller);
  SessionHooks Hooks;
  Hooks.Events = m_Events;
  Hooks.NewStatement = [this] { return StatementId(++m_LastStatement); };
  Hooks.Ended = [this](CallerId Caller) { ended(Caller); };
  auto Session =
      std::make_shared<CallerSession>(std::move(Socket), Id, std::move(Hooks));
  m_Sessions[Id] = Session;
  Session->start();
}

void CallerThread::ended(CallerId Caller) {
  m_Sessions.erase(Caller);
  m_Ended.push(CallerClosed{Caller});
}

void CallerThread::take(CallerCommand &&Command) {
  CallerId Caller =
      std::visit([](const auto &Known) { return Known.Caller; }, Command);
  auto Found = m_Sessions.find(Caller);
  if (Found == m_Sessions.end())
    return;
  std::shared_ptr<CallerSession> Session = Found->second;
  struct Visitor {
    CallerSession &To;
    void operator()(AskForKey &) { To.askForKey(); }
    void operator()(AdmitCaller &) { To.admit(); }
    void operator()(CloseCaller &C) { To.close(C.Reason); }
    void operator()(ReportParameter &C) { To.report(C); }
    void operator()(AnswerStatement &C) { To.answer(std::move(C)); }
  };
  std::visit(Visitor{*Session}, Command);
}

void CallerThread::takeRows(RowChunk &&Chunk) {
  auto Found = m_Sessions.find(Chunk.Caller);
  if (Found == m_Sessions.end())
    return;
  std::shared_ptr<CallerSession> Session = Found->second;
  Session->rows(std::move(Chunk));
}

} // namespace bergamotstage::runtime
