#include "runtime/site/HttpClient.h"

#include <asio/post.hpp>

#include <algorithm>
#include <utility>

namespace bergamotstage::runtime {
namespace {

/// A response contains rows of at most 1 MB each, base64-encoded in JSON.
constexpr std::size_t MaxBodyBytes = std::size_t{16} * 1024 * 1024;
constexpr Duration SilenceTimeout = seconds(3);
/// A response that keeps arriving is given up after this many timeouts.
constexpr int TimeoutsPerResponse = 10;
/// A lost opening packet is repeated by the system after a second only.
constexpr Duration ConnectTimeout = milliseconds(250);

std::string render(const platform::HttpCall &Request, const std::string &Host) {
  std::string Out = Request.Method + " " + Request.Path +
                    " HTTP/1.1\r\nHost: " + Host + "\r\n";
  for (const auto &[Name, Value] : Request.Headers)
    Out.append(Name).append(": ").append(Value).append("\r\n");
  if (Request.Method != "GET")
    Out += "Content-Type: application/json\r\nContent-Length: " +
           std::to_string(Request.Body.size()) + "\r\n";
  return Out + "\r\n" + Request.Body;
}

} // namespace

HttpClient::HttpClient(asio::io_context &Io, std::string Address)
    : m_Io(Io), m_Address(std::move(Address)), m_ConnectTimer(Io),
      m_TimeoutTimer(Io) {
  http_parser_settings_init(&m_Callbacks);
  m_Callbacks.on_body = [](http_parser *Parser, const char *At,
                           std::size_t Length) {
    auto &Self = *static_cast<HttpClient *>(Parser->data);
    if (Self.m_Body.size() + Length > MaxBodyBytes)
      return 1;
    Self.m_Body.append(At, Length);
    return 0;
  };
  m_Callbacks.on_message_complete = [](http_parser *Parser) {
    static_cast<HttpClient *>(Parser->data)->m_Complete = true;
    return 0;
  };
}

HttpClient::~HttpClient() {
  if (m_Stream)
    m_Stream->close();
}

void HttpClient::prepareParser() {
  http_parser_init(&m_Parser, HTTP_RESPONSE);
  m_Parser.data = this;
  m_Body.clear();
  m_Complete = false;
}

void HttpClient::call(const platform::HttpCall &Request, Duration Timeout,
                      Callback OnComplete) {
  m_Queue.push_back(
      {render(Request, m_Address), Timeout, std::move(OnComplete)});
  sendNext();
}

void HttpClient::sendNext() {
  if (m_Busy || m_Queue.empty())
    return;
  m_Busy = true;
  prepareParser();
  if (!m_Stream)
    connect();
  m_Stream->send(m_Queue.front().Bytes);
  m_Deadline = std::chrono::steady_clock::now() +
               m_Queue.front().Timeout * TimeoutsPerResponse;
  armTimeout();
}

void HttpClient::armTimeout() {
  m_TimeoutTimer.expires_at(std::min(
      m_Deadline, std::chrono::steady_clock::now() + m_Queue.front().Timeout));
  // A timer that has already expired cannot be cancelled. The number shows
  // whether it has been replaced.
  m_TimeoutTimer.async_wait(
      [this, Number = ++m_TimeoutNumber](std::error_code Error) {
        if (!Error && Number == m_TimeoutNumber && m_Busy)
          fail("the response timed out");
      });
}

void HttpClient::connect() {
  m_Connected = false;
  ByteStream::Hooks Hooks;
  Hooks.Connected = [this] {
    m_Connected = true;
    m_ConnectTimer.cancel();
  };
  Hooks.Received = [this](std::string_view Bytes) { onReceived(Bytes); };
  Hooks.Ended = [this](const std::string &Reason) { fail(Reason); };
  m_Stream =
      ByteStream::connect(m_Io, m_Address, SilenceTimeout, std::move(Hooks));
  m_ConnectTimer.expires_after(ConnectTimeout);
  m_ConnectTimer.async_wait([this](std::error_code Cancelled) {
    if (Cancelled || m_Connected || !m_Stream || !m_Busy)
      return;
    // Nothing has been sent, so the request can be repeated.
    m_Stream->close();
    connect();
    m_Stream->send(m_Queue.front().Bytes);
  });
}

void HttpClient::onReceived(std::string_view Bytes) {
  if (!m_Busy)
    return fail("response without a request");
  std::size_t Parsed =
      http_parser_execute(&m_Parser, &m_Callbacks, Bytes.data(), Bytes.size());
  if (m_Complete)
    return finish(m_Parser.status_code);
  if (Parsed != Bytes.size())
    return fail(http_errno_description(HTTP_PARSER_ERRNO(&m_Parser)));
  armTimeout();
}

void HttpClient::finish(unsigned Status) {
  m_TimeoutTimer.cancel();
  PendingCall CompletedCall = std::move(m_Queue.front());
  m_Queue.pop_front();
  m_Busy = false;
  if (http_should_keep_alive(&m_Parser) == 0 && m_Stream) {
    m_Stream->close();
    m_Stream.reset();
  }
  std::string Body = std::move(m_Body);
  sendNext();
  CompletedCall.OnComplete(Status, std::move(Body));
}

void HttpClient::fail(const std::string &Reason) {
  if (m_Stream)
    m_Stream->close();
  m_Stream.reset();
  m_ConnectTimer.cancel();
  m_TimeoutTimer.cancel();
  if (!m_Busy)
    return;
  PendingCall FailedCall = std::move(m_Queue.front());
  m_Queue.pop_front();
  m_Busy = false;
  sendNext();
  FailedCall.OnComplete(0, Reason);
}

} // namespace bergamotstage::runtime
