#include "bergamotstage/account/ShareLease.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace bergamotstage {
namespace {

constexpr std::size_t MaxOpenRequests = 16;
constexpr TokenCount Unbounded{std::numeric_limits<std::int64_t>::max()};
/// @brief Saturation value of sums of spent tokens, above any budget.
constexpr TokenCount MaxSpent{Unbounded.Pico / 2};

} // namespace

ShareLease::ShareLease(NodeContext &Context, const AllocationStore &Store,
                       SendHook Send)
    : m_Context(Context), m_Store(Store), m_Send(std::move(Send)) {}

void ShareLease::renew(TokenCount Lent) {
  const VmId &OwnVm = m_Context.settings().Vm;
  const AllocationShare *Share = m_Store.row().find(OwnVm);
  if (Share == nullptr)
    return;
  // A share without a successor asks its neighbour, which may become one.
  bool Alone = Share->Successor.value().empty();
  VmId Successor = Alone ? m_Store.row().nextAfter(OwnVm) : Share->Successor;
  if (Successor.value().empty())
    return;
  m_Requests[++m_LastRequest] = {Successor, m_Context.now(), Lent};
  if (m_Requests.size() > MaxOpenRequests)
    m_Requests.erase(m_Requests.begin());
  m_Send(Successor, ShareLeaseRequest{m_LastRequest});
}

bool ShareLease::isGrantedBy(const VmId &Successor, Instant WriteTime) const {
  if (Successor.value().empty())
    return true;
  Instant LeaseStart = WriteTime;
  auto Found = m_LeaseStart.find(Successor);
  if (Found != m_LeaseStart.end())
    LeaseStart = std::max(LeaseStart, Found->second);
  return m_Context.now() < LeaseStart + LeaseTime;
}

bool ShareLease::isValid() const {
  const VmId &OwnVm = m_Context.settings().Vm;
  const AllocationShare *Share = m_Store.row().find(OwnVm);
  if (Share == nullptr ||
      Share->Start != m_Context.settings().ProcessIncarnation)
    return false;
  Instant Applied = m_Store.lastAppliedAt().value_or(Instant() - LeaseTime);
  if (!isGrantedBy(Share->Successor, Applied))
    return false;
  if (!m_Store.pendingRow())
    return true;
  const AllocationShare *NewShare = m_Store.pendingRow()->find(OwnVm);
  return NewShare != nullptr &&
         isGrantedBy(NewShare->Successor, m_Store.writeSentAt());
}

TokenCount ShareLease::budget() const {
  const AllocationShare *Share = m_Store.row().find(m_Context.settings().Vm);
  bool Alone = Share != nullptr && Share->Successor.value().empty();
  bool StaysAlone = Alone && !m_Store.pendingRow();
  if (StaysAlone)
    return Unbounded;
  return std::max(TokenCount{}, m_Budget - m_Spent);
}

void ShareLease::recordSpent(TokenCount Amount) {
  auto Add = [&](TokenCount &Sum) { Sum = std::min(Sum, MaxSpent) + Amount; };
  Add(m_Spent);
  for (auto &[Id, Pending] : m_Requests)
    Add(Pending.Spent);
}

void ShareLease::onSuccessorAdded(TokenCount Burst) {
  m_Budget = Burst;
  m_Spent = {};
}

void ShareLease::onRequest(const VmId &From, Incarnation FromIncarnation,
                           const ShareLeaseRequest &Request) {
  const AllocationShare *Share = m_Store.row().find(From);
  bool MayGrant = Share != nullptr && Share->Start == FromIncarnation;
  if (m_Store.pendingRow())
    MayGrant = MayGrant && m_Store.pendingRow()->find(From) != nullptr;
  if (!MayGrant)
    return;
  m_GrantedAt[From] = m_Context.now();
  m_Send(From, ShareLeaseGrant{Request.RequestId});
}

void ShareLease::onGrant(const VmId &From, const ShareLeaseGrant &Grant,
                         TokenCount Burst) {
  auto Found = m_Requests.find(Grant.RequestId);
  if (Found == m_Requests.end() || Found->second.Successor != From)
    return;
  m_LeaseStart[From] = std::max(m_LeaseStart[From], Found->second.SentAt);
  m_Budget = Burst;
  m_Spent = Found->second.Spent;
  m_Requests.erase(m_Requests.begin(), std::next(Found));
}

std::optional<VmId> ShareLease::expiredOwner() const {
  const VmId &OwnVm = m_Context.settings().Vm;
  const AllocationRow &Row = m_Store.row();
  if (m_Store.isWriting() || Row.find(OwnVm) == nullptr)
    return std::nullopt;
  for (const AllocationShare &Share : Row.Shares) {
    if (Share.Successor != OwnVm || Share.Vm == OwnVm)
      continue;
    Instant LastGrant = m_Store.rowSeenAt();
    auto Granted = m_GrantedAt.find(Share.Vm);
    if (Granted != m_GrantedAt.end())
      LastGrant = std::max(LastGrant, Granted->second);
    if (m_Context.now() >= LastGrant + SuccessionDelay)
      return Share.Vm;
  }
  return std::nullopt;
}

bool ShareLease::isResponsive(const VmId &Vm) const {
  auto Leased = m_LeaseStart.find(Vm);
  auto Granted = m_GrantedAt.find(Vm);
  Instant LastContact{};
  if (Leased != m_LeaseStart.end())
    LastContact = Leased->second;
  if (Granted != m_GrantedAt.end())
    LastContact = std::max(LastContact, Granted->second);
  return LastContact != Instant() && m_Context.now() < LastContact + LeaseTime;
}

std::optional<VmId> ShareLease::replacementSuccessor() const {
  const VmId &OwnVm = m_Context.settings().Vm;
  const AllocationShare *Share = m_Store.row().find(OwnVm);
  if (m_Store.isWriting() || Share == nullptr ||
      Share->Start != m_Context.settings().ProcessIncarnation)
    return std::nullopt;
  VmId Neighbour = m_Store.row().nextAfter(OwnVm);
  bool Alone = Share->Successor.value().empty();
  if (Alone)
    return !Neighbour.value().empty() && isResponsive(Neighbour)
               ? std::optional<VmId>(Neighbour)
               : std::nullopt;
  if (isGrantedBy(Share->Successor, m_Store.rowSeenAt()))
    return std::nullopt;
  for (const AllocationShare &Other : m_Store.row().Shares)
    if (Other.Vm != OwnVm && Other.Vm != Share->Successor &&
        isResponsive(Other.Vm))
      return Other.Vm;
  return VmId();
}

} // namespace bergamotstage
