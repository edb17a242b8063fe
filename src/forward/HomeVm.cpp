#include "bergamotstage/forward/HomeVm.h"

#include "bergamotstage/forward/Rendezvous.h"

namespace bergamotstage {

std::optional<VmId> chooseHomeVm(const DatabaseId &Database,
                                 const DataCentreId &PreferredCentre,
                                 const MemberMap &Members) {
  std::vector<VmId> Order =
      rankOwners(Database.value(), PreferredCentre, Members);
  if (Order.empty())
    return std::nullopt;
  return Order.front();
}

} // namespace bergamotstage
