#include "bergamotstage/pooling/PoolNode.h"

#include <vector>

// Promotion leases: one VM per group holds the right to replace its primary.

namespace bergamotstage::pooling {
namespace {

/// Time that a lease holder must be lost before another VM takes the lease.
constexpr Duration HolderLossTimeout = seconds(2);
constexpr Duration LeaseRequestTimeout = seconds(3);

} // namespace

const std::vector<VmId> &
PoolNode::leaseCandidates(const DatabaseId &Group) const {
  return m_Members.ownerOrder("duty " + Group.value(), DataCentreId());
}

bool PoolNode::holdsLease(const DatabaseId &Group) const {
  auto Lease = m_Rows.promotionLease(Group);
  return Lease && Lease->Holder == m_Context.self() && !m_LeavingSince;
}

void PoolNode::acquireLeaseIfFirst(const DatabaseId &Group) {
  if (!m_Rows.isLoaded() || m_LeavingSince || holdsLease(Group))
    return;
  auto Request = m_LeaseRequestedAt.find(Group);
  bool RequestPending = Request != m_LeaseRequestedAt.end() &&
                        Request->second + LeaseRequestTimeout > m_Context.now();
  const std::vector<VmId> &Candidates = leaseCandidates(Group);
  bool IsFirst = !Candidates.empty() && Candidates.front() == m_Context.self();
  auto Lease = m_Rows.promotionLease(Group);
  bool HolderUnavailable = true;
  if (Lease) {
    const MemberState *Holder = m_Members.find(Lease->Holder);
    HolderUnavailable = Holder == nullptr || Holder->Leaving ||
                        m_Health.lostDuration(Lease->Holder, m_Context.now()) >=
                            HolderLossTimeout;
  }
  if (RequestPending || !IsFirst || !HolderUnavailable)
    return;
  m_LeaseRequestedAt[Group] = m_Context.now();
  m_Rows.acquireLease(Group, [this, Group](std::optional<std::uint64_t>) {
    m_LeaseRequestedAt.erase(Group);
  });
}

void PoolNode::acquireLeases() {
  for (const auto &[Group, Rule] : m_Config->Groups)
    acquireLeaseIfFirst(Group);
}

} // namespace bergamotstage::pooling
