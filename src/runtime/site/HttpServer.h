#ifndef BERGAMOTSTAGE_RUNTIME_SITE_HTTPSERVER_H
#define BERGAMOTSTAGE_RUNTIME_SITE_HTTPSERVER_H

#include "runtime/site/Listener.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <tl/expected.hpp>

#include <functional>
#include <memory>
#include <string>

namespace bergamotstage::runtime {

/// @brief Status and body of an HTTP response.
struct HttpResponse {
  unsigned Status = 404;
  std::string Body;
};

/// @brief Serves GET requests for health probes and metrics.
///
/// The number of connections and their idle time are bounded. Input that is not
/// HTTP closes the connection.
class HttpServer {
public:
  using Handler = std::function<HttpResponse(const std::string &Path)>;

  /// @brief Listens on an IP address and port.
  /// @param OnFailed called when connections cannot be accepted
  /// @return the server, or why it cannot listen
  static tl::expected<std::unique_ptr<HttpServer>, std::string>
  listen(asio::io_context &Io, const std::string &Address, Handler OnRequest,
         std::function<void(const std::string &Reason)> OnFailed);

  explicit HttpServer(Handler OnRequest) : m_Handler(std::move(OnRequest)) {}

private:
  static constexpr std::size_t MaxConnections = 64;

  void onAccepted(asio::ip::tcp::socket Socket);

  Handler m_Handler;
  std::unique_ptr<Listener> m_Listener;
  std::shared_ptr<std::size_t> m_OpenConnections =
      std::make_shared<std::size_t>(0);
};

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_SITE_HTTPSERVER_H
