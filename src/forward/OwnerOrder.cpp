#include "bergamotstage/forward/OwnerOrder.h"

#include "bergamotstage/forward/Rendezvous.h"

#include <algorithm>
#include <utility>

namespace bergamotstage {
namespace {

bool mayOwn(const MemberState &Member) {
  return Member.Reachable && !Member.Leaving;
}

} // namespace

OwnerOrder::Rank OwnerOrder::rankOf(const MemberState &Member) const {
  return {Member.DataCentre == m_PreferredCentre,
          rendezvousScore(m_Subject, Member)};
}

void OwnerOrder::rebuild(const MemberMap &Members) {
  std::vector<std::pair<Rank, const VmId *>> Ranked;
  Ranked.reserve(Members.size());
  for (const auto &[Id, Member] : Members)
    if (mayOwn(Member))
      Ranked.emplace_back(rankOf(Member), &Id);
  std::sort(Ranked.begin(), Ranked.end(),
            [](const auto &Left, const auto &Right) {
              return Left.first < Right.first;
            });
  m_Vms.clear();
  m_Ranks.clear();
  for (const auto &[Position, Id] : Ranked) {
    m_Ranks.push_back(Position);
    m_Vms.push_back(*Id);
  }
}

void OwnerOrder::update(const VmId &Vm, const MemberState *Member) {
  auto Old = std::find(m_Vms.begin(), m_Vms.end(), Vm);
  if (Old != m_Vms.end()) {
    m_Ranks.erase(m_Ranks.begin() + (Old - m_Vms.begin()));
    m_Vms.erase(Old);
  }
  if (Member == nullptr || !mayOwn(*Member))
    return;
  Rank Position = rankOf(*Member);
  auto At = std::upper_bound(m_Ranks.begin(), m_Ranks.end(), Position);
  m_Vms.insert(m_Vms.begin() + (At - m_Ranks.begin()), Vm);
  m_Ranks.insert(At, Position);
}

} // namespace bergamotstage
