#ifndef BERGAMOTSTAGE_PLACEMENT_HOMEREGIONS_H
#define BERGAMOTSTAGE_PLACEMENT_HOMEREGIONS_H

#include "bergamotstage/core/Ids.h"

#include <map>
#include <optional>
#include <set>
#include <utility>

namespace bergamotstage::placement {

/// @brief Regions to which a route or a client account is restricted; empty for
/// no restriction.
using RegionSet = std::set<RegionId>;

/// @brief Decides in which data centres operations may run, and through which
/// they may travel.
class HomeRegions {
public:
  HomeRegions() = default;
  /// @param Regions region of each data centre
  explicit HomeRegions(std::map<DataCentreId, RegionId> Regions)
      : m_Regions(std::move(Regions)) {}

  /// @brief Whether an operation may run at a target in a data centre. Both
  /// restrictions bind; a data centre without a region meets none.
  bool mayRunIn(const DataCentreId &DataCentre, const RegionSet &OfRoute,
                const RegionSet &OfAccount) const;

  /// @brief Whether an operation's statements may travel to a VM in a data
  /// centre: in its home regions, or in the region of the caller's VM.
  bool mayPass(const DataCentreId &DataCentre, const DataCentreId &CallersVm,
               const RegionSet &OfRoute, const RegionSet &OfAccount) const;

private:
  std::optional<RegionId> regionOf(const DataCentreId &DataCentre) const;

  std::map<DataCentreId, RegionId> m_Regions;
};

} // namespace bergamotstage::placement

#endif // BERGAMOTSTAGE_PLACEMENT_HOMEREGIONS_H
