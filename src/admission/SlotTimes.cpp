#include "bergamotstage/admission/SlotTimes.h"

#include <algorithm>

namespace bergamotstage::admission {
namespace {

/// Assumed before any statement was measured.
constexpr double InitialSeconds = 0.02;
/// Weight of the newest sample once enough are known; a change of the load
/// shows after about twenty statements.
constexpr double NewestWeight = 0.05;
/// Routes come and go with the configuration.
constexpr std::size_t MaxKinds = 256;

void add(SlotTimes::Estimate &Mean, double Seconds) {
  ++Mean.Samples;
  double Weight = std::max(NewestWeight, 1 / static_cast<double>(Mean.Samples));
  Mean.Seconds += Weight * (Seconds - Mean.Seconds);
}

} // namespace

const char *workClassName(WorkClass Class) {
  switch (Class) {
  case WorkClass::Read:
    return "read";
  case WorkClass::Write:
    return "write";
  case WorkClass::Commit:
    return "commit";
  }
  return "unknown";
}

void SlotTimes::record(const WorkKind &Kind, Duration Held) {
  double Seconds = toSeconds(Held);
  add(m_All, Seconds);
  if (m_Kinds.size() >= MaxKinds && m_Kinds.count(Kind) == 0)
    m_Kinds.clear();
  add(m_Kinds[Kind], Seconds);
}

double SlotTimes::expected(const WorkKind &Kind) const {
  auto Found = m_Kinds.find(Kind);
  if (Found != m_Kinds.end())
    return Found->second.Seconds;
  return m_All.Samples > 0 ? m_All.Seconds : InitialSeconds;
}

} // namespace bergamotstage::admission
