#include "runtime/site/HttpClient.h"

#include <asio/post.hpp>

#include <utility>

namespace bergamotstage::runtime {
namespace {

/// Answers are rows of at most a megabyte, in base64 inside JSON.
constexpr std::size_t MaxBody = std::size_t{16} * 1024 * 1024;
constexpr Duration SilenceLimit = seconds(3);

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
    : m_Io(Io), m_Address(std::move(Address)), m_Limit(Io) {
  http_parser_settings_init(&m_Callbacks);
  m_Callbacks.on_body = [](http_parser *Parser, const char *At,
                           std::size_t Length) {
    auto &Self = *static_cast<HttpClient *>(Parser->data);
    if (Self.m_Body.size() + Length > MaxBody)
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

void HttpClient::call(const platform::HttpCall &Request, Duration Limit,
                      Callback Done) {
  m_Queue.push_back({render(Request, m_Address), Limit, std::move(Done)});
  next();
}

void HttpClient::next() {
  if (m_Busy || m_Queue.empty())
    return;
  m_Busy = true;
  prepareParser();
  if (!m_Stream) {
    ByteStream::Hooks Hooks;
    Hooks.Received = [this](std::string_view Bytes) { received(Bytes); };
    Hooks.Ended = [this](const std::string &Reason) { fail(Reason); };
    m_Stream =
        ByteStream::connect(m_Io, m_Address, SilenceLimit, std::move(Hooks));
  }
  m_Stream->send(m_Queue.front().Bytes);
  m_Limit.expires_after(m_Queue.front().Limit);
  // A wait that has ended cannot be cancelled any more: the number tells
  // whether it was meant for the call at hand.
  m_Limit.async_wait([this, Number = ++m_CallNumber](std::error_code Ended) {
    if (!Ended && Number == m_CallNumber && m_Busy)
      fail("no answer in time");
  });
}

void HttpClient::received(std::string_view Bytes) {
  if (!m_Busy)
    return fail("an answer to no call");
  std::size_t Parsed =
      http_parser_execute(&m_Parser, &m_Callbacks, Bytes.data(), Bytes.size());
  if (m_Complete)
    return finish(m_Parser.status_code);
  if (Parsed != Bytes.size())
    fail(http_errno_description(HTTP_PARSER_ERRNO(&m_Parser)));
}

void HttpClient::finish(unsigned Status) {
  m_Limit.cancel();
  Pending Done = std::move(m_Queue.front());
  m_Queue.pop_front();
  m_Busy = false;
  if (http_should_keep_alive(&m_Parser) == 0 && m_Stream) {
    m_Stream->close();
    m_Stream.reset();
  }
  std::string Body = std::move(m_Body);
  next();
  Done.Done(Status, std::move(Body));
}

void HttpClient::fail(const std::string & /*Reason*/) {
  if (m_Stream)
    m_Stream->close();
  m_Stream.reset();
  m_Limit.cancel();
  if (!m_Busy)
    return;
  Pending Lost = std::move(m_Queue.front());
  m_Queue.pop_front();
  m_Busy = false;
  next();
  Lost.Done(0, {});
}

} // namespace bergamotstage::runtime
