#include "bergamotstage/ratelimit/DemandMeter.h"

namespace bergamotstage::ratelimit {
namespace {

constexpr Duration Window = milliseconds(250);
/// Weight of the newest window; a change of demand shows within a second.
constexpr double NewestWeight = 0.4;
/// Windows without any operation after which the average is dropped.
constexpr int IdleWindows = 4;

} // namespace

void DemandMeter::closeWindow(Instant Now) {
  Duration Span = Now - m_WindowStart;
  if (Span < Window)
    return;
  bool Idle = Span >= IdleWindows * Window;
  for (auto &[Priority, State] : m_Levels) {
    double Rate = State.Count / toSeconds(Span);
    State.Rate = Idle ? Rate : State.Rate + NewestWeight * (Rate - State.Rate);
    State.Count = 0;
  }
  m_WindowStart = Now;
}

void DemandMeter::record(unsigned Priority, Instant Now) {
  closeWindow(Now);
  ++m_Levels[Priority].Count;
}

std::vector<PriorityDemand> DemandMeter::rates(Instant Now) {
  closeWindow(Now);
  std::vector<PriorityDemand> Rates;
  Rates.reserve(m_Levels.size());
  for (const auto &[Priority, State] : m_Levels)
    Rates.push_back(
        {Priority, static_cast<std::uint64_t>(
                       State.Rate * PriorityDemand::MilliPerOperation)});
  return Rates;
}

double DemandMeter::total(Instant Now) {
  closeWindow(Now);
  double Sum = 0;
  for (const auto &[Priority, State] : m_Levels)
    Sum += State.Rate;
  return Sum;
}

} // namespace bergamotstage::ratelimit
