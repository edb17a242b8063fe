#ifndef BERGAMOTSTAGE_RUNTIME_SITE_HTTPSERVER_H
#define BERGAMOTSTAGE_RUNTIME_SITE_HTTPSERVER_H

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <tl/expected.hpp>

#include <functional>
#include <memory>
#include <string>

namespace bergamotstage::runtime {

/// @brief What a request is answered with.
struct HttpAnswer {
  unsigned Status = 404;
  std::string Body;
};

/// @brief Serves GET requests by path, for probes and metrics.
///
/// Connections are bounded in number and in the time they may take; input that
/// is no HTTP ends the connection.
class HttpServer {
public:
  using Handler = std::function<HttpAnswer(const std::string &Path)>;

  /// @brief Listens on an address.
  static tl::expected<std::unique_ptr<HttpServer>, std::string>
  listen(asio::io_context &Io, const std::string &Address, Handler Serve);

  HttpServer(asio::ip::tcp::acceptor Acceptor, Handler Serve)
      : m_Acceptor(std::move(Acceptor)), m_Serve(std::move(Serve)) {}

private:
  static constexpr std::size_t MaxConnections = 64;

  void accept();

  asio::ip::tcp::acceptor m_Acceptor;
  Handler m_Serve;
  std::shared_ptr<std::size_t> m_Open = std::make_shared<std::size_t>(0);
};

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_SITE_HTTPSERVER_H
