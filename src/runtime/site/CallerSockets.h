#ifndef BERGAMOTSTAGE_RUNTIME_SITE_CALLERSOCKETS_H
#define BERGAMOTSTAGE_RUNTIME_SITE_CALLERSOCKETS_H

#include "bergamotstage/pooling/Session.h"
#include "platform/LineCodec.h"
#include "runtime/site/ByteStream.h"

#include <tl/expected.hpp>

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace bergamotstage::runtime {

/// @brief The connections of callers.
class CallerSockets {
public:
  struct Hooks {
    std::function<void(CallerId, std::string Database, std::string Key)> Opened;
    std::function<void(CallerId, pooling::Statement)> Sent;
    std::function<void(CallerId)> Closed;
    std::function<void(const std::string &Reason)> Refused;
  };

  static tl::expected<std::unique_ptr<CallerSockets>, std::string>
  listen(asio::io_context &Io, const std::string &Address, Hooks Ask);

  CallerSockets(asio::ip::tcp::acceptor Acceptor, Hooks Ask)
      : m_Acceptor(std::move(Acceptor)), m_Hooks(std::move(Ask)) {}

  void answer(CallerId Caller, const pooling::CallerReply &Reply);
  /// @brief Closes a connection once its answers are out.
  void close(CallerId Caller);
  void stopAccepting();

private:
  /// Below the descriptors that a process may have.
  static constexpr std::size_t MaxCallers = 3500;
  /// Of unfinished lines of all callers: a tenth of the memory of the smallest
  /// VMs (160 MB).
  static constexpr std::size_t MaxHeld = std::size_t{16} * 1024 * 1024;

  struct Caller {
    std::shared_ptr<ByteStream> Stream;
    platform::LineSplitter Lines;
    std::size_t Held = 0; ///< Its part of m_Held.
    bool Started = false;
  };

  void accept();
  void received(CallerId Id, std::string_view Bytes);
  void took(CallerId Id, Caller &From, const std::string &Line);
  void refuse(CallerId Id, const char *Reason);
  void countHeld(Caller &From);
  void forget(CallerId Id);

  asio::ip::tcp::acceptor m_Acceptor;
  Hooks m_Hooks;
  std::unordered_map<CallerId, Caller> m_Callers;
  std::size_t m_Held = 0; ///< Bytes of unfinished lines.
  std::uint64_t m_LastCaller = 0;
};

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_SITE_CALLERSOCKETS_H
