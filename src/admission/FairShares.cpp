#include "bergamotstage/admission/FairShares.h"

#include <algorithm>

namespace bergamotstage::admission {

double FairShares::startTag(const AccountId &Account) const {
  auto Found = m_FinishTags.find(Account);
  double FinishTag = Found == m_FinishTags.end() ? 0 : Found->second;
  return std::max(FinishTag, m_VirtualTime);
}

void FairShares::charge(const AccountId &Account, double Seconds,
                        double Backlog) {
  double Start = startTag(Account);
  m_VirtualTime = std::max(m_VirtualTime, std::min(Start, Backlog));
  m_FinishTags[Account] = Start + Seconds;
}

void FairShares::correct(const AccountId &Account, double Expected,
                         double Real) {
  auto Found = m_FinishTags.find(Account);
  if (Found != m_FinishTags.end())
    Found->second += Real - Expected;
}

} // namespace bergamotstage::admission
