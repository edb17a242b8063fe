#ifndef BERGAMOTSTAGE_RUNTIME_SITE_LISTENER_H
#define BERGAMOTSTAGE_RUNTIME_SITE_LISTENER_H

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <tl/expected.hpp>

#include <functional>
#include <memory>
#include <string>

namespace bergamotstage::runtime {

/// @brief Accepts the connections of one address.
///
/// After an error it pauses before it accepts again: a process without free
/// descriptors would otherwise spin until another connection ends.
class Listener {
public:
  struct Hooks {
    std::function<void(asio::ip::tcp::socket)> Accepted;
    /// Called at the first error, and again only after an accepted connection.
    std::function<void(const std::string &Reason)> Failed;
  };

  /// @brief Listens on an IP address and port.
  /// @return the listener, or the error of the operating system
  static tl::expected<std::unique_ptr<Listener>, std::string>
  open(asio::io_context &Io, const std::string &Address, Hooks Callbacks);

  Listener(asio::ip::tcp::acceptor Acceptor, Hooks Callbacks);

  /// @brief Closes the socket; connections that it accepted stay open.
  void stop();

private:
  void accept();
  void onFailed(std::error_code Error);

  asio::ip::tcp::acceptor m_Acceptor;
  asio::steady_timer m_RetryTimer;
  Hooks m_Hooks;
  bool m_Failing = false; ///< Since the last accepted connection.
};

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_SITE_LISTENER_H
