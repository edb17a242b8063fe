#include "EvacuationCheck.h"

#include <algorithm>

namespace bergamotstage::soak {
namespace {

/// After a fault, a VM is in contact when its next call succeeds: a long poll
/// that the store did not answer ends after 2.4 s, and the next one starts up
/// to 1.5 s later.
constexpr Duration MaxReconnectTime = milliseconds(3900);
constexpr std::size_t MaxViolations = 20;

} // namespace

void EvacuationCheck::begin(const DataCentreId &DataCentre,
                            Instant Acknowledged) {
  m_Evacuated[DataCentre] = {Acknowledged, std::nullopt};
}

void EvacuationCheck::loseContact(unsigned Vm, Instant Until) {
  m_InContactFrom.at(Vm) =
      std::max(m_InContactFrom.at(Vm), Until + MaxReconnectTime);
}

void EvacuationCheck::onStatement(unsigned Vm, const TargetId &Target,
                                  const DataCentreId &DataCentre,
                                  const std::string &Statement, Instant Now) {
  auto Found = m_Evacuated.find(DataCentre);
  if (Found == m_Evacuated.end())
    return;
  Found->second.LastStatement = Now;
  Instant Since = std::max(Found->second.Acknowledged, m_InContactFrom.at(Vm));
  if (Now <= Since + m_Bound || m_Violations.size() >= MaxViolations)
    return;
  auto Text = [](Duration Span) {
    return std::to_string(static_cast<long>(toMilliseconds(Span))) + " ms";
  };
  Instant Acknowledged = Found->second.Acknowledged;
  m_Violations.push_back("vm-" + std::to_string(Vm) + " sent " + Statement +
                         " to " + Target.value() + " in evacuated " +
                         DataCentre.value() + " " + Text(Now - Acknowledged) +
                         " after the acknowledgement, limit " +
                         Text(Since - Acknowledged + m_Bound));
}

std::optional<Duration>
EvacuationCheck::lastStatement(const DataCentreId &DataCentre) const {
  auto Found = m_Evacuated.find(DataCentre);
  if (Found == m_Evacuated.end() || !Found->second.LastStatement)
    return std::nullopt;
  return *Found->second.LastStatement - Found->second.Acknowledged;
}

} // namespace bergamotstage::soak
