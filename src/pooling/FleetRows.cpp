#include "bergamotstage/pooling/FleetRows.h"

#include "bergamotstage/core/Parse.h"
#include "bergamotstage/pooling/RenewalBatcher.h"

#include <algorithm>
#include <iterator>
#include <sstream>
#include <utility>
#include <variant>

namespace bergamotstage::pooling {
namespace {

/// Read interval, with a jitter of 20 %. Calls of the store cost money: the
/// interval grows with the fleet, which keeps to about four reads per second. A
/// VM without slots reads at the shortest one, as it waits for some.
constexpr Duration ReadInterval = seconds(10);
constexpr Duration ReadIntervalPerVm = milliseconds(250);
/// Longest time between two renewals. The lease outlasts a missed renewal and
/// 30 s without the store.
constexpr Duration RenewInterval = seconds(20);
/// Retry interval after a failure, doubled up to a limit. It begins short so
/// that a starting VM serves soon.
constexpr Duration RetryInterval = milliseconds(400);
constexpr Duration MaxStartRetryInterval = milliseconds(1600);
constexpr Duration MaxRetryInterval = seconds(5);
/// Number of VMs from which only one of them gives slots away.
constexpr std::size_t LargeFleet = 30;
/// Time for a batch to be collected, written and answered.
constexpr Duration RenewalReplyTimeout =
    RenewalBatcher::MaxDelay + milliseconds(1500);
/// Age of a lease from which this VM does not rely on batches.
constexpr Duration MaxBatchedLeaseAge = seconds(35);
/// Time in which all VMs of a new fleet have written their rows.
constexpr Duration FirstStartDelay = milliseconds(1500);
/// A write that timed out may still take effect within this time.
constexpr Duration LateWriteWindow = seconds(15);
const char *const AllRows = "fleet/";
const char *const LeasePrefix = "fleet/duty/";
const char *const PlanKey = "fleet/rate";

const char *const MemberPrefix = "fleet/vm/";

bool startsWith(const std::string &Text, const std::string &Prefix) {
  return Text.compare(0, Prefix.size(), Prefix) == 0;
}

std::string formatMember(const MemberState &Member) {
  return Member.DataCentre.value() + " " + Member.PeerAddress + " " +
         std::to_string(Member.Start.value()) + " " +
         std::to_string(Member.Cores);
}

std::optional<MemberState> parseMember(const VmId &Vm,
                                       const std::string &Text) {
  std::istringstream In(Text);
  std::string DataCentre;
  std::string Address;
  std::uint64_t Start = 0;
  double Cores = 1;
  if (!(In >> DataCentre >> Address >> Start >> Cores) || !(Cores > 0))
    return std::nullopt;
  return MemberState{
      Vm,   DataCentreId(DataCentre), Address, Incarnation(Start), true, false,
      Cores};
}

std::optional<PromotionLease> parseLease(const TableRow &Row) {
  std::istringstream In(Row.Value);
  std::string Holder;
  PromotionLease Lease;
  if (!(In >> Holder >> Lease.FencingToken))
    return std::nullopt;
  Lease.Holder = VmId(Holder);
  Lease.Version = Row.Version;
  return Lease;
}

} // namespace

std::string memberRowKey(const VmId &Vm) { return MemberPrefix + Vm.value(); }

void FleetRows::start() {
  m_StartedAt = m_Context.now();
  renewMemberRow();
}

void FleetRows::scheduleRead(Duration Span) {
  if (m_ReadTimer)
    m_Context.timers().cancel(*m_ReadTimer);
  m_ReadTimer = m_Context.scheduleAfter(Span, [this] {
    m_ReadTimer.reset();
    readRows();
  });
}

void FleetRows::scheduleRenewal(Duration Span) {
  m_Context.scheduleAfter(Span, [this] { renewMemberRow(); });
}

/// @brief Delay before the next try after a failed call.
Duration FleetRows::nextRetryDelay() {
  Duration Delay = m_RetryDelay;
  m_RetryDelay = std::min(2 * m_RetryDelay,
                          m_Loaded ? MaxRetryInterval : MaxStartRetryInterval);
  return Delay;
}

void FleetRows::requestRefresh() {
  if (!m_ReadInFlight && m_Loaded && isGiver())
    scheduleRead(RetryInterval);
}

void FleetRows::renewMemberRow() {
  Instant Now = m_Context.now();
  bool Batch = m_RenewedAt && Now < *m_RenewedAt + MaxBatchedLeaseAge &&
               m_Hooks.RequestRenewal({formatMember(m_Self), toTimestamp(Now)});
  if (!Batch)
    return writeMemberRow();
  m_RenewalRequestedAt = Now;
  m_RenewalTimer = m_Context.scheduleAfter(RenewalReplyTimeout, [this] {
    m_RenewalRequestedAt.reset();
    m_RenewalTimer.reset();
    writeMemberRow();
  });
}

void FleetRows::onRenewalReply(const RenewalReply &Reply) {
  bool Expected = m_RenewalRequestedAt &&
                  toTimestamp(*m_RenewalRequestedAt) == Reply.Timestamp;
  if (!Expected)
    return;
  Instant SentAt = *m_RenewalRequestedAt;
  m_RenewalRequestedAt.reset();
  m_Context.timers().cancel(*m_RenewalTimer);
  m_RenewalTimer.reset();
  if (Reply.Renewed)
    return onRenewed(SentAt);
  scheduleRenewal(nextRetryDelay());
}

void FleetRows::writeMemberRow() {
  ConditionalWrite Write;
  Write.Changes.push_back({memberRowKey(m_Self.Vm), formatMember(m_Self)});
  Instant SentAt = m_Context.now();
  m_Hooks.CallPlatform(
      std::move(Write), [this, SentAt](const PlatformAnswer &Answer) {
        const auto *Decided = std::get_if<WriteDecided>(&Answer);
        if (Decided == nullptr || !Decided->Applied) {
          m_Context.log(WriteLog::Level::Warning, "member_row_not_written", {});
          return scheduleRenewal(nextRetryDelay());
        }
        onRenewed(SentAt);
      });
}

/// @brief Extends the lease from the time at which its renewal was sent.
void FleetRows::onRenewed(Instant SentAt) {
  m_RetryDelay = RetryInterval;
  // The row was written before now, perhaps after another VM had reclaimed the
  // share under the earlier lease.
  if (m_RenewedAt && *m_RenewedAt + ShareLeaseDuration < m_Context.now())
    m_PlanConfirmed = false;
  m_RenewedAt = SentAt;
  m_RenewalKnownAt = m_Context.now();
  // VMs that started together would renew together.
  std::uniform_real_distribution<double> Spread(0.8, 1.0);
  Duration Interval = scaled(RenewInterval, Spread(m_Context.random()));
  scheduleRenewal(SentAt + Interval - m_Context.now());
  if (!m_Loaded || !m_PlanConfirmed)
    return readRows();
  applyPlan();
}

void FleetRows::readRows() {
  if (m_ReadInFlight)
    return;
  m_ReadInFlight = true;
  Instant RequestedAt = m_Context.now();
  m_Hooks.CallPlatform(ReadRows{AllRows},
                       [this, RequestedAt](const PlatformAnswer &ReadAnswer) {
                         m_ReadInFlight = false;
                         const auto *Rows = std::get_if<RowsRead>(&ReadAnswer);
                         if (Rows == nullptr)
                           return scheduleRead(nextRetryDelay());
                         m_RetryDelay = RetryInterval;
                         onRowsRead(*Rows, RequestedAt);
                         scheduleRead(readInterval());
                       });
}

Duration FleetRows::readInterval() {
  // The last read was requested before the renewal took effect.
  if (m_RenewedAt && !m_PlanConfirmed)
    return RetryInterval;
  if (!m_Plan)
    return std::max(RetryInterval, planDueAt() - m_Context.now());
  std::uniform_real_distribution<double> Jitter(0.8, 1.2);
  Duration Shortest = ReadInterval;
  bool HasSlots = !m_Plan->slotsOf(m_Self.Vm).empty();
  Duration Span =
      HasSlots ? std::max<Duration>(Shortest, ReadIntervalPerVm * m_Rows.size())
               : Shortest;
  return scaled(Span, Jitter(m_Context.random()));
}

void FleetRows::onRowsRead(const RowsRead &Read, Instant RequestedAt) {
  std::map<VmId, ObservedRow> Rows;
  std::vector<MemberState> Members;
  m_Plan.reset();
  m_PlanVersion = 0;
  for (const TableRow &Row : Read.Rows) {
    if (Row.Key == PlanKey) {
      auto Parsed = RatePlan::parse(Row.Value);
      m_PlanVersion = Row.Version;
      if (Parsed)
        m_Plan = std::make_shared<const RatePlan>(std::move(*Parsed));
      else
        m_Context.log(WriteLog::Level::Error, "rate_row_malformed", {});
    } else if (startsWith(Row.Key, MemberPrefix)) {
      VmId Vm(Row.Key.substr(std::string(MemberPrefix).size()));
      auto Member = parseMember(Vm, Row.Value);
      if (!Member) {
        m_Context.log(WriteLog::Level::Error, "member_row_malformed",
                      {{"vm", Vm.value()}});
        continue;
      }
      auto Previous = m_Rows.find(Vm);
      bool Same =
          Previous != m_Rows.end() && Previous->second.Version == Row.Version;
      Rows[Vm] = {*Member, Row.Version,
                  Same ? Previous->second.FirstSeenAt : m_Context.now()};
      Members.push_back(*Member);
    } else if (startsWith(Row.Key, LeasePrefix)) {
      DatabaseId Group(Row.Key.substr(std::string(LeasePrefix).size()));
      if (auto Lease = parseLease(Row))
        m_Leases[Group] = *Lease;
    }
  }
  m_Rows = std::move(Rows);
  m_Loaded = true;
  if (m_RenewedAt && m_RenewalKnownAt <= RequestedAt)
    m_PlanConfirmed = true;
  bool WritePending = m_WriteInFlight || RequestedAt < m_LastWriteEndedAt ||
                      (m_PlanVersion == m_PendingWriteVersion &&
                       m_Context.now() < m_LastWriteEndedAt + LateWriteWindow);
  if (!WritePending)
    m_GuaranteedSlots.reset();
  m_Hooks.OnMembersListed(Members);
  applyPlan();
  rebalance();
}

void FleetRows::applyPlan() {
  Instant LeaseEnd =
      m_RenewedAt ? *m_RenewedAt + ShareLeaseDuration : Instant();
  bool Renewed = m_Context.now() < LeaseEnd && m_PlanConfirmed;
  std::set<RatePlan::Slot> Usable;
  if (m_Plan && Renewed)
    Usable = m_Plan->slotsOf(m_Self.Vm);
  if (m_GuaranteedSlots) {
    std::set<RatePlan::Slot> Common;
    std::set_intersection(Usable.begin(), Usable.end(),
                          m_GuaranteedSlots->begin(), m_GuaranteedSlots->end(),
                          std::inserter(Common, Common.end()));
    Usable = std::move(Common);
  }
  m_Hooks.OnPlanChanged(m_Plan, Usable, LeaseEnd);
  if (m_LeaseTimer)
    m_Context.timers().cancel(*m_LeaseTimer);
  m_LeaseTimer.reset();
  if (!Usable.empty())
    m_LeaseTimer = m_Context.timers().schedule(LeaseEnd, [this] {
      m_LeaseTimer.reset();
      applyPlan();
    });
}

void FleetRows::rebalance() {
  if (m_WriteInFlight)
    return;
  bool Create = !m_Plan && m_PlanVersion == 0;
  if (Create) {
    if (m_Context.now() >= planDueAt())
      createPlan();
    return;
  }
  if (!m_Plan || reclaimExpiredSlots())
    return;
  giveSlotsToSmallest();
}

/// @brief When this VM creates the plan of a new fleet, if there is none yet.
///
/// The first VM in order creates it; the others do so only if it fails to.
Instant FleetRows::planDueAt() const {
  bool First = !m_Rows.empty() && m_Rows.begin()->first == m_Self.Vm;
  return m_StartedAt + (First ? FirstStartDelay : 2 * FirstStartDelay);
}

void FleetRows::createPlan() {
  std::vector<VmId> Vms;
  for (const auto &[Vm, Row] : m_Rows)
    Vms.push_back(Vm);
  writePlan(RatePlan::uniform(Vms), std::nullopt);
}

/// @brief Takes the slots of a VM whose share lease has expired.
/// @return whether there was such a VM
bool FleetRows::reclaimExpiredSlots() {
  for (const VmId &Vm : m_Plan->holders()) {
    auto Row = m_Rows.find(Vm);
    if (Vm == m_Self.Vm || Row == m_Rows.end())
      continue;
    if (Row->second.FirstSeenAt + ShareReclaimDelay > m_Context.now())
      continue;
    RatePlan Next = *m_Plan;
    Next.moveSlots(Vm, m_Self.Vm, m_Plan->size());
    m_Context.log(WriteLog::Level::Info, "rate_slots_inherited",
                  {{"vm", Vm.value()}});
    writePlan(Next, Row->second);
    return true;
  }
  return false;
}

/// @brief Whether this VM may give slots to one that has fewer.
///
/// In a large fleet only the first of those that hold the most may: many have
/// one to spare when a VM joins, and their writes would conflict. In a small
/// one a lost VM is more likely to be that first one.
bool FleetRows::isGiver() const {
  if (!m_Plan)
    return false;
  if (m_Rows.size() < LargeFleet)
    return true;
  std::map<VmId, std::size_t> Slots = m_Plan->slotCounts();
  auto Most = std::max_element(Slots.begin(), Slots.end(),
                               [](const auto &Left, const auto &Right) {
                                 return Left.second < Right.second;
                               });
  return Most != Slots.end() && Most->first == m_Self.Vm;
}

void FleetRows::giveSlotsToSmallest() {
  if (m_Rows.empty() || !isGiver())
    return;
  std::size_t FairShare = m_Plan->size() / m_Rows.size();
  std::size_t OwnSlots = m_Plan->slotsOf(m_Self.Vm).size();
  if (OwnSlots <= FairShare)
    return;
  std::optional<VmId> Smallest;
  std::size_t SmallestSlots = 0;
  std::map<VmId, std::size_t> Slots = m_Plan->slotCounts();
  for (const auto &[Vm, Row] : m_Rows) {
    std::size_t SlotCount = Slots[Vm];
    if (Vm != m_Self.Vm && (!Smallest || SlotCount < SmallestSlots)) {
      Smallest = Vm;
      SmallestSlots = SlotCount;
    }
  }
  if (!Smallest || SmallestSlots + 1 >= OwnSlots || SmallestSlots >= FairShare)
    return;
  RatePlan Next = *m_Plan;
  Next.moveSlots(m_Self.Vm, *Smallest,
                 std::min(OwnSlots - FairShare, FairShare - SmallestSlots));
  writePlan(Next, std::nullopt);
}

void FleetRows::writePlan(const RatePlan &Next,
                          const std::optional<ObservedRow> &Removed) {
  ConditionalWrite Write;
  Write.Conditions.push_back({PlanKey, m_PlanVersion});
  Write.Changes.push_back({PlanKey, Next.format()});
  if (Removed) {
    std::string Key = memberRowKey(Removed->Member.Vm);
    Write.Conditions.push_back({Key, Removed->Version});
    Write.Changes.push_back({Key, std::nullopt});
  }
  m_WriteInFlight = true;
  // Until the outcome is read back, only slots in both plans may be used.
  m_GuaranteedSlots = Next.slotsOf(m_Self.Vm);
  applyPlan();
  m_PendingWriteVersion = m_PlanVersion;
  m_Hooks.CallPlatform(std::move(Write), [this](const PlatformAnswer &Answer) {
    m_WriteInFlight = false;
    m_LastWriteEndedAt = m_Context.now();
    // A write with a known outcome cannot take effect later.
    if (std::holds_alternative<WriteDecided>(Answer))
      m_PendingWriteVersion = NoVersion;
    readRows();
  });
}

std::optional<PromotionLease>
FleetRows::promotionLease(const DatabaseId &Group) const {
  auto Found = m_Leases.find(Group);
  if (Found == m_Leases.end())
    return std::nullopt;
  return Found->second;
}

void FleetRows::acquireLease(
    const DatabaseId &Group,
    std::function<void(std::optional<std::uint64_t>)> Callback) {
  PromotionLease Previous;
  if (auto Read = promotionLease(Group))
    Previous = *Read;
  std::string Key = LeasePrefix + Group.value();
  std::uint64_t FencingToken = Previous.FencingToken + 1;
  ConditionalWrite Write;
  Write.Conditions.push_back({Key, Previous.Version});
  Write.Changes.push_back(
      {Key, m_Self.Vm.value() + " " + std::to_string(FencingToken)});
  m_Hooks.CallPlatform(std::move(Write), [this, Group, FencingToken,
                                          Callback = std::move(Callback)](
                                             const PlatformAnswer &Answer) {
    const auto *Decided = std::get_if<WriteDecided>(&Answer);
    bool Won = Decided != nullptr && Decided->Applied;
    m_Context.log(WriteLog::Level::Info, "duty_acquired",
                  {{"group", Group.value()},
                   {"fence", std::to_string(FencingToken)},
                   {"won", Won ? "yes" : "no"}});
    // The row shows the holder even if the answer to the write was lost.
    m_Hooks.CallPlatform(
        ReadRows{LeasePrefix + Group.value()},
        [this, Group, FencingToken,
         Callback](const PlatformAnswer &ReadAnswer) {
          const auto *Rows = std::get_if<RowsRead>(&ReadAnswer);
          bool HasRow = Rows != nullptr && !Rows->Rows.empty() &&
                        Rows->Rows.front().Key == LeasePrefix + Group.value();
          if (!HasRow)
            return Callback(std::nullopt);
          auto Lease = parseLease(Rows->Rows.front());
          if (!Lease)
            return Callback(std::nullopt);
          m_Leases[Group] = *Lease;
          bool IsHolder =
              Lease->Holder == m_Self.Vm && Lease->FencingToken == FencingToken;
          if (!IsHolder)
            return Callback(std::nullopt);
          Callback(FencingToken);
        });
  });
}

} // namespace bergamotstage::pooling
