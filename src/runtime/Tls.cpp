#include "runtime/Tls.h"

#include <asio/ssl.hpp>
#include <grpcpp/grpcpp.h>

#include <fstream>
#include <sstream>

namespace bergamotstage::runtime {
namespace {

tl::expected<std::string, std::string> readPem(const std::string &File) {
  std::ifstream Input(File);
  std::ostringstream Text;
  Text << Input.rdbuf();
  if (!Input || Text.str().find("-----BEGIN") == std::string::npos)
    return tl::make_unexpected("cannot read PEM file " + File);
  return Text.str();
}

} // namespace

tl::expected<std::shared_ptr<asio::ssl::context>, std::string>
makeCallerTls(const TlsFiles &Files) {
  auto Context =
      std::make_shared<asio::ssl::context>(asio::ssl::context::tls_server);
  std::error_code Error;
  Context->set_options(asio::ssl::context::default_workarounds |
                           asio::ssl::context::no_tlsv1 |
                           asio::ssl::context::no_tlsv1_1,
                       Error);
  Context->use_certificate_chain_file(Files.Certificate, Error);
  if (Error)
    return tl::make_unexpected("cannot use certificate " + Files.Certificate +
                               ": " + Error.message());
  Context->use_private_key_file(Files.Key, asio::ssl::context::pem, Error);
  if (Error)
    return tl::make_unexpected("cannot use private key " + Files.Key + ": " +
                               Error.message());
  return Context;
}

tl::expected<PeerCredentials, std::string>
makePeerCredentials(const std::optional<TlsFiles> &Files) {
  if (!Files)
    return PeerCredentials{grpc::InsecureChannelCredentials(),
                           grpc::InsecureServerCredentials()};
  auto Certificate = readPem(Files->Certificate);
  if (!Certificate)
    return tl::make_unexpected(Certificate.error());
  auto Key = readPem(Files->Key);
  if (!Key)
    return tl::make_unexpected(Key.error());
  auto Authority = readPem(Files->Authority);
  if (!Authority)
    return tl::make_unexpected(Authority.error());
  grpc::SslCredentialsOptions Client;
  Client.pem_root_certs = *Authority;
  Client.pem_cert_chain = *Certificate;
  Client.pem_private_key = *Key;
  grpc::SslServerCredentialsOptions Server(
      GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY);
  Server.pem_root_certs = *Authority;
  Server.pem_key_cert_pairs.push_back({*Key, *Certificate});
  return PeerCredentials{grpc::SslCredentials(Client),
                         grpc::SslServerCredentials(Server)};
}

} // namespace bergamotstage::runtime
