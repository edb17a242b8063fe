#ifndef BERGAMOTSTAGE_RUNTIME_SITE_CALLERSOCKETS_H
#define BERGAMOTSTAGE_RUNTIME_SITE_CALLERSOCKETS_H

#include "bergamotstage/pooling/Session.h"
#include "platform/LineCodec.h"
#include "runtime/site/ByteStream.h"
#include "runtime/site/Listener.h"

#include <tl/expected.hpp>

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace bergamotstage::runtime {

/// @brief Accepts callers and decodes their messages.
class CallerSockets {
public:
  struct Hooks {
    std::function<void(CallerId, std::string Database, std::string Key)> Opened;
    std::function<void(CallerId, pooling::Statement)> StatementReceived;
    std::function<void(CallerId)> Closed;
    std::function<void(const std::string &Reason)> Refused;
  };

  static tl::expected<std::unique_ptr<CallerSockets>, std::string>
  listen(asio::io_context &Io, const std::string &Address, Hooks Callbacks);

  explicit CallerSockets(Hooks Callbacks) : m_Hooks(std::move(Callbacks)) {}

  void answer(CallerId Caller, const pooling::CallerReply &Reply);
  /// @brief Closes a connection after its pending replies have been written.
  void close(CallerId Caller);
  void stopAccepting();

private:
  /// Stays below the descriptor limit of the process.
  static constexpr std::size_t MaxCallers = 3500;
  /// Limit for the incomplete lines of all callers, a tenth of the memory of
  /// the smallest VMs (160 MB).
  static constexpr std::size_t MaxBufferedBytes = std::size_t{16} * 1024 * 1024;

  struct Caller {
    std::shared_ptr<ByteStream> Stream;
    platform::LineSplitter Lines;
    std::size_t BufferedBytes = 0; ///< Included in m_BufferedBytes.
    bool Started = false;
  };

  void onAccepted(asio::ip::tcp::socket Socket);
  void onReceived(CallerId Id, std::string_view Bytes);
  void handleLine(CallerId Id, Caller &Source, const std::string &Line);
  void rejectCaller(CallerId Id, const char *Reason);
  void updateBufferedBytes(Caller &Source);
  void removeCaller(CallerId Id);

  Hooks m_Hooks;
  std::unique_ptr<Listener> m_Listener;
  std::unordered_map<CallerId, Caller> m_Callers;
  std::size_t m_BufferedBytes = 0; ///< Bytes of incomplete lines.
  std::uint64_t m_LastCaller = 0;
};

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_SITE_CALLERSOCKETS_H
