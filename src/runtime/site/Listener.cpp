#include "runtime/site/Listener.h"

#include "runtime/Address.h"

#include <chrono>
#include <utility>

namespace bergamotstage::runtime {

namespace {

/// Descriptors become free within seconds, as callers end their sessions.
constexpr auto RetryInterval = std::chrono::milliseconds(100);

/// @brief Opens a listening socket.
/// @return the socket, or the error of the operating system
tl::expected<asio::ip::tcp::acceptor, std::string>
openAcceptor(asio::io_context &Io, const std::string &Address) {
  auto Endpoint = parseEndpoint(Address);
  if (!Endpoint)
    return tl::make_unexpected(Address + " is not an IP address and port");
  asio::ip::tcp::acceptor Acceptor(Io);
  std::error_code Error;
  Acceptor.open(Endpoint->protocol(), Error);
  if (!Error)
    Acceptor.set_option(asio::socket_base::reuse_address(true), Error);
  if (!Error)
    Acceptor.bind(*Endpoint, Error);
  if (!Error)
    Acceptor.listen(asio::socket_base::max_listen_connections, Error);
  if (Error)
    return tl::make_unexpected("cannot listen on " + Address + ": " +
                               Error.message());
  return Acceptor;
}

} // namespace

tl::expected<std::unique_ptr<Listener>, std::string>
Listener::open(asio::io_context &Io, const std::string &Address,
               Hooks Callbacks) {
  auto Acceptor = openAcceptor(Io, Address);
  if (!Acceptor)
    return tl::make_unexpected(Acceptor.error());
  auto Opened =
      std::make_unique<Listener>(std::move(*Acceptor), std::move(Callbacks));
  Opened->accept();
  return Opened;
}

Listener::Listener(asio::ip::tcp::acceptor Acceptor, Hooks Callbacks)
    : m_Acceptor(std::move(Acceptor)), m_RetryTimer(m_Acceptor.get_executor()),
      m_Hooks(std::move(Callbacks)) {}

void Listener::stop() {
  std::error_code Ignored; // The descriptor is released in any case.
  m_Acceptor.close(Ignored);
  m_RetryTimer.cancel();
}

void Listener::accept() {
  m_Acceptor.async_accept(
      [this](std::error_code Error, asio::ip::tcp::socket Socket) {
        if (Error == asio::error::operation_aborted || !m_Acceptor.is_open())
          return;
        if (Error)
          return onFailed(Error);
        m_Failing = false;
        m_Hooks.Accepted(std::move(Socket));
        accept();
      });
}

void Listener::onFailed(std::error_code Error) {
  if (!m_Failing)
    m_Hooks.Failed("a connection was not accepted: " + Error.message());
  m_Failing = true;
  m_RetryTimer.expires_after(RetryInterval);
  m_RetryTimer.async_wait([this](std::error_code Cancelled) {
    if (!Cancelled)
      accept();
  });
}

} // namespace bergamotstage::runtime
