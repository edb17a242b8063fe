#ifndef BERGAMOTSTAGE_RUNTIME_SITE_SITEDAEMON_H
#define BERGAMOTSTAGE_RUNTIME_SITE_SITEDAEMON_H

#include <tl/expected.hpp>

#include <cstdint>
#include <string>

namespace bergamotstage::runtime {

/// @brief What the command line says of a process on the platform's machines.
struct SiteOptions {
  std::string SettingsPath;
  std::string RulesPath; ///< The users' policies; empty for the defaults.
  std::uint16_t MetricsPort = 9464; ///< Of the VM's own address; 0 for none.
  std::string LogLevel = "info";
};

/// @brief Runs one VM of the proxy on the platform's machines until it is told
/// to stop.
/// @return nothing after an ordered stop, or why it could not start
tl::expected<void, std::string> runSite(const SiteOptions &Chosen);

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_SITE_SITEDAEMON_H
