#ifndef BERGAMOTSTAGE_RATELIMIT_SHAREFILTER_H
#define BERGAMOTSTAGE_RATELIMIT_SHAREFILTER_H

#include "bergamotstage/core/Time.h"
#include "bergamotstage/ratelimit/TokenDemand.h"

#include <map>
#include <vector>

namespace bergamotstage::ratelimit {

/// @brief Refuses at once the part of an account's demand that its rate does
/// not cover.
///
/// Operations that cannot get a token would otherwise compete with more urgent
/// ones and wait for nothing.
class ShareFilter {
public:
  /// @brief Sets the shares that a holder of the account's slots computed.
  void update(std::vector<PriorityShare> Shares, Instant Now);

  /// @brief Decides on one operation; retries precede new operations.
  bool admits(const Urgency &Need, Instant Now);

  /// @brief Share of a priority in per mille; all without recent shares.
  unsigned share(unsigned Priority, Instant Now) const;

private:
  std::vector<PriorityShare> m_Shares;
  Instant m_UpdatedAt{};
  std::map<unsigned, double> m_Credit; ///< Operations by priority.
};

} // namespace bergamotstage::ratelimit

#endif // BERGAMOTSTAGE_RATELIMIT_SHAREFILTER_H
