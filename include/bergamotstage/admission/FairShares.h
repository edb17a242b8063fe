#ifndef BERGAMOTSTAGE_ADMISSION_FAIRSHARES_H
#define BERGAMOTSTAGE_ADMISSION_FAIRSHARES_H

#include "bergamotstage/core/Ids.h"

#include <map>

namespace bergamotstage::admission {

/// @brief Start-time fair queueing over client accounts by slot time.
///
/// Each account has a virtual finish time, in seconds of slot time. An account
/// that used more than its share is ahead of the others' virtual time.
class FairShares {
public:
  /// @brief Virtual start time of an account's next statement, in seconds.
  double startTag(const AccountId &Account) const;

  /// @brief Slot time in seconds that an account is ahead of the virtual time.
  double excess(const AccountId &Account) const {
    return startTag(Account) - m_VirtualTime;
  }

  /// @brief Charges a statement that starts with its expected slot time, where
  /// the account with the lowest start tag always goes first.
  void charge(const AccountId &Account, double Seconds) {
    charge(Account, Seconds, startTag(Account));
  }

  /// @brief Charges a statement that may start ahead of other accounts.
  /// @param Backlog lowest start tag of all accounts with waiting statements
  void charge(const AccountId &Account, double Seconds, double Backlog);

  /// @brief Corrects a charge once the real slot time is known.
  void correct(const AccountId &Account, double Expected, double Real);

private:
  std::map<AccountId, double> m_FinishTags; ///< Virtual times in seconds.
  double m_VirtualTime = 0;
};

} // namespace bergamotstage::admission

#endif // BERGAMOTSTAGE_ADMISSION_FAIRSHARES_H
