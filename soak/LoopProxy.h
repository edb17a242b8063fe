#ifndef BERGAMOTSTAGE_SOAK_LOOPPROXY_H
#define BERGAMOTSTAGE_SOAK_LOOPPROXY_H

#include "runtime/site/ByteStream.h"

#include <cstdint>
#include <list>
#include <memory>
#include <string>

namespace bergamotstage::soak {

/// @brief A TCP proxy on loopback that harms the connections through it.
class LoopProxy {
public:
  enum class Mode : std::uint8_t {
    Pass,
    Delay,  ///< Bytes arrive later, both ways.
    Silent, ///< Bytes are lost both ways; what was harmed stays so.
    OneWay, ///< Answers are lost.
    Refuse  ///< New connections are closed at once.
  };

  LoopProxy(asio::io_context &Io, std::string Target);

  /// @brief IP number and port to connect to.
  std::string address() const;
  void setMode(Mode Chosen) { m_Mode = Chosen; }
  /// @brief Drops all connections.
  void reset();

private:
  struct Pair {
    std::shared_ptr<runtime::ByteStream> Near;
    std::shared_ptr<runtime::ByteStream> Far;
    bool Harmed = false; ///< Lost bytes: nothing passes any more.
  };

  void accept();
  void pass(const std::shared_ptr<Pair> &Through, bool Inwards,
            std::string_view Bytes);
  void end(const std::shared_ptr<Pair> &Through);

  asio::io_context &m_Io;
  asio::ip::tcp::acceptor m_Acceptor;
  std::string m_Target;
  Mode m_Mode = Mode::Pass;
  std::list<std::shared_ptr<Pair>> m_Pairs;
};

} // namespace bergamotstage::soak

#endif // BERGAMOTSTAGE_SOAK_LOOPPROXY_H
