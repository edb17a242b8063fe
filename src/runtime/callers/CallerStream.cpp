#include "runtime/callers/CallerStream.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <utility>

namespace bergamotstage::runtime {
namespace {

constexpr int KeepaliveIdleSeconds = 30;
constexpr int KeepaliveIntervalSeconds = 5;
constexpr int KeepaliveProbes = 3;
constexpr int UserTimeoutMilliseconds = 45000;

void setTcpOption(asio::ip::tcp::socket &Socket, int Name, int Value) {
  // Errors are ignored: without the option, a lost peer is detected later.
  static_cast<void>(::setsockopt(Socket.native_handle(), IPPROTO_TCP, Name,
                                 &Value, sizeof(Value)));
}

} // namespace

CallerStream::CallerStream(asio::ip::tcp::socket Socket)
    : m_Socket(std::move(Socket)) {
  std::error_code Ignored;
  m_Socket.non_blocking(true, Ignored);
  m_Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
  m_Socket.set_option(asio::socket_base::keep_alive(true), Ignored);
  setTcpOption(m_Socket, TCP_KEEPIDLE, KeepaliveIdleSeconds);
  setTcpOption(m_Socket, TCP_KEEPINTVL, KeepaliveIntervalSeconds);
  setTcpOption(m_Socket, TCP_KEEPCNT, KeepaliveProbes);
  setTcpOption(m_Socket, TCP_USER_TIMEOUT, UserTimeoutMilliseconds);
}

void CallerStream::readSome(asio::mutable_buffer Shared,
                            ReadHandler OnComplete) {
  if (m_Tls) {
    m_Tls->async_read_some(
        asio::buffer(m_TlsInput.get(), TlsInputBytes),
        [this, OnComplete = std::move(OnComplete)](std::error_code Error,
                                                   std::size_t Count) {
          OnComplete(Error, {m_TlsInput.get(), Error ? 0 : Count});
        });
    return;
  }
  m_Socket.async_wait(asio::socket_base::wait_read,
                      [this, Shared, OnComplete = std::move(OnComplete)](
                          std::error_code Error) {
                        if (Error)
                          return OnComplete(Error, {});
                        readAvailable(Shared, OnComplete);
                      });
}

void CallerStream::readAvailable(asio::mutable_buffer Shared,
                                 const ReadHandler &OnComplete) {
  std::error_code Error;
  std::size_t Count = m_Socket.read_some(asio::buffer(Shared), Error);
  if (Error == asio::error::would_block)
    return readSome(Shared, OnComplete);
  OnComplete(Error,
             {static_cast<const char *>(Shared.data()), Error ? 0 : Count});
}

void CallerStream::writeSome(asio::const_buffer From,
                             TransferHandler OnComplete) {
  if (m_Tls)
    m_Tls->async_write_some(From, std::move(OnComplete));
  else
    m_Socket.async_write_some(From, std::move(OnComplete));
}

void CallerStream::startTls(asio::ssl::context &Context, Handler OnComplete) {
  m_TlsInput = std::make_unique<char[]>(TlsInputBytes);
  m_Tls.emplace(m_Socket, Context);
  m_Tls->async_handshake(asio::ssl::stream_base::server, std::move(OnComplete));
}

void CallerStream::close() {
  std::error_code Ignored;
  m_Socket.shutdown(asio::ip::tcp::socket::shutdown_both, Ignored);
  m_Socket.close(Ignored);
}

} // namespace bergamotstage::runtime
