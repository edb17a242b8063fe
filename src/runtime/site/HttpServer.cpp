#include "runtime/site/HttpServer.h"

#include "runtime/site/ByteStream.h"
#include "runtime/site/Listener.h"

#include <http_parser.h>

#include <utility>

namespace bergamotstage::runtime {
namespace {

/// A prober keeps its connection between probes, which are a second apart.
constexpr Duration IdleLimit = seconds(10);
constexpr std::size_t MaxPath = 1024;

/// @brief One connection: parses requests and answers them in order.
class Exchange {
public:
  explicit Exchange(HttpServer::Handler Serve) : m_Serve(std::move(Serve)) {
    http_parser_init(&m_Parser, HTTP_REQUEST);
    m_Parser.data = this;
    http_parser_settings_init(&m_Callbacks);
    m_Callbacks.on_message_begin = [](http_parser *Parser) {
      of(Parser).m_Path.clear();
      return 0;
    };
    m_Callbacks.on_url = [](http_parser *Parser, const char *At,
                            std::size_t Length) {
      std::string &Path = of(Parser).m_Path;
      if (Path.size() + Length > MaxPath)
        return 1;
      Path.append(At, Length);
      return 0;
    };
    m_Callbacks.on_message_complete = [](http_parser *Parser) {
      of(Parser).answer();
      return 0;
    };
  }

  void setStream(const std::shared_ptr<ByteStream> &Stream) {
    m_Stream = Stream;
    Stream->setDeadline(IdleLimit, "idle");
  }

  void received(std::string_view Bytes) {
    std::size_t Parsed = http_parser_execute(&m_Parser, &m_Callbacks,
                                             Bytes.data(), Bytes.size());
    auto Stream = m_Stream.lock();
    if (!Stream)
      return;
    if (Parsed != Bytes.size())
      return Stream->close();
    Stream->setDeadline(IdleLimit, "idle");
  }

private:
  static Exchange &of(http_parser *Parser) {
    return *static_cast<Exchange *>(Parser->data);
  }

  void answer() {
    auto Stream = m_Stream.lock();
    if (!Stream)
      return;
    HttpAnswer Made;
    if (m_Parser.method == HTTP_GET)
      Made = m_Serve(m_Path);
    auto Status = static_cast<http_status>(Made.Status);
    Stream->send("HTTP/1.1 " + std::to_string(Made.Status) + " " +
                 http_status_str(Status) +
                 "\r\nContent-Type: text/plain\r\nContent-Length: " +
                 std::to_string(Made.Body.size()) + "\r\n\r\n" + Made.Body);
    if (http_should_keep_alive(&m_Parser) == 0)
      Stream->closeAfterOutput();
  }

  HttpServer::Handler m_Serve;
  std::weak_ptr<ByteStream> m_Stream;
  std::string m_Path;
  http_parser m_Parser{};
  http_parser_settings m_Callbacks{};
};

} // namespace

tl::expected<std::unique_ptr<HttpServer>, std::string>
HttpServer::listen(asio::io_context &Io, const std::string &Address,
                   Handler Serve) {
  auto Acceptor = openListener(Io, Address);
  if (!Acceptor)
    return tl::make_unexpected(Acceptor.error());
  auto Made =
      std::make_unique<HttpServer>(std::move(*Acceptor), std::move(Serve));
  Made->accept();
  return Made;
}

void HttpServer::accept() {
  m_Acceptor.async_accept(
      [this](std::error_code Failed, asio::ip::tcp::socket Socket) {
        if (Failed == asio::error::operation_aborted)
          return;
        bool Fits = !Failed && *m_Open < MaxConnections;
        if (Fits) {
          ++*m_Open;
          auto Exchanged = std::make_shared<Exchange>(m_Serve);
          ByteStream::Hooks Hooks;
          Hooks.Received = [Exchanged](std::string_view Bytes) {
            Exchanged->received(Bytes);
          };
          // The count goes down with the last copy of the hooks.
          std::shared_ptr<void> Counted(nullptr,
                                        [Open = m_Open](void *) { --*Open; });
          Hooks.Ended = [Counted](const std::string &) {};
          Exchanged->setStream(ByteStream::adopt(std::move(Socket), IdleLimit,
                                                 std::move(Hooks)));
        }
        accept();
      });
}

} // namespace bergamotstage::runtime
