#include "runtime/site/Listener.h"

#include "runtime/Address.h"

namespace bergamotstage::runtime {

tl::expected<asio::ip::tcp::acceptor, std::string>
openListener(asio::io_context &Io, const std::string &Address) {
  auto Endpoint = parseEndpoint(Address);
  if (!Endpoint)
    return tl::make_unexpected(Address + " is no IP number and port");
  asio::ip::tcp::acceptor Acceptor(Io);
  std::error_code Failed;
  Acceptor.open(Endpoint->protocol(), Failed);
  if (!Failed)
    Acceptor.set_option(asio::socket_base::reuse_address(true), Failed);
  if (!Failed)
    Acceptor.bind(*Endpoint, Failed);
  if (!Failed)
    Acceptor.listen(asio::socket_base::max_listen_connections, Failed);
  if (Failed)
    return tl::make_unexpected("cannot listen on " + Address + ": " +
                               Failed.message());
  return Acceptor;
}

} // namespace bergamotstage::runtime
