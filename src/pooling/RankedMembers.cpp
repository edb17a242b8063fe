#include "bergamotstage/pooling/RankedMembers.h"

#include <utility>

namespace bergamotstage::pooling {
namespace {

/// More changes at once cost about as much as ranking all VMs anew.
constexpr std::size_t MaxChanges = 16;

/// @brief Whether two states of a VM may differ in its rank.
bool rankDiffers(const MemberState &Left, const MemberState &Right) {
  return Left.DataCentre != Right.DataCentre || Left.Cores != Right.Cores ||
         Left.Reachable != Right.Reachable || Left.Leaving != Right.Leaving;
}

} // namespace

const MemberState *RankedMembers::find(const VmId &Vm) const {
  auto Found = m_Members.find(Vm);
  return Found == m_Members.end() ? nullptr : &Found->second;
}

void RankedMembers::recordChange(const VmId &Vm) {
  m_Changes[++m_Version] = Vm;
  if (m_Changes.size() > MaxChanges)
    m_Changes.erase(m_Changes.begin());
}

void RankedMembers::upsert(const MemberState &Member) {
  auto [Found, Added] = m_Members.try_emplace(Member.Vm, Member);
  // A VM introduces itself on each new stream, mostly unchanged.
  bool Changed = Added || rankDiffers(Found->second, Member);
  Found->second = Member;
  if (Changed)
    recordChange(Member.Vm);
}

void RankedMembers::erase(const VmId &Vm) {
  if (m_Members.erase(Vm) > 0)
    recordChange(Vm);
}

void RankedMembers::setLeaving(const VmId &Vm) {
  m_Members.at(Vm).Leaving = true;
  recordChange(Vm);
}

bool RankedMembers::setReachable(const VmId &Vm, bool Reachable) {
  auto Found = m_Members.find(Vm);
  if (Found == m_Members.end() || Found->second.Reachable == Reachable)
    return false;
  Found->second.Reachable = Reachable;
  recordChange(Vm);
  return true;
}

const std::vector<VmId> &
RankedMembers::ownerOrder(const std::string &Subject,
                          const DataCentreId &Nearby) const {
  auto Found = m_Orders.find({Subject, Nearby});
  if (Found == m_Orders.end()) {
    CachedOrder Created{OwnerOrder(Subject, Nearby), m_Version};
    Created.Order.rebuild(m_Members);
    Found =
        m_Orders.emplace(std::pair(Subject, Nearby), std::move(Created)).first;
  }
  bringUpToDate(Found->second);
  return Found->second.Order.vms();
}

void RankedMembers::bringUpToDate(CachedOrder &Cached) const {
  if (Cached.Version == m_Version)
    return;
  if (m_Version - Cached.Version > m_Changes.size())
    Cached.Order.rebuild(m_Members);
  else
    for (auto Change = m_Changes.upper_bound(Cached.Version);
         Change != m_Changes.end(); ++Change)
      Cached.Order.update(Change->second, find(Change->second));
  Cached.Version = m_Version;
}

} // namespace bergamotstage::pooling
