#include "bergamotstage/target/Watchers.h"

#include <xxhash.h>

#include <algorithm>
#include <map>
#include <string>
#include <tuple>

namespace bergamotstage {
namespace {

std::uint64_t watcherWeight(const DatabaseId &Database, const VmId &Vm) {
  std::string Pair = Database.value() + '\n' + Vm.value() + "\nwatcher";
  return XXH3_64bits(Pair.data(), Pair.size());
}

} // namespace

std::vector<VmId> selectWatchers(const DatabaseId &Database,
                                 const MemberMap &Members) {
  std::map<DataCentreId, std::vector<std::pair<std::uint64_t, VmId>>> Centres;
  for (const auto &[Id, Member] : Members)
    if (Member.Reachable && !Member.Leaving)
      Centres[Member.DataCentre].emplace_back(watcherWeight(Database, Id), Id);
  std::vector<std::tuple<std::size_t, std::uint64_t, VmId>> Ranked;
  for (auto &[Centre, Vms] : Centres) {
    std::sort(Vms.begin(), Vms.end());
    for (std::size_t Rank = 0; Rank < Vms.size(); ++Rank)
      Ranked.emplace_back(Rank, Vms[Rank].first, Vms[Rank].second);
  }
  std::sort(Ranked.begin(), Ranked.end());
  std::vector<VmId> Watchers;
  for (const auto &[Rank, Weight, Id] : Ranked)
    if (Watchers.size() < MaxWatchers)
      Watchers.push_back(Id);
  return Watchers;
}

} // namespace bergamotstage
