#ifndef BERGAMOTSTAGE_ACCOUNT_ACCOUNTRATELIMITER_H
#define BERGAMOTSTAGE_ACCOUNT_ACCOUNTRATELIMITER_H

#include "bergamotstage/account/AllocationMessage.h"
#include "bergamotstage/account/AllocationStore.h"
#include "bergamotstage/account/Borrower.h"
#include "bergamotstage/account/Lender.h"
#include "bergamotstage/account/ShareLease.h"
#include "bergamotstage/account/TokenBucket.h"
#include "bergamotstage/core/Outcome.h"
#include "bergamotstage/node/NodeContext.h"

#include <tl/expected.hpp>

#include <deque>
#include <functional>
#include <map>
#include <optional>

namespace bergamotstage {

/// @brief Admission of a statement, or its refusal as "not run".
using AdmissionResult = tl::expected<void, Refusal>;
using AdmitCallback = std::function<void(const AdmissionResult &)>;

/// @brief State of one client account's rate limiter, for status output.
struct RateLimiterStatus {
  ContractFraction Fraction;
  bool MaySpend = false;
  std::size_t Holders = 0;
  std::int64_t Reserved = 0; ///< Burst in reserves, in 1e-9 of the contract.
  std::size_t Waiting = 0;
};

/// @brief Rate limiter of one client account on one VM: its share, loans and
/// waiting statements.
///
/// The admissions of all VMs together in any window never exceed the burst plus
/// the rate times the window; docs/design/rate.md has the proof.
class AccountRateLimiter {
public:
  /// @brief How a VM gets tokens and shares.
  struct Options {
    bool Borrow = true;                  ///< Request loans from other VMs.
    Duration MaxWait = milliseconds(40); ///< Longest wait for a token.
    std::size_t MaxHolders = 9;          ///< Most VMs that hold a share.
  };

  AccountRateLimiter(NodeContext &Context, const AccountRule &Rule,
                     Options NewOptions);
  AccountRateLimiter(const AccountRateLimiter &) = delete;
  AccountRateLimiter &operator=(const AccountRateLimiter &) = delete;

  /// @brief Starts acquiring a share of the account, unless already started.
  void activate();
  /// @brief Applies the rate and burst of the new rules.
  void onContractChanged(const AccountRule &Rule);
  void setOptions(const Options &NewOptions) { m_Options = NewOptions; }

  /// @brief Takes one token, at once or within the longest wait.
  void admit(const AdmitCallback &OnResult);
  /// @brief Returns the token of a statement that certainly did not run.
  void refund();

  void onMessage(const PeerReceived &Event, const AllocationBody &Body);

  /// @brief Hands the share over to another VM before the shutdown.
  void drain();
  /// @brief Whether no share is left to hand over, or the store is unavailable.
  bool isDrained() const;

  RateLimiterStatus status() const;

private:
  struct Waiter {
    Instant Deadline;
    AdmitCallback OnResult;
  };
  struct LenderState {
    Instant NextToken{}; ///< Earliest time at which it may have a token.
  };

  // Acquires, splits and hands over the share of the account.
  void onRowChanged();
  void applyShare();
  void onTimer();
  bool hasShare() const;
  std::optional<AllocationRow> plannedRow() const;
  std::optional<AllocationRow> plannedOwnerRow() const;
  void requestShare();
  void splitShare(const VmId &Recipient, Incarnation RecipientStart);
  bool maySplitShare(const VmId &Recipient) const;
  void propose(AllocationRow NewRow);

  // Spends and borrows tokens.
  TokenCount spendableTokens();
  bool tryTakeToken();
  void serveWaiters();
  void requestLoan();
  std::optional<VmId> chooseLender() const;
  void scheduleWake();
  Refusal makeRefusal();
  Duration retryAfter();

  void send(const VmId &To, const AllocationBody &Body);
  void handle(const PeerReceived &Event, const LoanRequest &Body);
  void handle(const PeerReceived &Event, const LoanGrant &Body);
  void handle(const PeerReceived &Event, const LoanSettlement &Body);
  void handle(const PeerReceived &Event, const ShareLeaseRequest &Body);
  void handle(const PeerReceived &Event, const ShareLeaseGrant &Body);
  void handle(const PeerReceived &Event, const ShareRequest &Body);

  NodeContext &m_Context;
  AccountRule m_Rule;
  Options m_Options;
  TokenContract m_Contract;
  TokenBucket m_Bucket;
  AllocationStore m_Store;
  ShareLease m_Lease;
  Lender m_Lender;
  Borrower m_Borrower;
  std::deque<Waiter> m_Waiters;
  std::map<VmId, LenderState> m_Lenders;
  std::optional<TimerId> m_WakeTimer;
  Instant m_ActivatedAt{};
  Instant m_LastUsedAt{};
  Instant m_LastRefreshedAt{};
  Instant m_LastShareRequest{};
  bool m_Active = false;
  bool m_CreatingRow = false;
  bool m_Draining = false;
};

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_ACCOUNT_ACCOUNTRATELIMITER_H
