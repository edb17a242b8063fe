#ifndef BERGAMOTSTAGE_STANDIN_LOCALSITE_H
#define BERGAMOTSTAGE_STANDIN_LOCALSITE_H

#include "runtime/Daemon.h"
#include "standin/StandIn.h"

#include <cstdint>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace bergamotstage::standin {

/// @brief Size and limits of a local site.
struct LocalSiteOptions {
  unsigned Vms = 1;
  Duration Lag{}; ///< Replication delay of the replicas.
  /// @brief Called with the settings of each VM before it starts, if set.
  std::function<void(runtime::Settings &)> AdjustSettings;
  /// @brief Statements per second and burst of the account ward-1.
  unsigned Rate = 2000;
  unsigned Burst = 4000;
};

/// @brief Runs a stand-in platform, one database group of three targets and
/// several VMs in this process, on loopback ports that the kernel assigns.
class LocalSite {
public:
  /// @return the site, or an error message if it could not start
  static tl::expected<std::unique_ptr<LocalSite>, std::string>
  start(const LocalSiteOptions &Options);

  ~LocalSite();
  LocalSite(const LocalSite &) = delete;
  LocalSite &operator=(const LocalSite &) = delete;

  /// @brief Returns a libpq connection string to a VM, as account ward-1.
  std::string callerAddress(unsigned Vm,
                            const std::string &Route = "waitlist") const;
  /// @brief Returns a libpq connection string to the initial primary.
  std::string primaryAddress() const;

  std::uint16_t callerPort(unsigned Vm) const {
    return m_Daemons[Vm]->callerPort();
  }
  runtime::Daemon &daemon(unsigned Vm) { return *m_Daemons[Vm]; }

  /// @brief Stops a VM without draining its connections.
  void stopVm(unsigned Vm) { m_Daemons[Vm].reset(); }

private:
  LocalSite() = default;
  void runPlatform(const LocalSiteOptions &Options);

  std::string m_PlatformAddress;
  std::vector<std::uint16_t> m_TargetPorts;
  std::vector<std::string> m_PeerAddresses;
  std::promise<void> m_Ended;
  std::thread m_StandIn;
  std::vector<std::unique_ptr<runtime::Daemon>> m_Daemons;
};

} // namespace bergamotstage::standin

#endif // BERGAMOTSTAGE_STANDIN_LOCALSITE_H
