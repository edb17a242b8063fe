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

/// @brief A TCP connection that reads as bytes come and writes in order.
///
/// Output that waits is bounded: a far end that does not read is cut off. All
/// hooks are called from the thread of the io_context, and none after close().
class ByteStream : public std::enable_shared_from_this<ByteStream> {
public:
  struct Hooks {
    std::function<void()> Connected; ///< Only of connect().
    std::function<void(std::string_view)> Received;
    std::function<void(const std::string &Reason)> Ended;
  };

  /// @brief Opens a connection; what is sent before it stands waits.
  static std::shared_ptr<ByteStream> connect(asio::io_context &Io,
                                             const std::string &Address,
                                             Duration SilenceLimit, Hooks Ask);
  /// @brief Takes a connection over that was accepted.
  static std::shared_ptr<ByteStream> adopt(asio::ip::tcp::socket Socket,
                                           Duration SilenceLimit, Hooks Ask);

  void send(std::string_view Bytes);
  /// @brief Drops the connection; output that waits is lost.
  void close();
  /// @brief Closes once all output has been handed to the system.
  void closeAfterOutput();
  /// @brief Ends the connection unless cancelDeadline() comes first.
  void setDeadline(Duration Limit, const std::string &Reason);
  void cancelDeadline();

  explicit ByteStream(asio::ip::tcp::socket Socket)
      : m_Socket(std::move(Socket)), m_Deadline(m_Socket.get_executor()) {}

private:
  static constexpr std::size_t ReadSize = 8192;
  /// A far end that has so much waiting for it does not read any more.
  static constexpr std::size_t MaxOutput = std::size_t{4} * 1024 * 1024;

  void read();
  void write();
  void end(const std::string &Reason);

  asio::ip::tcp::socket m_Socket;
  asio::steady_timer m_Deadline;
  Hooks m_Hooks;
  Duration m_SilenceLimit{};
  std::array<char, ReadSize> m_In{};
  std::string m_Out;     ///< Waits.
  std::string m_Writing; ///< Is being written.
  bool m_Open = false;
  bool m_Ended = false;
  bool m_CloseAfterOutput = false;
};

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_SITE_BYTESTREAM_H
