#include "bergamotstage/forward/HomeMap.h"

#include <xxhash.h>

#include <string>

namespace bergamotstage {
namespace {

std::uint64_t rendezvousWeight(const DatabaseId &Database, const VmId &Vm) {
  std::string Pair = Database.value() + '\n' + Vm.value();
  return XXH3_64bits(Pair.data(), Pair.size());
}

} // namespace

std::optional<VmId> homeOf(const DatabaseId &Database, const DataCentreId &Near,
                           const MemberMap &Members) {
  std::optional<VmId> Best;
  bool BestNear = false;
  std::uint64_t BestWeight = 0;
  for (const auto &[Id, Member] : Members) {
    if (!Member.Reachable || Member.Leaving)
      continue;
    bool IsNear = Member.DataCentre == Near;
    std::uint64_t Weight = rendezvousWeight(Database, Id);
    bool Better = !Best || (IsNear && !BestNear) ||
                  (IsNear == BestNear && Weight > BestWeight);
    if (!Better)
      continue;
    Best = Id;
    BestNear = IsNear;
    BestWeight = Weight;
  }
  return Best;
}

} // namespace bergamotstage
