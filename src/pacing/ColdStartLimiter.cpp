#include "bergamotstage/pacing/ColdStartLimiter.h"

#include <algorithm>
#include <cmath>

namespace bergamotstage::pacing {
namespace {

/// Statements on their way to a target are delayed by up to 100 ms more than
/// others, so that what is sent in 1.1 s may arrive within a second.
constexpr double WindowSeconds = 1.1;
/// Part of the first VM in the order, and of each next one in the rest. With
/// an overage of 1.5 the first gets about the configured rate on its own.
constexpr double FirstPart = 2.0 / 3;
/// A statement that opens a transaction is sent with the request that opens it.
constexpr double MinBurst = 2;

} // namespace

void ColdStartLimiter::setBound(const ColdBound &Bound,
                                std::optional<unsigned> Rank, Instant Now) {
  earn(Now);
  // What a previous process on this VM sent is unknown, so that nothing is
  // credited at the start.
  bool Begins = Bound.appliesAt(Now) && !m_Bound.appliesAt(Now);
  if (Begins)
    m_Credit = 0;
  m_Bound = Bound;
  double Part = Rank ? FirstPart * std::pow(1 - FirstPart, *Rank) : 0;
  double Share = Bound.allowed() * Part;
  m_Burst = std::min(Share, std::max(MinBurst, Bound.Slack * Part));
  m_Rate = (Share - m_Burst) / WindowSeconds;
  m_Credit = std::min(m_Credit, m_Burst);
}

double ColdStartLimiter::creditAt(Instant Now) const {
  return std::min(m_Burst, m_Credit + m_Rate * toSeconds(Now - m_EarnedAt));
}

void ColdStartLimiter::earn(Instant Now) {
  m_Credit = creditAt(Now);
  m_EarnedAt = Now;
}

bool ColdStartLimiter::maySend(unsigned Count, Instant Now) const {
  return !m_Bound.appliesAt(Now) || creditAt(Now) >= Count;
}

void ColdStartLimiter::recordSent(Instant Now) {
  if (!m_Bound.appliesAt(Now))
    return;
  earn(Now);
  m_Credit -= 1;
}

std::optional<double> ColdStartLimiter::rate(Instant Now) const {
  if (!m_Bound.appliesAt(Now))
    return std::nullopt;
  return m_Rate;
}

} // namespace bergamotstage::pacing
