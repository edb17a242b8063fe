#ifndef BERGAMOTSTAGE_RUNTIME_SETTINGS_H
#define BERGAMOTSTAGE_RUNTIME_SETTINGS_H

#include "bergamotstage/node/NodeSettings.h"
#include "runtime/callers/CallerLimits.h"
#include "runtime/targets/TargetLink.h"

#include <tl/expected.hpp>

#include <optional>
#include <string>
#include <vector>

namespace bergamotstage::runtime {

/// @brief All settings of one process.
struct Settings {
  NodeSettings Node;
  std::string ListenAddress;   ///< Listener for callers.
  std::string PlatformAddress; ///< Service of the platform.
  TargetCredentials Target;
  std::string LogLevel = "info";
  CallerLimits Limits;
  TlsMode CallerTls = TlsMode::Off;
  TlsFiles CallerFiles;                ///< Used unless CallerTls is Off.
  std::optional<TlsFiles> PeerTls;     ///< Mutual TLS with VMs and operators.
  std::optional<TlsFiles> PlatformTls; ///< Mutual TLS with the platform.
};

/// @brief An invalid member of the settings.
struct SettingsError {
  std::string Path; ///< Such as `limits.login`.
  std::string Reason;
};

/// @brief Parses settings in JSON.
/// @return the settings, or all errors: unknown or missing members, wrong types
/// and values out of range
tl::expected<Settings, std::vector<SettingsError>>
parseSettings(const std::string &Text);

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_SETTINGS_H
