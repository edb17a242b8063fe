#ifndef BERGAMOTSTAGE_POOLING_FLEETROWS_H
#define BERGAMOTSTAGE_POOLING_FLEETROWS_H

#include "bergamotstage/core/PlatformApi.h"
#include "bergamotstage/fleet/MemberState.h"
#include "bergamotstage/pooling/Context.h"
#include "bergamotstage/pooling/FleetMessage.h"
#include "bergamotstage/ratelimit/RatePlan.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bergamotstage::pooling {

using ratelimit::RatePlan;

/// @brief Lease that allows its holder to order promotions in a group.
struct PromotionLease {
  VmId Holder;
  std::uint64_t FencingToken = 0; ///< Incremented by each acquisition.
  std::uint64_t Version = 0;      ///< Row version.
};

/// @brief Key of the row that a VM renews.
std::string memberRowKey(const VmId &Vm);

/// @brief Reads and writes the fleet's rows in the platform's store: one per
/// VM, one with the shares of the rates, one per promotion lease.
///
/// A VM's row is the lease of its share: the VM uses the share for at most
/// ShareLeaseDuration after a renewal. Another VM reclaims it once the row has
/// not changed for ShareReclaimDelay, in a transaction that requires the row
/// to be unchanged.
class FleetRows {
public:
  using PlatformCallback = std::function<void(const PlatformAnswer &)>;
  struct Hooks {
    std::function<void(PlatformRequest, PlatformCallback)> CallPlatform;
    /// Asks another VM to renew the row; false if this VM is to do so.
    std::function<bool(const RenewalRequest &)> RequestRenewal;
    /// Reports the plan and the slots of it that this VM may use until its
    /// lease ends.
    std::function<void(std::shared_ptr<const RatePlan>,
                       const std::set<RatePlan::Slot> &Usable,
                       Instant LeaseEnd)>
        OnPlanChanged;
    std::function<void(const std::vector<MemberState> &)> OnMembersListed;
  };

  static constexpr Duration ShareLeaseDuration = seconds(55);
  static constexpr Duration ShareReclaimDelay = seconds(60);

  FleetRows(Context &Ctx, MemberState Self, Hooks Callbacks)
      : m_Context(Ctx), m_Self(std::move(Self)), m_Hooks(std::move(Callbacks)) {
  }

  /// @brief Writes this VM's row, then renews it and reads all rows
  /// periodically.
  void start();

  /// @brief Reads the rows ahead of schedule after a VM joined, if this VM is
  /// the one that gives it slots.
  void requestRefresh();

  /// @brief Handles the reply to RequestRenewal.
  void onRenewalReply(const RenewalReply &Reply);

  /// @brief Returns the lease of a group as last read.
  std::optional<PromotionLease> promotionLease(const DatabaseId &Group) const;

  /// @brief Acquires the lease of a group under a higher fencing token.
  /// @param Callback receives the token, or std::nullopt if another VM won or
  /// the store does not answer
  void acquireLease(const DatabaseId &Group,
                    std::function<void(std::optional<std::uint64_t>)> Callback);

  /// @brief Whether this VM's row was renewed so recently that no other VM can
  /// have removed it.
  bool isListed() const {
    return m_RenewedAt && m_Context.now() < *m_RenewedAt + ShareLeaseDuration;
  }

  /// @brief Whether all rows have been read at least once.
  bool isLoaded() const { return m_Loaded; }

private:
  struct ObservedRow {
    MemberState Member;
    std::uint64_t Version = 0;
    Instant FirstSeenAt{}; ///< When this version was first read.
  };

  void renewMemberRow();
  void writeMemberRow();
  void onRenewed(Instant SentAt);
  void readRows();
  void scheduleRead(Duration Span);
  void scheduleRenewal(Duration Span);
  Duration readInterval();
  Duration nextRetryDelay();
  void onRowsRead(const RowsRead &Rows, Instant RequestedAt);
  void applyPlan();
  Instant planDueAt() const;
  void createPlan();
  void rebalance();
  bool reclaimExpiredSlots();
  void giveSlotsToSmallest();
  bool isGiver() const;
  void writePlan(const RatePlan &Next,
                 const std::optional<ObservedRow> &Removed);

  Context &m_Context;
  MemberState m_Self;
  Hooks m_Hooks;
  bool m_Loaded = false;
  bool m_ReadInFlight = false;
  bool m_WriteInFlight = false;
  bool m_PlanConfirmed = false; ///< Plan read since the last renewal.
  Instant m_StartedAt{};
  std::optional<Instant> m_RenewedAt; ///< Send time of the last renewal.
  Instant m_RenewalKnownAt{};         ///< When its outcome was known.
  std::optional<Instant> m_RenewalRequestedAt; ///< Of a pending request.
  std::optional<TimerId> m_RenewalTimer;
  std::map<VmId, ObservedRow> m_Rows;
  std::shared_ptr<const RatePlan> m_Plan; ///< Null if there is none.
  std::uint64_t m_PlanVersion = 0;
  /// Slots that this VM holds whatever the outcome of a pending write.
  std::optional<std::set<RatePlan::Slot>> m_GuaranteedSlots;
  static constexpr std::uint64_t NoVersion = ~std::uint64_t{0};
  /// Plan version that a pending write replaces; NoVersion if there is none.
  std::uint64_t m_PendingWriteVersion = NoVersion;
  Instant m_LastWriteEndedAt{};
  std::map<DatabaseId, PromotionLease> m_Leases;
  std::optional<TimerId> m_ReadTimer;
  std::optional<TimerId> m_LeaseTimer; ///< Runs when the lease ends.
  Duration m_RetryDelay = milliseconds(400);
};

} // namespace bergamotstage::pooling

#endif // BERGAMOTSTAGE_POOLING_FLEETROWS_H
