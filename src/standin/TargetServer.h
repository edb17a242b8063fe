#ifndef BERGAMOTSTAGE_STANDIN_TARGETSERVER_H
#define BERGAMOTSTAGE_STANDIN_TARGETSERVER_H

#include "standin/Group.h"

#include <asio.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>

namespace bergamotstage::standin {

/// @brief A group and the mutex that its targets' servers and the platform
/// service lock.
struct SharedGroup {
  std::mutex Lock;
  Group State;

  SharedGroup(const DatabaseId &Database, const std::vector<TargetId> &Names,
              Instant Now)
      : State(Database, Names, Now) {}
};

/// @brief Returns the time of this process's monotonic clock.
Instant readClock();

/// @brief Accepts PostgreSQL connections to one target of a group.
class TargetServer {
public:
  /// @param Port loopback port; 0 lets the kernel choose one
  TargetServer(asio::io_context &Io, std::shared_ptr<SharedGroup> Shared,
               TargetId Target, std::uint16_t Port);

  std::uint16_t port() const { return m_Acceptor.local_endpoint().port(); }

private:
  void accept();

  asio::io_context &m_Io;
  asio::ip::tcp::acceptor m_Acceptor;
  std::shared_ptr<SharedGroup> m_Shared;
  TargetId m_Target;
  std::uint64_t m_LastSession = 0;
};

} // namespace bergamotstage::standin

#endif // BERGAMOTSTAGE_STANDIN_TARGETSERVER_H
