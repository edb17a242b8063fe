#ifndef BERGAMOTSTAGE_FLEET_POLLBUDGET_H
#define BERGAMOTSTAGE_FLEET_POLLBUDGET_H

#include "bergamotstage/core/Time.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <random>

namespace bergamotstage {

/// @brief Interval at which a VM may poll so that all VMs together stay within
/// a number of calls per second.
/// @param Minimum shortest interval, however small the fleet is
inline Duration fleetPollInterval(Duration Minimum, double CallsPerSecond,
                                  std::size_t Vms) {
  constexpr double Microseconds = 1e6;
  auto Interval = static_cast<std::int64_t>(static_cast<double>(Vms) /
                                            CallsPerSecond * Microseconds);
  return std::max(Minimum, Duration(Interval));
}

/// @brief Random duration from 75 % to 125 % of the given one, so that VMs
/// that start together do not poll together.
inline Duration withJitter(Duration Span, std::mt19937_64 &Random) {
  constexpr std::int64_t QuartersPerSpan = 4;
  std::int64_t Quarter =
      std::max<std::int64_t>(1, Span.count() / QuartersPerSpan);
  std::uniform_int_distribution<std::int64_t> Offset(-Quarter, Quarter);
  return Span + Duration(Offset(Random));
}

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_FLEET_POLLBUDGET_H
