#ifndef BERGAMOTSTAGE_RATELIMIT_RATESHARING_H
#define BERGAMOTSTAGE_RATELIMIT_RATESHARING_H

#include <cstdint>

namespace bergamotstage::ratelimit {

/// @brief How a VM obtains the tokens of a client account.
enum class RateSharing : std::uint8_t {
  Split,   ///< Its own slots only.
  Loans,   ///< Also loans from other VMs, first come, first served.
  Priority ///< Loans and own tokens go to the most urgent operations.
};

} // namespace bergamotstage::ratelimit

#endif // BERGAMOTSTAGE_RATELIMIT_RATESHARING_H
