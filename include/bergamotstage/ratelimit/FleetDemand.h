#ifndef BERGAMOTSTAGE_RATELIMIT_FLEETDEMAND_H
#define BERGAMOTSTAGE_RATELIMIT_FLEETDEMAND_H

#include "bergamotstage/core/Ids.h"
#include "bergamotstage/core/Time.h"
#include "bergamotstage/ratelimit/TokenDemand.h"

#include <map>
#include <vector>

namespace bergamotstage::ratelimit {

/// @brief Demand for one account's tokens over all VMs, as the VMs report it
/// to a holder of the account's slots when they borrow.
class FleetDemand {
public:
  /// @brief Replaces the report of one VM.
  void report(const VmId &Vm, std::vector<PriorityDemand> Demand, Instant Now);

  /// @brief Operations per second by priority, without outdated reports.
  ///
  /// The sum is at most 50 ms old. Complexity: linear in the reports when it is
  /// computed again.
  const std::map<unsigned, double> &total(Instant Now);

private:
  struct Report {
    std::vector<PriorityDemand> Demand;
    Instant At{};
  };

  std::map<VmId, Report> m_Reports;
  std::map<unsigned, double> m_Total;
  Instant m_TotalAt{};
};

/// @brief Part of each priority's demand that a rate covers.
///
/// A priority gets tokens only once all higher ones are covered.
/// @param Demand operations per second by priority
/// @param Rate tokens per second
std::vector<PriorityShare>
servableShares(const std::map<unsigned, double> &Demand, double Rate);

/// @brief Share of one priority in per mille; all of it if it is not listed.
unsigned shareOf(const std::vector<PriorityShare> &Shares, unsigned Priority);

} // namespace bergamotstage::ratelimit

#endif // BERGAMOTSTAGE_RATELIMIT_FLEETDEMAND_H
