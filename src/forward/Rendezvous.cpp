#include "bergamotstage/forward/Rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <string>

namespace bergamotstage {
namespace {

struct Ranked {
  VmId Vm;
  bool IsNear = false;
  std::uint64_t Weight = 0;
};

std::uint64_t rendezvousWeight(std::string_view Subject, const VmId &Vm) {
  std::string Pair = std::string(Subject) + '\n' + Vm.value();
  return XXH3_64bits(Pair.data(), Pair.size());
}

} // namespace

std::vector<VmId> rankOwners(std::string_view Subject, const DataCentreId &Near,
                             const MemberMap &Members) {
  std::vector<Ranked> Fit;
  for (const auto &[Id, Member] : Members)
    if (Member.Reachable && !Member.Leaving)
      Fit.push_back(
          {Id, Member.DataCentre == Near, rendezvousWeight(Subject, Id)});
  std::sort(Fit.begin(), Fit.end(), [](const Ranked &Left, const Ranked &Right) {
    if (Left.IsNear != Right.IsNear)
      return Left.IsNear;
    return Left.Weight > Right.Weight;
  });
  std::vector<VmId> Order;
  Order.reserve(Fit.size());
  for (const Ranked &Entry : Fit)
    Order.push_back(Entry.Vm);
  return Order;
}

} // namespace bergamotstage
