#include "bergamotstage/pooling/RatePlan.h"

#include "bergamotstage/core/Parse.h"

#include <algorithm>
#include <sstream>

namespace bergamotstage::pooling {

RatePlan RatePlan::equal(const std::vector<VmId> &Vms) {
  RatePlan Plan;
  if (Vms.empty())
    return Plan;
  std::uint64_t Each = Whole / Vms.size();
  for (const VmId &Vm : Vms)
    Plan.m_Parts[Vm] = Each;
  Plan.m_Parts[Vms.front()] += Whole - Each * Plan.m_Parts.size();
  return Plan;
}

std::optional<RatePlan> RatePlan::parse(std::string_view Text) {
  RatePlan Plan;
  std::istringstream In{std::string(Text)};
  std::string Name;
  std::string Amount;
  std::uint64_t Sum = 0;
  while (In >> Name >> Amount) {
    auto Part = parseCount(Amount);
    if (!Part || *Part > Whole || Plan.m_Parts.count(VmId(Name)) > 0)
      return std::nullopt;
    Sum += *Part;
    Plan.m_Parts[VmId(Name)] = *Part;
  }
  if (Sum > Whole || Plan.m_Parts.empty())
    return std::nullopt;
  return Plan;
}

std::string RatePlan::format() const {
  std::string Text;
  for (const auto &[Vm, Part] : m_Parts)
    Text += Vm.value() + " " + std::to_string(Part) + "\n";
  return Text;
}

std::uint64_t RatePlan::part(const VmId &Vm) const {
  auto Found = m_Parts.find(Vm);
  return Found == m_Parts.end() ? 0 : Found->second;
}

void RatePlan::move(const VmId &From, const VmId &To, std::uint64_t Amount) {
  std::uint64_t Moved = std::min(Amount, part(From));
  m_Parts[From] -= Moved;
  m_Parts[To] += Moved;
}

void RatePlan::inherit(const VmId &From, const VmId &To) {
  move(From, To, part(From));
  m_Parts.erase(From);
}

} // namespace bergamotstage::pooling
