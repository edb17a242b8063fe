#include "bergamotstage/account/TokenBucket.h"

#include "bergamotstage/core/Invariant.h"

#include <algorithm>

namespace bergamotstage {
namespace {

constexpr Duration Never = std::chrono::hours(24);

} // namespace

TokenCount TokenBucket::room() const {
  return std::max(TokenCount{}, m_Contract.Burst - m_Lent);
}

void TokenBucket::earn(Instant Now) {
  if (Now <= m_Earned)
    return;
  std::int64_t Elapsed = (Now - m_Earned).count();
  m_Earned = Now;
  std::int64_t Missing = (room() - m_Held).Pico;
  std::int64_t Rate = m_Contract.Rate.MicroPerSecond;
  if (Rate == 0 || Missing <= 0)
    return;
  bool Full = Elapsed > Missing / Rate;
  m_Held.Pico += Full ? Missing : Elapsed * Rate;
}

void TokenBucket::configure(const TokenContract &Contract, Instant Now) {
  earn(Now);
  m_Contract = Contract;
  m_Held = std::min(m_Held, room());
}

void TokenBucket::fillUp(Instant Now) {
  earn(Now);
  m_Held = room();
}

void TokenBucket::empty(Instant Now) {
  earn(Now);
  m_Held = {};
}

TokenCount TokenBucket::available(Instant Now) {
  earn(Now);
  return m_Held;
}

bool TokenBucket::take(TokenCount Amount, Instant Now) {
  earn(Now);
  if (m_Held < Amount)
    return false;
  m_Held = m_Held - Amount;
  return true;
}

void TokenBucket::lend(TokenCount Amount, Instant Now) {
  bool Taken = take(Amount, Now);
  BERGAMOTSTAGE_INVARIANT(Taken, "only tokens that are held are lent");
  m_Lent = m_Lent + Amount;
}

void TokenBucket::settle(TokenCount Lent, TokenCount Returned, Instant Now) {
  earn(Now);
  BERGAMOTSTAGE_INVARIANT(!(m_Lent < Lent) && !(Lent < Returned),
                          "a loan is settled once, with no more than was lent");
  m_Lent = m_Lent - Lent;
  m_Held = std::min(m_Held + Returned, room());
}

void TokenBucket::giveBack(TokenCount Amount, Instant Now) {
  earn(Now);
  m_Held = std::min(m_Held + Amount, room());
}

Duration TokenBucket::until(TokenCount Amount, Instant Now) {
  earn(Now);
  if (!(m_Held < Amount))
    return Duration(0);
  if (m_Contract.Rate.MicroPerSecond == 0)
    return Never;
  std::int64_t Missing = (Amount - m_Held).Pico;
  return std::min(Never,
                  Duration(Missing / m_Contract.Rate.MicroPerSecond + 1));
}

} // namespace bergamotstage
