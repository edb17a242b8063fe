#include "bergamotstage/ratelimit/RatePlan.h"

#include <xxhash.h>

#include <algorithm>
#include <sstream>

namespace bergamotstage::ratelimit {
namespace {

/// Slots per VM in the first plan, so that some can move to later VMs.
constexpr std::size_t SlotsPerVm = 4;
/// The plan is stored in one row of at most 64 KiB; names of 30 bytes fit.
constexpr std::size_t MaxSlots = 1024;
/// In a plan with more slots than this, an account uses SlotsPerAccount.
constexpr std::size_t MaxSlotsForFullSpread = 64;
/// Few enough for whole tokens of small accounts in each slot, and enough to
/// keep three quarters of the rate when one VM fails.
constexpr std::size_t SlotsPerAccount = 4;

} // namespace

RatePlan RatePlan::uniform(const std::vector<VmId> &Vms) {
  RatePlan Plan;
  if (Vms.empty())
    return Plan;
  std::size_t Rounds =
      std::max<std::size_t>(1, std::min(SlotsPerVm, MaxSlots / Vms.size()));
  for (; Rounds > 0; --Rounds)
    Plan.m_Holders.insert(Plan.m_Holders.end(), Vms.begin(), Vms.end());
  return Plan;
}

std::optional<RatePlan> RatePlan::parse(std::string_view Text) {
  RatePlan Plan;
  std::istringstream In{std::string(Text)};
  std::string Name;
  while (In >> Name)
    Plan.m_Holders.emplace_back(Name);
  if (Plan.m_Holders.empty())
    return std::nullopt;
  return Plan;
}

std::string RatePlan::format() const {
  std::string Text;
  for (const VmId &Holder : m_Holders)
    Text += Holder.value() + "\n";
  return Text;
}

std::set<RatePlan::Slot> RatePlan::slotsOf(const VmId &Vm) const {
  std::set<Slot> Held;
  for (Slot Index = 0; Index < m_Holders.size(); ++Index)
    if (m_Holders[Index] == Vm)
      Held.insert(Index);
  return Held;
}

std::vector<RatePlan::Slot> RatePlan::slotsOf(const AccountId &Account) const {
  std::vector<Slot> Chosen;
  if (m_Holders.size() <= MaxSlotsForFullSpread) {
    for (Slot Index = 0; Index < m_Holders.size(); ++Index)
      Chosen.push_back(Index);
    return Chosen;
  }
  for (std::uint64_t Seed = 0; Chosen.size() < SlotsPerAccount; ++Seed) {
    auto Index =
        static_cast<Slot>(XXH3_64bits_withSeed(Account.value().data(),
                                               Account.value().size(), Seed) %
                          m_Holders.size());
    if (std::find(Chosen.begin(), Chosen.end(), Index) == Chosen.end())
      Chosen.push_back(Index);
  }
  return Chosen;
}

double RatePlan::share(const AccountId &Account,
                       const std::set<Slot> &Usable) const {
  std::vector<Slot> Slots = slotsOf(Account);
  auto UsableCount = std::count_if(Slots.begin(), Slots.end(), [&](Slot Index) {
    return Usable.count(Index) > 0;
  });
  return Slots.empty() ? 0
                       : static_cast<double>(UsableCount) /
                             static_cast<double>(Slots.size());
}

std::vector<VmId> RatePlan::holders(const AccountId &Account) const {
  std::set<VmId> Distinct;
  for (Slot Index : slotsOf(Account))
    Distinct.insert(m_Holders[Index]);
  return {Distinct.begin(), Distinct.end()};
}

std::map<VmId, double> RatePlan::holderShares(const AccountId &Account) const {
  std::map<VmId, double> Shares;
  std::vector<Slot> Slots = slotsOf(Account);
  for (Slot Index : Slots)
    Shares[m_Holders[Index]] += 1 / static_cast<double>(Slots.size());
  return Shares;
}

std::map<VmId, std::size_t> RatePlan::slotCounts() const {
  std::map<VmId, std::size_t> Counts;
  for (const VmId &Holder : m_Holders)
    ++Counts[Holder];
  return Counts;
}

std::set<VmId> RatePlan::holders() const {
  return {m_Holders.begin(), m_Holders.end()};
}

void RatePlan::moveSlots(const VmId &From, const VmId &To, std::size_t Count) {
  for (VmId &Holder : m_Holders) {
    if (Count == 0)
      return;
    if (Holder != From)
      continue;
    Holder = To;
    --Count;
  }
}

} // namespace bergamotstage::ratelimit
