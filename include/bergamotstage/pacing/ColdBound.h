#ifndef BERGAMOTSTAGE_PACING_COLDBOUND_H
#define BERGAMOTSTAGE_PACING_COLDBOUND_H

#include "bergamotstage/core/Time.h"

namespace bergamotstage::pacing {

/// @brief Statements that all VMs together may send to a cold target.
struct ColdBound {
  double PerSecond = 0; ///< Earned each second; 0 means no bound.
  double Slack = 0;     ///< Statements on top of it in any second.
  Instant Until{};      ///< End of the target's cold start.

  /// @brief Statements in any second, over all VMs.
  double allowed() const { return PerSecond + Slack; }
  bool appliesAt(Instant Now) const { return PerSecond > 0 && Now < Until; }
};

} // namespace bergamotstage::pacing

#endif // BERGAMOTSTAGE_PACING_COLDBOUND_H
