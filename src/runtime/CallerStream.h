#ifndef BERGAMOTSTAGE_RUNTIME_CALLERSTREAM_H
#define BERGAMOTSTAGE_RUNTIME_CALLERSTREAM_H

#include <asio.hpp>
#include <asio/ssl.hpp>

#include <functional>
#include <optional>

namespace bergamotstage::runtime {

/// @brief A caller's TCP connection, with TLS once it is asked for.
class CallerStream {
public:
  using TransferHandler = std::function<void(std::error_code, std::size_t)>;
  using Handler = std::function<void(std::error_code)>;

  /// @brief Sets keepalive and user timeout, so that a connection whose other
  /// end is gone fails within a minute.
  explicit CallerStream(asio::ip::tcp::socket Socket);

  void readSome(asio::mutable_buffer Into, TransferHandler Done);
  void writeSome(asio::const_buffer From, TransferHandler Done);

  /// @brief Runs the TLS handshake of the server's side.
  /// @param Context must outlive the stream
  void startTls(asio::ssl::context &Context, Handler Done);

  bool secured() const { return m_Tls.has_value(); }

  /// @brief Closes the connection; pending operations fail.
  void close();

private:
  asio::ip::tcp::socket m_Socket;
  std::optional<asio::ssl::stream<asio::ip::tcp::socket &>> m_Tls;
};

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_CALLERSTREAM_H
