#ifndef BERGAMOTSTAGE_RUNTIME_SITE_BYTESTREAM_H
#define BERGAMOTSTAGE_RUNTIME_SITE_BYTESTREAM_H

#include "bergamotstage/core/Time.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace bergamotstage::runtime {

/// @brief An asynchronous TCP connection with bounded output buffering.
///
/// The connection ends when its peer stops reading and the buffer is full. All
/// hooks run on the io_context's thread; none is called after close().
class ByteStream : public std::enable_shared_from_this<ByteStream> {
public:
  struct Hooks {
    std::function<void()> Connected; ///< Called for connect() only.
    std::function<void(std::string_view)> Received;
    std::function<void(const std::string &Reason)> Ended;
  };

  /// @brief Opens a connection. Output sent before it is established is queued.
  /// @param SilenceTimeout time without a reply after which the peer counts as
  /// dead
  static std::shared_ptr<ByteStream> connect(asio::io_context &Io,
                                             const std::string &Address,
                                             Duration SilenceTimeout,
                                             Hooks Callbacks);
  /// @brief Wraps an accepted connection.
  static std::shared_ptr<ByteStream>
  adopt(asio::ip::tcp::socket Socket, Duration SilenceTimeout, Hooks Callbacks);

  void send(std::string_view Bytes);
  /// @brief Closes the connection and discards queued output.
  void close();
  /// @brief Closes after all output has been passed to the operating system.
  void closeAfterOutput();
  /// @brief Ends the connection after a time unless cancelDeadline() is called.
  void setDeadline(Duration Timeout, const std::string &Reason);
  void cancelDeadline();

  explicit ByteStream(asio::ip::tcp::socket Socket)
      : m_Socket(std::move(Socket)), m_Deadline(m_Socket.get_executor()) {}

private:
  static constexpr std::size_t ReadBufferBytes = 8192;
  static constexpr std::size_t MaxPendingOutputBytes =
      std::size_t{4} * 1024 * 1024;

  void read();
  void write();
  void end(const std::string &Reason);

  asio::ip::tcp::socket m_Socket;
  asio::steady_timer m_Deadline;
  Hooks m_Hooks;
  Duration m_SilenceTimeout{};
  std::array<char, ReadBufferBytes> m_InputBuffer{};
  std::string m_PendingOutput;  ///< Not yet being written.
  std::string m_OutputInFlight; ///< Passed to the pending write.
  bool m_Connected = false;
  bool m_Ended = false;
  bool m_CloseAfterOutput = false;
};

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_SITE_BYTESTREAM_H
