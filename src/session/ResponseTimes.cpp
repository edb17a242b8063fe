#include "bergamotstage/session/ResponseTimes.h"

#include <algorithm>

namespace bergamotstage {
namespace {

/// @brief A new sample has the weight NewWeight / TotalWeight in the average.
constexpr int NewWeight = 1;
constexpr int TotalWeight = 8;
constexpr Duration AverageLifetime = seconds(5);

} // namespace

void ResponseTimes::onStarted(const TargetId &Target) {
  ++m_Targets[Target].InFlight;
}

void ResponseTimes::onUnanswered(const TargetId &Target) {
  Times &Entry = m_Targets[Target];
  if (Entry.InFlight > 0)
    --Entry.InFlight;
}

void ResponseTimes::onAnswered(const TargetId &Target, Duration Elapsed,
                               Instant Now) {
  onUnanswered(Target);
  Times &Entry = m_Targets[Target];
  Entry.Average =
      Entry.Measured
          ? (Entry.Average * (TotalWeight - NewWeight) + Elapsed * NewWeight) /
                TotalWeight
          : Elapsed;
  Entry.Measured = true;
  Entry.UpdatedAt = Now;
}

Duration ResponseTimes::expectedTime(const TargetId &Target, unsigned Slots,
                                     Duration DefaultTime, Instant Now) const {
  auto Found = m_Targets.find(Target);
  if (Found == m_Targets.end())
    return DefaultTime;
  const Times &Entry = Found->second;
  bool Fresh = Entry.Measured && Now - Entry.UpdatedAt < AverageLifetime;
  Duration SingleTime = Fresh ? Entry.Average : DefaultTime;
  return SingleTime + SingleTime * Entry.InFlight / std::max(1U, Slots);
}

} // namespace bergamotstage
