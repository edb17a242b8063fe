#ifndef BERGAMOTSTAGE_RUNTIME_CALLERS_CALLERSTREAM_H
#define BERGAMOTSTAGE_RUNTIME_CALLERS_CALLERSTREAM_H

#include <asio.hpp>
#include <asio/ssl.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace bergamotstage::runtime {

/// @brief A caller's TCP connection, optionally upgraded to TLS.
class CallerStream {
public:
  using TransferHandler = std::function<void(std::error_code, std::size_t)>;
  using ReadHandler = std::function<void(std::error_code, std::string_view)>;
  using Handler = std::function<void(std::error_code)>;

  /// @brief Sets keepalive and user timeout, so that a connection to a dead
  /// peer fails within a minute.
  explicit CallerStream(asio::ip::tcp::socket Socket);

  /// @brief Waits for bytes and reads them; without TLS, a waiting connection
  /// occupies no buffer.
  /// @param Shared buffer of the thread; the bytes passed to OnComplete are
  /// valid during the call only
  void readSome(asio::mutable_buffer Shared, ReadHandler OnComplete);
  void writeSome(asio::const_buffer From, TransferHandler OnComplete);

  /// @brief Runs the TLS handshake as the server.
  /// @param Context must outlive the stream
  void startTls(asio::ssl::context &Context, Handler OnComplete);

  bool isEncrypted() const { return m_Tls.has_value(); }

  /// @brief Closes the connection; pending operations fail.
  void close();

private:
  static constexpr std::size_t TlsInputBytes = 8192;

  void readAvailable(asio::mutable_buffer Shared,
                     const ReadHandler &OnComplete);

  asio::ip::tcp::socket m_Socket;
  std::unique_ptr<char[]> m_TlsInput;
  std::optional<asio::ssl::stream<asio::ip::tcp::socket &>> m_Tls;
};

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_CALLERS_CALLERSTREAM_H
