#include "bergamotstage/fleetcost/TargetHistory.h"

namespace bergamotstage::fleetcost {

void TargetHistory::start(std::uint64_t Version) {
  m_Version = Version;
  m_Oldest = Version;
  m_Latest.clear();
  m_ByVersion.clear();
}

void TargetHistory::record(const TargetId &Id) {
  std::uint64_t &Latest = m_Latest[Id];
  m_ByVersion.erase(Latest);
  Latest = ++m_Version;
  m_ByVersion[m_Version] = Id;
  if (m_ByVersion.size() <= MaxChanges)
    return;
  auto First = m_ByVersion.begin();
  m_Oldest = First->first;
  m_Latest.erase(First->second);
  m_ByVersion.erase(First);
}

std::optional<std::vector<TargetId>>
TargetHistory::changedSince(std::uint64_t Version) const {
  if (Version < m_Oldest || Version > m_Version)
    return std::nullopt;
  std::vector<TargetId> Changed;
  for (auto Next = m_ByVersion.upper_bound(Version); Next != m_ByVersion.end();
       ++Next)
    Changed.push_back(Next->second);
  return Changed;
}

} // namespace bergamotstage::fleetcost
