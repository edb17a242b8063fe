#ifndef BERGAMOTSTAGE_ACCOUNT_ACCOUNTMANAGER_H
#define BERGAMOTSTAGE_ACCOUNT_ACCOUNTMANAGER_H

#include "bergamotstage/account/AccountRateLimiter.h"
#include "bergamotstage/node/NodeContext.h"

#include <map>
#include <memory>

namespace bergamotstage {

/// @brief Admits statements by the rate limits of their client accounts.
class AccountManager {
public:
  using AdmissionResult = bergamotstage::AdmissionResult;
  using AdmitCallback = bergamotstage::AdmitCallback;
  using LimiterMap = std::map<AccountId, std::unique_ptr<AccountRateLimiter>>;

  explicit AccountManager(NodeContext &Context) : m_Context(Context) {}

  /// @brief Applies the rates and bursts of the new rules.
  void onRulesChanged();

  /// @brief Takes a token for one statement, at once or after a loan.
  /// @param OnResult called once, with the refusal if the statement was "not
  /// run"
  void admit(const AccountId &Account, const AdmitCallback &OnResult);

  /// @brief Returns the token of a statement that certainly did not run.
  void refund(const AccountId &Account);

  /// @brief Hands all shares over to other VMs before the shutdown.
  void drain();
  /// @brief Whether no share is left to hand over, or the store is unavailable.
  bool isDrained() const;

  /// @brief Rate limiters of this VM by client account.
  const LimiterMap &limiters() const { return m_Limiters; }

  /// @brief Handles a message about tokens from another VM.
  void onPeerMessage(const PeerReceived &Event);

private:
  NodeContext &m_Context;
  LimiterMap m_Limiters; ///< Kept when an account leaves the rules.
};

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_ACCOUNT_ACCOUNTMANAGER_H
