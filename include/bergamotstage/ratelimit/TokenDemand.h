#ifndef BERGAMOTSTAGE_RATELIMIT_TOKENDEMAND_H
#define BERGAMOTSTAGE_RATELIMIT_TOKENDEMAND_H

#include "bergamotstage/core/Time.h"

#include <cstdint>
#include <vector>

namespace bergamotstage::ratelimit {

/// @brief How urgently an operation needs a token of its account's rate.
struct Urgency {
  unsigned Priority = 0;    ///< Of the route; 0 is the highest.
  Duration LatencyTarget{}; ///< Of the route.
  bool IsRetry = false;     ///< Its session's last operation was refused.
};

/// @brief Operations per second that ask for tokens at one priority.
struct PriorityDemand {
  static constexpr double MilliPerOperation = 1000;

  unsigned Priority = 0;
  std::uint64_t MilliPerSecond = 0;
};

/// @brief Operations of one priority that wait for tokens at one VM.
struct WaitingOperations {
  unsigned Priority = 0;
  std::uint64_t Count = 0;
  Duration MaxWait{}; ///< Longest remaining wait of any of them.
};

/// @brief Part of the demand of one priority that an account's rate covers.
struct PriorityShare {
  static constexpr unsigned All = 1000;

  unsigned Priority = 0;
  unsigned Permille = All;
};

} // namespace bergamotstage::ratelimit

#endif // BERGAMOTSTAGE_RATELIMIT_TOKENDEMAND_H
