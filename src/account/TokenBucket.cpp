#include "bergamotstage/account/TokenBucket.h"

#include "bergamotstage/core/Invariant.h"

#include <algorithm>

namespace bergamotstage {
namespace {

constexpr Duration MaxTimeUntil = std::chrono::hours(24);

} // namespace

TokenCount TokenBucket::capacity() const {
  return std::max(TokenCount{}, m_Contract.Burst - m_Lent);
}

void TokenBucket::refill(Instant Now) {
  if (Now <= m_RefilledAt)
    return;
  std::int64_t Elapsed = (Now - m_RefilledAt).count();
  m_RefilledAt = Now;
  std::int64_t Deficit = (capacity() - m_Available).Pico;
  std::int64_t Rate = m_Contract.Rate.MicroPerSecond;
  if (Rate == 0 || Deficit <= 0)
    return;
  bool Full = Elapsed > Deficit / Rate;
  m_Available.Pico += Full ? Deficit : Elapsed * Rate;
}

void TokenBucket::configure(const TokenContract &Contract, Instant Now) {
  refill(Now);
  m_Contract = Contract;
  m_Available = std::min(m_Available, capacity());
}

void TokenBucket::fill(Instant Now) {
  refill(Now);
  m_Available = capacity();
}

void TokenBucket::clear(Instant Now) {
  refill(Now);
  m_Available = {};
}

TokenCount TokenBucket::available(Instant Now) {
  refill(Now);
  return m_Available;
}

bool TokenBucket::tryTake(TokenCount Amount, Instant Now) {
  refill(Now);
  if (m_Available < Amount)
    return false;
  m_Available = m_Available - Amount;
  return true;
}

void TokenBucket::lend(TokenCount Amount, Instant Now) {
  bool Taken = tryTake(Amount, Now);
  BERGAMOTSTAGE_INVARIANT(Taken, "only tokens that are held are lent");
  m_Lent = m_Lent + Amount;
}

void TokenBucket::settle(TokenCount Lent, TokenCount Returned, Instant Now) {
  refill(Now);
  BERGAMOTSTAGE_INVARIANT(!(m_Lent < Lent) && !(Lent < Returned),
                          "a loan is settled once, with no more than was lent");
  m_Lent = m_Lent - Lent;
  m_Available = std::min(m_Available + Returned, capacity());
}

void TokenBucket::refund(TokenCount Amount, Instant Now) {
  refill(Now);
  m_Available = std::min(m_Available + Amount, capacity());
}

Duration TokenBucket::timeUntil(TokenCount Amount, Instant Now) {
  refill(Now);
  if (!(m_Available < Amount))
    return Duration(0);
  if (m_Contract.Rate.MicroPerSecond == 0)
    return MaxTimeUntil;
  std::int64_t Deficit = (Amount - m_Available).Pico;
  return std::min(MaxTimeUntil,
                  Duration(Deficit / m_Contract.Rate.MicroPerSecond + 1));
}

} // namespace bergamotstage
