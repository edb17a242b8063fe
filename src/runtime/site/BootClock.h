#ifndef BERGAMOTSTAGE_RUNTIME_SITE_BOOTCLOCK_H
#define BERGAMOTSTAGE_RUNTIME_SITE_BOOTCLOCK_H

#include "bergamotstage/core/Time.h"

#include <ctime>

namespace bergamotstage::runtime {

/// @brief Returns the time since boot, including time spent suspended.
///
/// Ages of positions and leases use this clock because the steady clock stops
/// while the machine is suspended.
inline Instant bootTime() {
  constexpr long NanosPerMicro = 1000;
  timespec Now{};
  clock_gettime(CLOCK_BOOTTIME, &Now);
  return Instant(seconds(Now.tv_sec) +
                 microseconds(Now.tv_nsec / NanosPerMicro));
}

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_SITE_BOOTCLOCK_H
