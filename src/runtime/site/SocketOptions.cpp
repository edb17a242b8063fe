#include "runtime/site/SocketOptions.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>

namespace bergamotstage::runtime {
namespace {

constexpr int KeepAliveProbes = 2;

void setOption(int Descriptor, int Level, int Name, int Value) {
  // Without the option, a dead peer is detected later.
  (void)setsockopt(Descriptor, Level, Name, &Value, sizeof(Value));
}

} // namespace

void setSilenceTimeout(asio::ip::tcp::socket &Socket, Duration Timeout) {
  int Descriptor = Socket.native_handle();
  auto Milliseconds = static_cast<int>(
      std::chrono::duration_cast<milliseconds>(Timeout).count());
  int Interval = std::max(
      1,
      static_cast<int>(std::chrono::duration_cast<seconds>(Timeout).count()) /
          (KeepAliveProbes + 1));
  setOption(Descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
  setOption(Descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, Milliseconds);
  setOption(Descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(Descriptor, IPPROTO_TCP, TCP_KEEPIDLE, Interval);
  setOption(Descriptor, IPPROTO_TCP, TCP_KEEPINTVL, Interval);
  setOption(Descriptor, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
}

} // namespace bergamotstage::runtime
