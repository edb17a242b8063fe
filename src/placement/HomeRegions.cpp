#include "bergamotstage/placement/HomeRegions.h"

namespace bergamotstage::placement {
namespace {

bool admits(const RegionSet &Allowed, const std::optional<RegionId> &Region) {
  return Allowed.empty() || (Region && Allowed.count(*Region) > 0);
}

} // namespace

std::optional<RegionId>
HomeRegions::regionOf(const DataCentreId &DataCentre) const {
  auto Found = m_Regions.find(DataCentre);
  if (Found == m_Regions.end())
    return std::nullopt;
  return Found->second;
}

bool HomeRegions::mayRunIn(const DataCentreId &DataCentre,
                           const RegionSet &OfRoute,
                           const RegionSet &OfAccount) const {
  if (OfRoute.empty() && OfAccount.empty())
    return true;
  std::optional<RegionId> Region = regionOf(DataCentre);
  return admits(OfRoute, Region) && admits(OfAccount, Region);
}

bool HomeRegions::mayPass(const DataCentreId &DataCentre,
                          const DataCentreId &CallersVm,
                          const RegionSet &OfRoute,
                          const RegionSet &OfAccount) const {
  if (mayRunIn(DataCentre, OfRoute, OfAccount))
    return true;
  std::optional<RegionId> Region = regionOf(DataCentre);
  return Region && Region == regionOf(CallersVm);
}

} // namespace bergamotstage::placement
