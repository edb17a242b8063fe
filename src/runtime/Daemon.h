#ifndef BERGAMOTSTAGE_RUNTIME_DAEMON_H
#define BERGAMOTSTAGE_RUNTIME_DAEMON_H

#include "bergamotstage/node/Action.h"
#include "bergamotstage/node/Event.h"
#include "runtime/Settings.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace bergamotstage::runtime {

/// @brief Owns the threads and services of one VM.
class Daemon {
public:
  /// @brief Starts all threads.
  /// @param OnExit called on the decision thread when the node has stopped
  /// @return the daemon, or why it could not start
  static tl::expected<std::unique_ptr<Daemon>, std::string>
  start(const Settings &Config, std::function<void(const Exit &)> OnExit);

  /// @brief Writes pending answers and stops all threads.
  ~Daemon();
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;

  /// @brief Requests a shutdown; a second request skips the drain.
  /// @return false if the event queue is full
  bool requestShutdown();

  /// @brief The port that callers connect to.
  std::uint16_t callerPort() const;

private:
  struct Components;

  explicit Daemon(std::unique_ptr<Components> Instance);

  std::unique_ptr<Components> m_Components;
};

/// @brief Result of a daemon's run.
struct DaemonExit {
  bool RequestsAborted = false; ///< Requests were cancelled.
};

/// @brief Runs the threads of one VM until SIGTERM or SIGINT.
///
/// The first signal starts a drain; a second one cancels running requests.
/// @return how it ended, or why it could not start
tl::expected<DaemonExit, std::string> runDaemon(const Settings &Config);

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_DAEMON_H
