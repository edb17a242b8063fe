#ifndef BERGAMOTSTAGE_SOAK_FAULTPROXY_H
#define BERGAMOTSTAGE_SOAK_FAULTPROXY_H

#include "runtime/site/ByteStream.h"

#include <cstdint>
#include <deque>
#include <list>
#include <memory>
#include <string>

namespace bergamotstage::soak {

/// @brief A loopback TCP proxy that injects faults into its connections.
class FaultProxy {
public:
  enum class Mode : std::uint8_t {
    Pass,
    Delay,  ///< Adds latency in both directions.
    Drop,   ///< Loses bytes in both directions.
    OneWay, ///< Loses bytes from the target.
    Refuse  ///< Closes new connections at once.
  };

  FaultProxy(asio::io_context &Io, std::string Target);

  /// @brief IP address and port that the proxy listens on.
  std::string address() const;
  void setMode(Mode NewMode) { m_Mode = NewMode; }
  /// @brief Closes all connections.
  void reset();

private:
  struct Tunnel {
    std::shared_ptr<runtime::ByteStream> Client;
    std::shared_ptr<runtime::ByteStream> Upstream;
    bool DataLost = false; ///< If set, forwards nothing more.
    std::deque<std::string> DelayedToTarget;
    std::deque<std::string> DelayedToClient;
  };

  void accept();
  void forward(const std::shared_ptr<Tunnel> &Connection, bool ToTarget,
               std::string_view Bytes);
  void closeTunnel(const std::shared_ptr<Tunnel> &Connection);

  asio::io_context &m_Io;
  asio::ip::tcp::acceptor m_Acceptor;
  std::string m_Target;
  Mode m_Mode = Mode::Pass;
  std::list<std::shared_ptr<Tunnel>> m_Tunnels;
};

} // namespace bergamotstage::soak

#endif // BERGAMOTSTAGE_SOAK_FAULTPROXY_H
