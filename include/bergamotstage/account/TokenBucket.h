#ifndef BERGAMOTSTAGE_ACCOUNT_TOKENBUCKET_H
#define BERGAMOTSTAGE_ACCOUNT_TOKENBUCKET_H

#include "bergamotstage/core/Time.h"

#include <algorithm>

namespace bergamotstage {

/// @brief A token bucket on a clock that is passed in.
class TokenBucket {
public:
  /// @param Rate tokens a second
  /// @param Burst most tokens held
  TokenBucket(double Rate, double Burst, Instant Now)
      : m_Rate(Rate), m_Burst(Burst), m_Tokens(Burst), m_Filled(Now) {}

  /// @brief Takes one token if there is one. Complexity: constant.
  bool take(Instant Now) {
    fill(Now);
    if (m_Tokens < 1)
      return false;
    m_Tokens -= 1;
    return true;
  }

  /// @brief Time until one token is there.
  Duration untilNext(Instant Now) {
    fill(Now);
    double Missing = std::max(0.0, 1 - m_Tokens);
    return Duration(static_cast<Duration::rep>(Missing / m_Rate * 1e6) + 1);
  }

private:
  void fill(Instant Now) {
    if (Now <= m_Filled)
      return;
    m_Tokens = std::min(m_Burst, m_Tokens + toSeconds(Now - m_Filled) * m_Rate);
    m_Filled = Now;
  }

  double m_Rate;
  double m_Burst;
  double m_Tokens;
  Instant m_Filled;
};

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_ACCOUNT_TOKENBUCKET_H
