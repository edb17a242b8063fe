#include "bergamotstage/ratelimit/FleetDemand.h"

#include <algorithm>
#include <utility>

namespace bergamotstage::ratelimit {
namespace {

/// A VM in need of tokens asks one of up to four holders every few hundred
/// milliseconds, so that each holder hears of it within this time.
constexpr Duration ReportLifetime = milliseconds(1500);
constexpr Duration TotalLifetime = milliseconds(50);

} // namespace

void FleetDemand::report(const VmId &Vm, std::vector<PriorityDemand> Demand,
                         Instant Now) {
  m_Reports[Vm] = {std::move(Demand), Now};
}

const std::map<unsigned, double> &FleetDemand::total(Instant Now) {
  if (m_TotalAt != Instant() && Now - m_TotalAt < TotalLifetime)
    return m_Total;
  m_TotalAt = Now;
  m_Total.clear();
  for (auto Entry = m_Reports.begin(); Entry != m_Reports.end();) {
    if (Entry->second.At + ReportLifetime < Now) {
      Entry = m_Reports.erase(Entry);
      continue;
    }
    for (const PriorityDemand &Level : Entry->second.Demand)
      m_Total[Level.Priority] += static_cast<double>(Level.MilliPerSecond) /
                                 PriorityDemand::MilliPerOperation;
    ++Entry;
  }
  return m_Total;
}

std::vector<PriorityShare>
servableShares(const std::map<unsigned, double> &Demand, double Rate) {
  std::vector<PriorityShare> Shares;
  double Left = std::max(0.0, Rate);
  for (const auto &[Priority, Wanted] : Demand) {
    double Served = std::min(Left, Wanted);
    Left -= Served;
    double Part = Wanted > 0 ? Served / Wanted : 1;
    Shares.push_back(
        {Priority, static_cast<unsigned>(Part * PriorityShare::All)});
  }
  return Shares;
}

unsigned shareOf(const std::vector<PriorityShare> &Shares, unsigned Priority) {
  auto Found = std::find_if(Shares.begin(), Shares.end(),
                            [Priority](const PriorityShare &Entry) {
                              return Entry.Priority == Priority;
                            });
  return Found == Shares.end() ? PriorityShare::All : Found->Permille;
}

} // namespace bergamotstage::ratelimit
