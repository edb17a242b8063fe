#ifndef BERGAMOTSTAGE_STANDIN_SITE_RATECONTRACT_H
#define BERGAMOTSTAGE_STANDIN_SITE_RATECONTRACT_H

#include "bergamotstage/pooling/SiteConfig.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <vector>

namespace bergamotstage::standin {

/// @brief Checks the operations of accounts against their rates.
class RateContract {
public:
  /// @param At when a target ran the operation's first statement; in order
  void add(const AccountId &Account, Instant At) {
    m_Starts[Account].push_back(At);
  }

  /// @brief Returns the largest excess of an account over its rate limit in any
  /// 5 s, after a tolerance of 10 % and 20 operations.
  double maxExcess(const pooling::SiteConfig &Config) const {
    double Max = 0;
    for (const auto &[Account, Times] : m_Starts) {
      const auto &Contract = Config.Accounts.at(Account);
      double Limit = (Contract.Rate * 5 + Contract.Burst) * 1.1 + 20;
      std::size_t First = 0;
      for (std::size_t Last = 0; Last < Times.size(); ++Last) {
        while (Times[Last] - Times[First] > seconds(5))
          ++First;
        Max = std::max(Max, static_cast<double>(Last - First + 1) - Limit);
      }
    }
    return Max;
  }

private:
  std::map<AccountId, std::vector<Instant>> m_Starts;
};

} // namespace bergamotstage::standin

#endif // BERGAMOTSTAGE_STANDIN_SITE_RATECONTRACT_H
