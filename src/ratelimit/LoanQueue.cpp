#include "bergamotstage/ratelimit/LoanQueue.h"

#include <algorithm>
#include <tuple>

namespace bergamotstage::ratelimit {

void LoanQueue::replace(const VmId &From,
                        const std::vector<WaitingOperations> &Waiting,
                        Instant Now, std::uint64_t Request) {
  erase(From);
  for (const WaitingOperations &Group : Waiting) {
    Entry Added{From, Group.Priority, Group.Count, Now + Group.MaxWait,
                Request};
    auto Place =
        std::upper_bound(m_Entries.begin(), m_Entries.end(), Added,
                         [](const Entry &Left, const Entry &Right) {
                           return std::tie(Left.Priority, Left.Deadline) <
                                  std::tie(Right.Priority, Right.Deadline);
                         });
    m_Entries.insert(Place, std::move(Added));
  }
}

void LoanQueue::erase(const VmId &From) {
  m_Entries.erase(
      std::remove_if(m_Entries.begin(), m_Entries.end(),
                     [&From](const Entry &Next) { return Next.From == From; }),
      m_Entries.end());
}

bool LoanQueue::contains(const VmId &From) const {
  return std::any_of(m_Entries.begin(), m_Entries.end(),
                     [&From](const Entry &Next) { return Next.From == From; });
}

} // namespace bergamotstage::ratelimit
