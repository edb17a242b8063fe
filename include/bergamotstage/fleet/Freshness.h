#ifndef BERGAMOTSTAGE_FLEET_FRESHNESS_H
#define BERGAMOTSTAGE_FLEET_FRESHNESS_H

#include "bergamotstage/core/Time.h"

#include <cstddef>

namespace bergamotstage {

/// @brief How long a VM serves keyed routes after the last time at which it
/// knew its revision of the rules to be current.
constexpr Duration FreshnessLimit = seconds(6);

/// @brief Added to FreshnessLimit before an edit counts as in force at a VM
/// that did not confirm it: statements that had passed the check may still be
/// on their way to a target.
constexpr Duration FreshnessMargin = seconds(1);

/// @brief Time before any event; marks an event that has not happened.
constexpr Instant DistantPast{-std::chrono::hours(24 * 365)};

/// @brief Number of VMs that must attest a revision so that a VM that cannot
/// reach the store keeps serving under it: two thirds, rounded up.
constexpr std::size_t serveQuorum(std::size_t Members) {
  return (2 * Members + 2) / 3;
}

/// @brief Number of VMs that must confirm a revision before it counts as
/// accepted: more than half.
///
/// A serving and an accepting quorum always share a VM, even if they were
/// counted from member lists that differ by a sixth of the fleet.
constexpr std::size_t acceptQuorum(std::size_t Members) {
  return Members / 2 + 1;
}

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_FLEET_FRESHNESS_H
