#include "bergamotstage/session/ResponseTimes.h"

#include <algorithm>

namespace bergamotstage {
namespace {

constexpr int NewWeight = 1; ///< Of AverageOver parts.
constexpr int AverageOver = 8;
constexpr Duration ForgetAfter = seconds(5);

} // namespace

void ResponseTimes::started(const TargetId &Target) {
  ++m_Targets[Target].Outstanding;
}

void ResponseTimes::ended(const TargetId &Target) {
  Times &At = m_Targets[Target];
  if (At.Outstanding > 0)
    --At.Outstanding;
}

void ResponseTimes::answered(const TargetId &Target, Duration Took,
                             Instant Now) {
  ended(Target);
  Times &At = m_Targets[Target];
  At.Average =
      At.Known ? (At.Average * (AverageOver - NewWeight) + Took * NewWeight) /
                     AverageOver
               : Took;
  At.Known = true;
  At.LearntAt = Now;
}

Duration ResponseTimes::expected(const TargetId &Target, unsigned Slots,
                                 Duration Unknown, Instant Now) const {
  auto Found = m_Targets.find(Target);
  if (Found == m_Targets.end())
    return Unknown;
  const Times &At = Found->second;
  bool Fresh = At.Known && Now - At.LearntAt < ForgetAfter;
  Duration One = Fresh ? At.Average : Unknown;
  return One + One * At.Outstanding / std::max(1U, Slots);
}

} // namespace bergamotstage
