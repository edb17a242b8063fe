#ifndef BERGAMOTSTAGE_RUNTIME_DAEMON_H
#define BERGAMOTSTAGE_RUNTIME_DAEMON_H

#include "runtime/Settings.h"

#include <tl/expected.hpp>

#include <string>

namespace bergamotstage::runtime {

/// @brief How a daemon ended.
struct DaemonEnd {
  bool CutRequests = false; ///< A deadline or a second signal cut requests.
};

/// @brief Runs the threads of one VM until SIGTERM or SIGINT.
///
/// The first signal drains; a second one cuts what still runs.
/// @return how it ended, or why it could not start
tl::expected<DaemonEnd, std::string> runDaemon(const Settings &Chosen);

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_DAEMON_H
