#ifndef BERGAMOTSTAGE_RUNTIME_SITE_HTTPCLIENT_H
#define BERGAMOTSTAGE_RUNTIME_SITE_HTTPCLIENT_H

#include "platform/StoreCodec.h"
#include "runtime/site/ByteStream.h"

#include <http_parser.h>

#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace bergamotstage::runtime {

/// @brief An HTTP/1.1 client that runs one call at a time on one connection.
///
/// The connection is closed after a failed call, so that a late response cannot
/// be matched to another call.
class HttpClient {
public:
  /// @brief Receives status and body; status 0 means that the call failed for
  /// the reason in the body.
  using Callback = std::function<void(unsigned Status, std::string Body)>;

  HttpClient(asio::io_context &Io, std::string Address);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// @brief Queues a call.
  /// @param Timeout time in which the response must begin and in which each
  /// further part of it must arrive; ten times as much for the whole response
  void call(const platform::HttpCall &Request, Duration Timeout,
            Callback OnComplete);

  bool busy() const { return m_Busy; }

private:
  struct PendingCall {
    std::string Bytes;
    Duration Timeout;
    Callback OnComplete;
  };

  void sendNext();
  void connect();
  void onReceived(std::string_view Bytes);
  void finish(unsigned Status);
  void fail(const std::string &Reason);
  void prepareParser();
  /// @brief Restarts the timeout of the current call.
  void armTimeout();

  asio::io_context &m_Io;
  std::string m_Address;
  std::shared_ptr<ByteStream> m_Stream;
  asio::steady_timer m_ConnectTimer;
  asio::steady_timer m_TimeoutTimer;
  std::deque<PendingCall> m_Queue;
  bool m_Connected = false; ///< The stream is established.
  bool m_Busy = false;
  std::uint64_t m_TimeoutNumber = 0;
  std::chrono::steady_clock::time_point m_Deadline; ///< Of the current call.
  std::string m_Body;
  bool m_Complete = false;
  http_parser m_Parser{};
  http_parser_settings m_Callbacks{};
};

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_SITE_HTTPCLIENT_H
