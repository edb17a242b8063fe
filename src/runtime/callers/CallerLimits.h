#ifndef BERGAMOTSTAGE_RUNTIME_CALLERS_CALLERLIMITS_H
#define BERGAMOTSTAGE_RUNTIME_CALLERS_CALLERLIMITS_H

#include "bergamotstage/core/Time.h"

#include <cstdint>
#include <string>

namespace bergamotstage::runtime {

/// @brief Whether callers may or must use TLS.
enum class TlsMode : std::uint8_t { Off, Allowed, Required };

/// @brief Certificate and private key in PEM files, read at start only.
struct TlsFiles {
  std::string Certificate;
  std::string Key;
  std::string Authority; ///< Issuer of the other side's certificates.
};

/// @brief Bounds on callers' connections to one process.
struct CallerLimits {
  unsigned MaxConnections = 10000; ///< Those before admission included.
  Duration Login = seconds(30);    ///< From the connection to admission.
  Duration Idle = seconds(86400);  ///< Between statements.
  Duration IdleInTransaction = seconds(60);
  Duration WriteStall = seconds(30); ///< Without a byte taken by the caller.
};

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_CALLERS_CALLERLIMITS_H
