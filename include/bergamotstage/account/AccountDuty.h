#ifndef BERGAMOTSTAGE_ACCOUNT_ACCOUNTDUTY_H
#define BERGAMOTSTAGE_ACCOUNT_ACCOUNTDUTY_H

#include "bergamotstage/account/TokenBucket.h"
#include "bergamotstage/core/Outcome.h"
#include "bergamotstage/node/NodeContext.h"

#include <tl/expected.hpp>

#include <functional>
#include <map>

namespace bergamotstage {

/// @brief Keys and rates of client accounts.
class AccountDuty {
public:
  using Admitted = tl::expected<void, Refusal>;
  using AdmitCallback = std::function<void(Admitted)>;

  explicit AccountDuty(NodeContext &Context) : m_Context(Context) {}

  /// @brief Takes over rates and bursts of the rules now in force.
  void rulesChanged();

  /// @brief Takes one statement's token, at once or after a loan.
  /// @param Done gets the refusal, which is truly "not run", or nothing
  void admit(const AccountId &Account, const AdmitCallback &Done);

  /// @brief Takes a message about tokens from another VM.
  void peerReceived(const PeerReceived &Event);

private:
  NodeContext &m_Context;
  std::map<AccountId, TokenBucket> m_Buckets;
};

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_ACCOUNT_ACCOUNTDUTY_H
