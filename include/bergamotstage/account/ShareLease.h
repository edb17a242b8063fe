#ifndef BERGAMOTSTAGE_ACCOUNT_SHARELEASE_H
#define BERGAMOTSTAGE_ACCOUNT_SHARELEASE_H

#include "bergamotstage/account/AllocationMessage.h"
#include "bergamotstage/account/AllocationStore.h"
#include "bergamotstage/account/TokenCount.h"
#include "bergamotstage/core/Time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace bergamotstage {

/// @brief Lease under which a VM spends its share, and the leases it grants as
/// the successor of other shares.
///
/// The owner of a share requests leases from its successor; each is valid for
/// LeaseTime from when its request was sent. The successor succeeds to the
/// share at the earliest SuccessionDelay after the last lease it granted and
/// after it first saw the current row. From a request until the grant of a
/// newer request the owner spends no more than its burst, so that a VM whose
/// clock stopped during a pause spends no more than the reserve that its
/// successor leaves for it.
class ShareLease {
public:
  using SendHook = std::function<void(const VmId &, const AllocationBody &)>;

  static constexpr Duration LeaseTime = seconds(1);
  static constexpr Duration SuccessionDelay = seconds(2);
  static constexpr Duration RenewInterval = milliseconds(250);

  ShareLease(NodeContext &Context, const AllocationStore &Store, SendHook Send);

  /// @brief Requests a new lease; to be called at every RenewInterval.
  /// @param Lent tokens that are lent and may still be spent elsewhere
  void renew(TokenCount Lent);

  /// @brief Sets the budget of a share that is about to get a successor.
  void onSuccessorAdded(TokenCount Burst);

  /// @brief Whether tokens of the share may be spent or lent now.
  bool isValid() const;
  /// @brief Tokens that may be spent until the next grant.
  TokenCount budget() const;
  void recordSpent(TokenCount Amount);

  /// @brief Grants a lease unless the owner's share is being succeeded to.
  void onRequest(const VmId &From, Incarnation FromIncarnation,
                 const ShareLeaseRequest &Request);
  /// @param Burst burst of the share, which becomes the new budget
  void onGrant(const VmId &From, const ShareLeaseGrant &Grant,
               TokenCount Burst);

  /// @brief A VM whose lease has expired and whose successor is this VM.
  std::optional<VmId> expiredOwner() const;
  /// @brief Successor that replaces an unresponsive one; an empty name if no
  /// other holder of a share is responsive.
  std::optional<VmId> replacementSuccessor() const;

private:
  struct PendingRequest {
    VmId Successor;
    Instant SentAt;
    TokenCount Spent; ///< Since the request, plus what was lent then.
  };

  bool isGrantedBy(const VmId &Successor, Instant WriteTime) const;
  bool isResponsive(const VmId &Vm) const;

  NodeContext &m_Context;
  const AllocationStore &m_Store;
  SendHook m_Send;
  std::uint64_t m_LastRequest = 0;
  std::map<std::uint64_t, PendingRequest> m_Requests;
  std::map<VmId, Instant> m_LeaseStart; ///< When its request was sent.
  std::map<VmId, Instant> m_GrantedAt;  ///< Last lease granted to each owner.
  TokenCount m_Spent;
  TokenCount m_Budget;
};

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_ACCOUNT_SHARELEASE_H
