#include "bergamotstage/ratelimit/ShareFilter.h"

#include "bergamotstage/ratelimit/FleetDemand.h"

#include <algorithm>
#include <utility>

namespace bergamotstage::ratelimit {
namespace {

/// Afterwards one operation asks a holder again.
constexpr Duration SharesLifetime = seconds(1);
/// Admits slightly more than the share, so that tokens are not left over when
/// the demand is overestimated.
constexpr double Overbooking = 1.1;
constexpr double MaxCredit = 2;
/// Retries may use the credit of the next few operations.
constexpr double MinRetryCredit = -2;

} // namespace

void ShareFilter::update(std::vector<PriorityShare> Shares, Instant Now) {
  m_Shares = std::move(Shares);
  m_UpdatedAt = Now;
}

unsigned ShareFilter::share(unsigned Priority, Instant Now) const {
  bool Recent = m_UpdatedAt != Instant() && Now - m_UpdatedAt <= SharesLifetime;
  return Recent ? shareOf(m_Shares, Priority) : PriorityShare::All;
}

bool ShareFilter::admits(const Urgency &Need, Instant Now) {
  unsigned Permille = share(Need.Priority, Now);
  if (Permille >= PriorityShare::All)
    return true;
  double &Credit = m_Credit[Need.Priority];
  Credit =
      std::min(MaxCredit, Credit + Overbooking * Permille / PriorityShare::All);
  double Required = Need.IsRetry && Permille > 0 ? MinRetryCredit : 1;
  if (Credit < Required)
    return false;
  Credit -= 1;
  return true;
}

} // namespace bergamotstage::ratelimit
