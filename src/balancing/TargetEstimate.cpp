#include "bergamotstage/balancing/TargetEstimate.h"

#include <algorithm>
#include <utility>

namespace bergamotstage::balancing {
namespace {

using pooling::TargetLoad;

/// Slot time of a statement before the owner has reported any.
constexpr Duration DefaultService = milliseconds(15);
/// A queue of a target is served, or has grown, within this time.
constexpr Duration WaitLifetime = seconds(1);
/// Statements without a reply are lost or answered by then; without replies no
/// report resets their count.
constexpr Duration SentLifetime = seconds(1);
/// Afterwards a read tries a slow target again.
constexpr Duration ServiceLifetime = seconds(3);
/// Range of the factor by which VMs read the same report differently.
constexpr double MinSpread = 0.5;
constexpr double MaxSpread = 1.5;
/// Makes equal targets take turns; far below one statement.
constexpr Duration TieBreak = milliseconds(1);

/// Three failures in a row, or half of the latest statements.
constexpr double FailureWeight = 0.25;
constexpr double EjectionFailureRate = 0.5;
constexpr Duration MinEjection = seconds(1);
constexpr Duration MaxEjection = seconds(4);

/// @brief Weight of a report, from 1 when it is new to 0.
double freshness(Duration Age, Duration Lifetime) {
  return std::clamp(1 - toSeconds(Age) / toSeconds(Lifetime), 0.0, 1.0);
}

} // namespace

void TargetEstimate::recordReport(const TargetLoad &Load, Instant Now) {
  m_Report = Load;
  m_ReportedAt = Now;
  m_SentSinceReport = 0;
}

void TargetEstimate::recordSent(Instant Now) {
  if (Now - m_LastSentAt >= SentLifetime)
    m_SentSinceReport = 0;
  ++m_SentSinceReport;
  m_LastSentAt = Now;
  bool StartsTrial = m_Backoff > Duration(0) && !isEjected(Now);
  if (!StartsTrial)
    return;
  m_OnTrial = true;
  m_EjectedUntil = Now + MinEjection;
}

void TargetEstimate::recordOutcome(bool Failed, Instant Now) {
  m_FailureRate += FailureWeight * ((Failed ? 1 : 0) - m_FailureRate);
  bool WasTrial = std::exchange(m_OnTrial, false);
  if (!Failed) {
    // The average still remembers the failures that caused the ejection.
    if (m_FailureRate < EjectionFailureRate)
      m_Backoff = Duration(0);
    if (WasTrial)
      m_EjectedUntil = Instant();
    return;
  }
  bool Continues = isEjected(Now) && !WasTrial;
  if (m_FailureRate < EjectionFailureRate || Continues)
    return;
  m_Backoff = std::clamp(m_Backoff * 2, MinEjection, MaxEjection);
  m_EjectedUntil = Now + m_Backoff;
}

Duration TargetEstimate::expectedTime(unsigned Slots, Instant Now,
                                      std::mt19937_64 &Random) const {
  bool Reported = m_ReportedAt != Instant();
  Duration Age = Now - m_ReportedAt;
  Duration Service = DefaultService;
  if (Reported && m_Report.Service > Duration(0) && Age < ServiceLifetime)
    Service = m_Report.Service;
  Duration Wait = Reported ? scaled(m_Report.Wait, freshness(Age, WaitLifetime))
                           : Duration(0);
  unsigned Sent = Now - m_LastSentAt < SentLifetime ? m_SentSinceReport : 0;
  Wait += scaled(Service, static_cast<double>(Sent) / std::max(1U, Slots));
  std::uniform_real_distribution<double> Spread(MinSpread, MaxSpread);
  std::uniform_real_distribution<double> Tie(0, 1);
  return Service + scaled(Wait, Spread(Random)) + scaled(TieBreak, Tie(Random));
}

} // namespace bergamotstage::balancing
