#ifndef BERGAMOTSTAGE_PACING_COLDSTARTLIMITER_H
#define BERGAMOTSTAGE_PACING_COLDSTARTLIMITER_H

#include "bergamotstage/core/Time.h"
#include "bergamotstage/pacing/ColdBound.h"

#include <optional>

namespace bergamotstage::pacing {

/// @brief Decides how many statements this VM may send to a cold target now.
///
/// The bound is divided among the VMs by their rank for the target in the list
/// of all VMs, whether they are reachable or not: 2/3, 2/9, 2/27 and so on. The
/// parts sum up to less than the whole, so that the bound holds without any
/// message, however many VMs take themselves for the owner.
class ColdStartLimiter {
public:
  /// @brief Sets the bound and this VM's rank.
  /// @param Rank 0 for the first VM; empty if this VM may send nothing
  void setBound(const ColdBound &Bound, std::optional<unsigned> Rank,
                Instant Now);

  /// @brief Whether statements may be sent now.
  /// @param Count statements that are sent together
  bool maySend(unsigned Count, Instant Now) const;
  /// @brief Counts one statement that was sent.
  void recordSent(Instant Now);

  /// @brief Statements that this VM may send a second, without the slack.
  /// @return std::nullopt if there is no bound
  std::optional<double> rate(Instant Now) const;

private:
  void earn(Instant Now);
  double creditAt(Instant Now) const;

  ColdBound m_Bound;
  double m_Rate = 0;   ///< Credit earned each second.
  double m_Burst = 0;  ///< Maximum credit.
  double m_Credit = 0; ///< At m_EarnedAt, in statements.
  Instant m_EarnedAt{};
};

} // namespace bergamotstage::pacing

#endif // BERGAMOTSTAGE_PACING_COLDSTARTLIMITER_H
