#ifndef BERGAMOTSTAGE_STANDIN_ADMISSIONRATECHECK_H
#define BERGAMOTSTAGE_STANDIN_ADMISSIONRATECHECK_H

#include "bergamotstage/account/TokenCount.h"
#include "bergamotstage/core/Time.h"

#include <algorithm>
#include <cstdint>

namespace bergamotstage::standin {

/// @brief Checks that no time window has more than burst + rate * window
/// admissions.
///
/// A token bucket that starts full goes below zero exactly if some window that
/// ends at this admission has too many, so each check takes constant time.
class AdmissionRateCheck {
public:
  explicit AdmissionRateCheck(const TokenContract &Contract)
      : m_Contract(Contract), m_Level(Contract.Burst) {}

  /// @brief Counts one admission; times must not decrease.
  void onAdmission(Instant Now) {
    refill(Now);
    m_Level = m_Level - OneToken;
    m_Lowest = std::min(m_Lowest, m_Level);
    ++m_Count;
  }

  /// @brief Replaces the contract from now on.
  ///
  /// Windows that begin earlier are bounded by the greater contract; windows
  /// that begin now are checked against the new one with a full burst.
  void setContract(const TokenContract &Contract, Instant Now) {
    refill(Now);
    m_Contract = Contract;
    m_Level = Contract.Burst;
  }

  /// @brief Returns the most admissions above the contract in any window.
  double excess() const {
    return static_cast<double>(std::max<std::int64_t>(0, -m_Lowest.Pico)) /
           static_cast<double>(TokenCount::PicoPerToken);
  }
  std::uint64_t count() const { return m_Count; }

private:
  void refill(Instant Now) {
    std::int64_t Elapsed = (Now - m_Last).count();
    std::int64_t Missing = (m_Contract.Burst - m_Level).Pico;
    std::int64_t Rate = m_Contract.Rate.MicroPerSecond;
    bool Full = Rate > 0 && Elapsed > Missing / Rate;
    m_Level.Pico += Full ? Missing : Elapsed * Rate;
    m_Last = Now;
  }

  TokenContract m_Contract;
  TokenCount m_Level;
  TokenCount m_Lowest;
  Instant m_Last{};
  std::uint64_t m_Count = 0;
};

} // namespace bergamotstage::standin

#endif // BERGAMOTSTAGE_STANDIN_ADMISSIONRATECHECK_H
