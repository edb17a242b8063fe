#ifndef BERGAMOTSTAGE_RATELIMIT_RATESHARE_H
#define BERGAMOTSTAGE_RATELIMIT_RATESHARE_H

#include "bergamotstage/account/TokenBucket.h"
#include "bergamotstage/pooling/Context.h"
#include "bergamotstage/pooling/FleetMessage.h"
#include "bergamotstage/pooling/SiteConfig.h"
#include "bergamotstage/ratelimit/DemandMeter.h"
#include "bergamotstage/ratelimit/FleetDemand.h"
#include "bergamotstage/ratelimit/LoanQueue.h"
#include "bergamotstage/ratelimit/RatePlan.h"
#include "bergamotstage/ratelimit/RateSharing.h"
#include "bergamotstage/ratelimit/ShareFilter.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
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
  using ReachableHook = std::function<bool(const VmId &)>;

  /// @param IsReachable whether another VM is reachable; false for this one
  RateShare(pooling::Context &Ctx, SendHook Send, ReachableHook IsReachable)
      : m_Context(Ctx), m_Send(std::move(Send)),
        m_IsReachable(std::move(IsReachable)) {}

  /// @brief Sets rates and bursts. Complexity: linear in the accounts.
  void configure(const std::map<AccountId, pooling::AccountConfig> &Accounts);

  /// @brief Sets the plan and the slots that this VM may spend.
  /// @param LeaseEnd nothing of the slots is spent or lent from then on, also
  /// if this VM was frozen and runs again later
  void setPlan(std::shared_ptr<const RatePlan> Plan,
               const std::set<RatePlan::Slot> &Usable, Instant LeaseEnd);
  /// @brief Sets how this VM obtains tokens; it always lends. What waits is
  /// decided under the new rule.
  void setSharing(RateSharing Sharing);
  /// @brief Number of slots that this VM may spend.
  std::size_t slotCount() const { return m_Usable.size(); }

  /// @brief Consumes a token for one operation, at once or after a short wait.
  ///
  /// Accounts without a contract are admitted. With RateSharing::Priority, an
  /// operation waits for a part of its latency target at most, behind more
  /// urgent ones.
  void admit(const AccountId &Account, const Urgency &Need,
             AdmitCallback Callback);

  /// @brief Consumes a token if one is available at once.
  bool tryAdmit(const AccountId &Account, const Urgency &Need);

  /// @brief Returns the token of an operation that was not run.
  void refund(const AccountId &Account);

  void onTokenMessage(const VmId &From, const pooling::TokenRequest &Request);
  void onTokenMessage(const VmId &From, const pooling::TokenGrant &Grant);

  /// @brief Admissions of an account at one priority since the start.
  struct Counts {
    std::uint64_t Admitted = 0;
    std::uint64_t Refused = 0;
    Duration Waited{}; ///< Sum over the admitted operations.
  };
  /// @brief Counts by account and priority, for metrics.
  const std::map<std::pair<AccountId, unsigned>, Counts> &counts() const {
    return m_Counts;
  }

private:
  struct PendingAdmission {
    Urgency Need;
    Instant Since{};
    Instant Deadline{};
    unsigned RefusedRequests = 0; ///< Requests that got no token for it.
    AdmitCallback Callback;
  };
  struct Lender {
    Instant NotBefore{}; ///< Backoff after it had no tokens.
    /// Most urgent priority that it had no tokens for; others may be asked for.
    unsigned RefusedPriority = 0;
    std::uint64_t LeftMilliTokens = 0;
  };
  struct AccountState {
    pooling::AccountConfig Contract;
    TokenBucket Bucket;
    TokenCount Borrowed;
    Instant BorrowedAt{};
    std::deque<PendingAdmission> Pending;
    std::map<VmId, Lender> Lenders;
    std::optional<VmId> PendingLender;
    Instant RequestedAt{};
    Instant LostAt{}; ///< Without an answer, the request is lost from then on.
    unsigned RequestedPriority = 0; ///< Most urgent one of the last request.
    /// Requests that may still be answered, by number, and when they were sent.
    std::map<std::uint64_t, Instant> OpenRequests;
    DemandMeter Demand;
    std::optional<TimerId> WakeTimer;

    double OwnShare = 0; ///< Of the rate, in this VM's slots; from 0 to 1.
    /// Shares of the VMs with slots of the account, as planned.
    std::map<VmId, double> HolderShares;

    // With RateSharing::Priority.
    FleetDemand Fleet; ///< As reported to this VM as a holder.
    LoanQueue Loans;   ///< Requests of other VMs that wait for tokens.
    ShareFilter Filter;
    bool OverRate = false; ///< As logged last.
  };

  void applyContract(AccountState &State);
  void creditStartup(AccountState &State);
  TokenCount ownTokens(AccountState &State);
  Duration timeUntilToken(AccountState &State);
  TokenCount available(AccountState &State);
  bool consumeToken(AccountState &State, unsigned Priority);
  void requestLoan(const AccountId &Id, AccountState &State);
  std::optional<VmId> chooseLender(const AccountState &State,
                                   unsigned Priority) const;
  void admitPending(const AccountId &Id);
  Duration retryAfter(AccountState &State);
  void lend(const VmId &To, AccountState &State,
            const pooling::TokenRequest &Request);
  bool closeRequest(AccountState &State, std::uint64_t Number);
  void sendRequest(AccountState &State, const VmId &To,
                   pooling::TokenRequest Request);
  void finish(const PendingAdmission &Ended, const AccountId &Id,
              const Decision &Result);

  // RateSharing::Priority, in RatePriority.cpp.
  void admitByPriority(const AccountId &Id, AccountState &State,
                       const Urgency &Need, AdmitCallback Callback);
  void insertPending(const AccountId &Id, AccountState &State,
                     PendingAdmission Waiting);
  void distribute(const AccountId &Id);
  void admitBorrowed(AccountState &State, std::vector<PendingAdmission> &Done);
  void spendOwnTokens(const AccountId &Id, AccountState &State,
                      std::vector<PendingAdmission> &Done);
  void refuseExpired(const AccountId &Id, AccountState &State);
  void refuseHopelessLoans(const AccountId &Id, AccountState &State);
  void scheduleDistribution(const AccountId &Id, AccountState &State);
  void requestByPriority(const AccountId &Id, AccountState &State);
  std::vector<WaitingOperations>
  waitingOperations(const AccountState &State) const;
  void queueLoan(const VmId &From, AccountState &State,
                 const pooling::TokenRequest &Request);
  void grantLoan(const AccountId &Id, AccountState &State,
                 const LoanQueue::Finished &To, std::uint64_t MilliTokens);
  void onGrantByPriority(const VmId &From, AccountState &State,
                         const pooling::TokenGrant &Grant);
  TokenCount reservedAbove(AccountState &State, unsigned Priority);
  static TokenCount tokenUnit(const AccountState &State);
  std::vector<PriorityShare> currentShares(const AccountId &Id,
                                           AccountState &State);
  double spendableRate(AccountState &State);
  Duration retryAfterShare(AccountState &State, unsigned Priority);
  bool isHolder(const AccountState &State) const { return State.OwnShare > 0; }

  pooling::Context &m_Context;
  SendHook m_Send;
  ReachableHook m_IsReachable;
  std::shared_ptr<const RatePlan> m_Plan;
  std::set<RatePlan::Slot> m_Usable;
  Instant m_LeaseEnd{};
  RateSharing m_Sharing = RateSharing::Loans;
  bool m_Started = false; ///< Slots were assigned before.
  std::uint64_t m_LastRequest = 0;
  std::map<AccountId, AccountState> m_Accounts;
  std::map<std::pair<AccountId, unsigned>, Counts> m_Counts;
};

} // namespace bergamotstage::ratelimit

#endif // BERGAMOTSTAGE_RATELIMIT_RATESHARE_H
