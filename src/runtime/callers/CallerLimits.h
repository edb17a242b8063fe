#ifndef BERGAMOTSTAGE_RUNTIME_CALLERS_CALLERLIMITS_H
#define BERGAMOTSTAGE_RUNTIME_CALLERS_CALLERLIMITS_H

#include "bergamotstage/core/Time.h"

#include <cstdint>
#include <string>

namespace bergamotstage::runtime {

/// @brief Whether callers may or must use TLS.
enum class TlsMode : std::uint8_t { Off, Allowed, Required };

/// @brief PEM files of a TLS endpoint, read at startup only.
struct TlsFiles {
  std::string Certificate;
  std::string Key;
  std::string Authority; ///< CA that issues the peers' certificates.
};

/// @brief Limits for callers' connections to one process.
struct CallerLimits {
  unsigned MaxConnections = 10000; ///< Includes callers before admission.
  Duration Login = seconds(30);    ///< From connecting to admission.
  Duration Idle = seconds(86400);  ///< Between statements.
  Duration IdleInTransaction = seconds(60);
  Duration WriteStall = seconds(30); ///< Without progress of a pending write.
};

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_CALLERS_CALLERLIMITS_H
