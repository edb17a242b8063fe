#ifndef BERGAMOTSTAGE_RUNTIME_SITE_SITEDAEMON_H
#define BERGAMOTSTAGE_RUNTIME_SITE_SITEDAEMON_H

#include <tl/expected.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace bergamotstage::runtime {

/// @brief Command-line options of a process on the platform's machines.
struct SiteOptions {
  std::string SettingsPath;
  std::string PolicyPath;           ///< Policy file; empty for the defaults.
  std::uint16_t MetricsPort = 9464; ///< On the VM's own address; 0 disables it.
  std::string LogLevel = "info";
  /// Called once signals are handled; may be empty.
  std::function<void()> SignalsHandled;
};

/// @brief Runs the proxy of one VM until it receives SIGTERM or SIGINT.
/// @return nothing after a regular shutdown, or why it could not start
tl::expected<void, std::string> runSite(const SiteOptions &Requested);

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_SITE_SITEDAEMON_H
