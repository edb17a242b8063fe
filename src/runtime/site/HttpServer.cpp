#include "runtime/site/HttpServer.h"

#include "runtime/site/ByteStream.h"
#include "runtime/site/Listener.h"

#include <http_parser.h>

#include <utility>

namespace bergamotstage::runtime {
namespace {

/// Health probes arrive every second and reuse their connection.
constexpr Duration IdleTimeout = seconds(10);
constexpr std::size_t MaxPathBytes = 1024;

/// @brief A connection whose requests are answered in order.
class HttpConnection {
public:
  explicit HttpConnection(HttpServer::Handler OnRequest)
      : m_Handler(std::move(OnRequest)) {
    http_parser_init(&m_Parser, HTTP_REQUEST);
    m_Parser.data = this;
    http_parser_settings_init(&m_Callbacks);
    m_Callbacks.on_message_begin = [](http_parser *Parser) {
      connectionOf(Parser).m_Path.clear();
      return 0;
    };
    m_Callbacks.on_url = [](http_parser *Parser, const char *At,
                            std::size_t Length) {
      std::string &Path = connectionOf(Parser).m_Path;
      if (Path.size() + Length > MaxPathBytes)
        return 1;
      Path.append(At, Length);
      return 0;
    };
    m_Callbacks.on_message_complete = [](http_parser *Parser) {
      connectionOf(Parser).respond();
      return 0;
    };
  }

  void setStream(const std::shared_ptr<ByteStream> &Stream) {
    m_Stream = Stream;
    Stream->setDeadline(IdleTimeout, "idle");
  }

  void onReceived(std::string_view Bytes) {
    std::size_t Parsed = http_parser_execute(&m_Parser, &m_Callbacks,
                                             Bytes.data(), Bytes.size());
    auto Stream = m_Stream.lock();
    if (!Stream)
      return;
    if (Parsed != Bytes.size())
      return Stream->close();
    Stream->setDeadline(IdleTimeout, "idle");
  }

private:
  static HttpConnection &connectionOf(http_parser *Parser) {
    return *static_cast<HttpConnection *>(Parser->data);
  }

  void respond() {
    auto Stream = m_Stream.lock();
    if (!Stream)
      return;
    HttpResponse Response;
    if (m_Parser.method == HTTP_GET)
      Response = m_Handler(m_Path);
    auto Status = static_cast<http_status>(Response.Status);
    Stream->send("HTTP/1.1 " + std::to_string(Response.Status) + " " +
                 http_status_str(Status) +
                 "\r\nContent-Type: text/plain\r\nContent-Length: " +
                 std::to_string(Response.Body.size()) + "\r\n\r\n" +
                 Response.Body);
    if (http_should_keep_alive(&m_Parser) == 0)
      Stream->closeAfterOutput();
  }

  HttpServer::Handler m_Handler;
  std::weak_ptr<ByteStream> m_Stream;
  std::string m_Path;
  http_parser m_Parser{};
  http_parser_settings m_Callbacks{};
};

} // namespace

tl::expected<std::unique_ptr<HttpServer>, std::string>
HttpServer::listen(asio::io_context &Io, const std::string &Address,
                   Handler OnRequest,
                   std::function<void(const std::string &)> OnFailed) {
  auto Server = std::make_unique<HttpServer>(std::move(OnRequest));
  HttpServer *Self = Server.get();
  Listener::Hooks Hooks;
  Hooks.Accepted = [Self](asio::ip::tcp::socket Socket) {
    Self->onAccepted(std::move(Socket));
  };
  Hooks.Failed = std::move(OnFailed);
  auto Opened = Listener::open(Io, Address, std::move(Hooks));
  if (!Opened)
    return tl::make_unexpected(Opened.error());
  Server->m_Listener = std::move(*Opened);
  return Server;
}

void HttpServer::onAccepted(asio::ip::tcp::socket Socket) {
  if (*m_OpenConnections >= MaxConnections)
    return;
  ++*m_OpenConnections;
  auto Connection = std::make_shared<HttpConnection>(m_Handler);
  ByteStream::Hooks Hooks;
  Hooks.Received = [Connection](std::string_view Bytes) {
    Connection->onReceived(Bytes);
  };
  // Destroying the last copy of the hooks decrements the count.
  std::shared_ptr<void> ConnectionCount(
      nullptr,
      [OpenConnections = m_OpenConnections](void *) { --*OpenConnections; });
  Hooks.Ended = [ConnectionCount](const std::string &) {};
  Connection->setStream(
      ByteStream::adopt(std::move(Socket), IdleTimeout, std::move(Hooks)));
}

} // namespace bergamotstage::runtime
