#ifndef BERGAMOTSTAGE_RUNTIME_ADDRESS_H
#define BERGAMOTSTAGE_RUNTIME_ADDRESS_H

#include "bergamotstage/core/Parse.h"

#include <asio.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace bergamotstage::runtime {

/// @brief Parses `IP:PORT`; host names are not accepted.
inline std::optional<asio::ip::tcp::endpoint>
parseEndpoint(const std::string &Text) {
  std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return std::nullopt;
  std::error_code Error;
  auto Ip = asio::ip::make_address(Text.substr(0, Colon), Error);
  auto Port = parseCount(std::string_view(Text).substr(Colon + 1));
  if (Error || !Port || *Port > 65535)
    return std::nullopt;
  return asio::ip::tcp::endpoint(Ip, static_cast<std::uint16_t>(*Port));
}

/// @brief Whether an endpoint names one host and a port, to connect to.
inline bool isConnectable(const asio::ip::tcp::endpoint &Endpoint) {
  return Endpoint.port() != 0 && !Endpoint.address().is_unspecified() &&
         !Endpoint.address().is_multicast();
}

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_ADDRESS_H
