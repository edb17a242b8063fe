#ifndef BERGAMOTSTAGE_RUNTIME_SITE_HTTPCLIENT_H
#define BERGAMOTSTAGE_RUNTIME_SITE_HTTPCLIENT_H

#include "platform/StoreCodec.h"
#include "runtime/site/ByteStream.h"

#include <http_parser.h>

#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace bergamotstage::runtime {

/// @brief One connection to an HTTP/1.1 server, one call at a time.
///
/// A connection on which a call got no answer is closed, so that no answer can
/// be taken for that of another call.
class HttpClient {
public:
  /// @brief Gets status and body; status 0 if no answer came.
  using Callback = std::function<void(unsigned Status, std::string Body)>;

  HttpClient(asio::io_context &Io, std::string Address);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// @brief Queues a call. The limit runs from when it is sent.
  void call(const platform::HttpCall &Request, Duration Limit, Callback Done);

  bool busy() const { return m_Busy; }

private:
  struct Pending {
    std::string Bytes;
    Duration Limit;
    Callback Done;
  };

  void next();
  void received(std::string_view Bytes);
  void finish(unsigned Status);
  void fail(const std::string &Reason);
  void prepareParser();

  asio::io_context &m_Io;
  std::string m_Address;
  std::shared_ptr<ByteStream> m_Stream;
  asio::steady_timer m_Limit;
  std::deque<Pending> m_Queue;
  bool m_Busy = false;
  std::uint64_t m_CallNumber = 0;
  std::string m_Body;
  bool m_Complete = false;
  http_parser m_Parser{};
  http_parser_settings m_Callbacks{};
};

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_SITE_HTTPCLIENT_H
