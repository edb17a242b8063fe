#ifndef BERGAMOTSTAGE_RUNTIME_TLS_H
#define BERGAMOTSTAGE_RUNTIME_TLS_H

#include "runtime/callers/CallerLimits.h"

#include <tl/expected.hpp>

#include <memory>
#include <optional>
#include <string>

namespace asio::ssl {
class context;
} // namespace asio::ssl
namespace grpc {
class ChannelCredentials;
class ServerCredentials;
} // namespace grpc

namespace bergamotstage::runtime {

/// @brief Creates the TLS server context for callers, TLS 1.2 or later.
/// @return the context, or which file is invalid and why
tl::expected<std::shared_ptr<asio::ssl::context>, std::string>
makeCallerTls(const TlsFiles &Files);

/// @brief Client and server credentials for gRPC between VMs, operators and the
/// platform.
struct PeerCredentials {
  std::shared_ptr<grpc::ChannelCredentials> Client;
  std::shared_ptr<grpc::ServerCredentials> Server;
};

/// @brief Loads gRPC credentials; new certificates need a restart.
/// @param Files of mutual TLS, or nothing for unencrypted connections
/// @return the credentials, or which file cannot be read
tl::expected<PeerCredentials, std::string>
makePeerCredentials(const std::optional<TlsFiles> &Files);

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_TLS_H
