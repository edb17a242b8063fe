#ifndef BERGAMOTSTAGE_RATELIMIT_DEMANDMETER_H
#define BERGAMOTSTAGE_RATELIMIT_DEMANDMETER_H

#include "bergamotstage/core/Time.h"
#include "bergamotstage/ratelimit/TokenDemand.h"

#include <map>
#include <vector>

namespace bergamotstage::ratelimit {

/// @brief Measures the operations per second of one account at this VM, by
/// priority.
class DemandMeter {
public:
  /// @brief Counts one operation. Complexity: logarithmic in the priorities.
  void record(unsigned Priority, Instant Now);

  /// @brief Demand of all priorities, highest priority first.
  std::vector<PriorityDemand> rates(Instant Now);

  /// @brief Operations per second of all priorities together.
  double total(Instant Now);

private:
  struct Level {
    unsigned Count = 0; ///< In the current window.
    double Rate = 0;    ///< Operations per second, moving average.
  };

  void closeWindow(Instant Now);

  std::map<unsigned, Level> m_Levels;
  Instant m_WindowStart{};
};

} // namespace bergamotstage::ratelimit

#endif // BERGAMOTSTAGE_RATELIMIT_DEMANDMETER_H
