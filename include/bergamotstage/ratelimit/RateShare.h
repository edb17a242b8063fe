#ifndef BERGAMOTSTAGE_RATELIMIT_RATESHARE_H
#define BERGAMOTSTAGE_RATELIMIT_RATESHARE_H

#include "bergamotstage/account/TokenBucket.h"
#include "bergamotstage/pooling/Context.h"
#include "bergamotstage/pooling/FleetMessage.h"
#include "bergamotstage/pooling/SiteConfig.h"
#include "bergamotstage/ratelimit/RatePlan.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace bergamotstage::ratelimit {

/// @brief This VM's share of the rate of every client account.
///
/// The shares of all VMs sum up to at most one, and each VM fills its token
/// buckets at its share of the rates. A lender debits tokens before it sends
/// them: a lost message loses tokens, and none is spent twice, whichever VM
/// crashes, stalls or is partitioned.
class RateShare {
public:
  /// @brief Admission, or the delay before a retry.
  struct Decision {
    bool Admitted = false;
    Duration RetryAfter{};
  };
  using AdmitCallback = std::function<void(const Decision &)>;
  using SendHook = std::function<void(const VmId &, pooling::FleetMessage &&)>;
  using PeersHook = std::function<std::vector<VmId>()>;

  /// @param Peers returns the reachable VMs in ascending order
  RateShare(pooling::Context &Ctx, SendHook Send, PeersHook Peers)
      : m_Context(Ctx), m_Send(std::move(Send)), m_Peers(std::move(Peers)) {}

  /// @brief Sets rates and bursts. Complexity: linear in the accounts.
  void configure(const std::map<AccountId, pooling::AccountConfig> &Accounts);

  /// @brief Sets the plan and the slots that this VM may spend.
  /// @param LeaseEnd nothing of the slots is spent or lent from then on, also
  /// if this VM was frozen and runs again later
  void setPlan(std::shared_ptr<const RatePlan> Plan,
               const std::set<RatePlan::Slot> &Usable, Instant LeaseEnd);
  /// @brief Enables requests for loans; this VM always lends.
  void setBorrowing(bool Enabled) { m_BorrowingEnabled = Enabled; }
  /// @brief Number of slots that this VM may spend.
  std::size_t slotCount() const { return m_Usable.size(); }

  /// @brief Consumes a token for one operation, at once or after a short wait.
  ///
  /// Accounts without a contract are admitted.
  void admit(const AccountId &Account, AdmitCallback Callback);

  /// @brief Consumes a token if one is available at once.
  bool tryAdmit(const AccountId &Account);

  /// @brief Returns the token of an operation that was not run.
  void refund(const AccountId &Account);

  void onTokenMessage(const VmId &From, const pooling::TokenRequest &Request);
  void onTokenMessage(const VmId &From, const pooling::TokenGrant &Grant);

private:
  struct PendingAdmission {
    Instant Deadline;
    AdmitCallback Callback;
  };
  struct Lender {
    Instant NotBefore{}; ///< Backoff after it had no tokens.
    std::uint64_t LeftMilliTokens = 0;
  };
  struct AccountState {
    pooling::AccountConfig Contract;
    TokenBucket Bucket;
    std::vector<VmId> Holders; ///< VMs with slots of the account.
    TokenCount Borrowed;
    Instant BorrowedAt{};
    std::deque<PendingAdmission> Pending;
    std::map<VmId, Lender> Lenders;
    std::optional<VmId> PendingLender;
    Instant RequestedAt{};
    double Demand = 0; ///< Operations per second, moving average.
    unsigned RecentCount = 0;
    Instant WindowStart{};
    std::optional<TimerId> WakeTimer;
  };

  void applyContract(AccountState &State);
  void creditStartup(AccountState &State);
  TokenCount ownTokens(AccountState &State);
  Duration timeUntilToken(AccountState &State);
  TokenCount available(AccountState &State);
  bool consumeToken(AccountState &State);
  void recordDemand(AccountState &State);
  void requestLoan(const AccountId &Id, AccountState &State);
  std::optional<VmId> chooseLender(const AccountState &State) const;
  void admitPending(const AccountId &Id);
  Duration retryAfter(AccountState &State);

  pooling::Context &m_Context;
  SendHook m_Send;
  PeersHook m_Peers;
  std::shared_ptr<const RatePlan> m_Plan;
  std::set<RatePlan::Slot> m_Usable;
  Instant m_LeaseEnd{};
  bool m_BorrowingEnabled = true;
  bool m_Started = false; ///< Slots were assigned before.
  std::map<AccountId, AccountState> m_Accounts;
};

} // namespace bergamotstage::ratelimit

#endif // BERGAMOTSTAGE_RATELIMIT_RATESHARE_H
