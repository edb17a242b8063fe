#include "bergamotstage/account/AccountRateLimiter.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace bergamotstage {
namespace {

constexpr Duration RefreshInterval = seconds(10);
constexpr Duration ShareRequestInterval = seconds(1);
/// @brief Delay before a process claims its predecessor's share; by then all
/// tokens that the predecessor lent are spent or dropped.
constexpr Duration RestartDelay = seconds(1);
/// @brief Idle time after which a VM without a share stops requesting one.
constexpr Duration IdleTimeout = seconds(60);
/// @brief A share with a smaller burst is not split.
constexpr TokenCount MinBurst{4 * TokenCount::PicoPerToken};
constexpr std::size_t MaxWaiters = 256;
constexpr std::int64_t MaxLoanTokens = 16;
constexpr Duration MinRetryAfter = milliseconds(1);

} // namespace

AccountRateLimiter::AccountRateLimiter(NodeContext &Context,
                                       const AccountRule &Rule,
                                       Options NewOptions)
    : m_Context(Context), m_Rule(Rule), m_Options(NewOptions),
      m_Contract(makeContract(Rule.Rate, Rule.Burst)),
      m_Store(Context, Rule.Id, [this] { onRowChanged(); }),
      m_Lease(Context, m_Store,
              [this](const VmId &To, const AllocationBody &Body) {
                send(To, Body);
              }),
      m_Lender(m_Bucket),
      m_Borrower([this](const VmId &To, const AllocationBody &Body) {
        send(To, Body);
      }) {}

void AccountRateLimiter::send(const VmId &To, const AllocationBody &Body) {
  m_Context.sendPeer(To, PeerChannel::Allocation,
                     encodeAllocationMessage({m_Rule.Id, Body}));
}

void AccountRateLimiter::activate() {
  m_LastUsedAt = m_Context.now();
  if (m_Active)
    return;
  m_Active = true;
  m_ActivatedAt = m_Context.now();
  m_LastRefreshedAt = m_Context.now();
  m_Store.refresh();
  m_Context.timers().schedule(m_Context.now() + ShareLease::RenewInterval,
                              [this] { onTimer(); });
}

void AccountRateLimiter::onContractChanged(const AccountRule &Rule) {
  m_Rule = Rule;
  m_Contract = makeContract(Rule.Rate, Rule.Burst);
  applyShare();
  serveWaiters();
}

void AccountRateLimiter::applyShare() {
  m_Bucket.configure(scaleContract(m_Contract, m_Store.ownFraction()),
                     m_Context.now());
}

bool AccountRateLimiter::hasShare() const {
  return m_Store.ownFraction().Rate > 0;
}

void AccountRateLimiter::propose(AllocationRow NewRow) {
  const AllocationShare *Share = m_Store.row().find(m_Context.settings().Vm);
  if (Share != nullptr && Share->Successor.value().empty())
    m_Lease.onSuccessorAdded(m_Bucket.contract().Burst);
  m_Store.propose(std::move(NewRow));
  applyShare();
}

void AccountRateLimiter::onRowChanged() {
  applyShare();
  if (m_CreatingRow && !m_Store.isWriting()) {
    m_CreatingRow = false;
    if (m_Store.lastAppliedAt())
      m_Bucket.fill(m_Context.now());
  }
  if (auto Wanted = plannedRow())
    propose(std::move(*Wanted));
  else if (!hasShare())
    requestShare();
  serveWaiters();
}

std::optional<AllocationRow> AccountRateLimiter::plannedRow() const {
  const NodeSettings &Settings = m_Context.settings();
  if (m_Store.isWriting() || !m_Store.isKnown() || m_Draining)
    return std::nullopt;
  const AllocationRow &Row = m_Store.row();
  const AllocationShare *Share = Row.find(Settings.Vm);
  if (Share != nullptr && Share->Start < Settings.ProcessIncarnation) {
    if (m_Context.now() < m_ActivatedAt + RestartDelay)
      return std::nullopt;
    return allocation::updateIncarnation(Row, Settings.Vm,
                                         Settings.ProcessIncarnation);
  }
  for (const AllocationReserve &Reserve : Row.Reserves)
    if (Reserve.Vm == Settings.Vm &&
        Reserve.Start <= Settings.ProcessIncarnation)
      return allocation::releaseReserves(
          Row, Settings.Vm,
          Incarnation(Settings.ProcessIncarnation.value() + 1));
  if (Share == nullptr)
    return std::nullopt;
  return plannedOwnerRow();
}

std::optional<AllocationRow> AccountRateLimiter::plannedOwnerRow() const {
  const VmId &OwnVm = m_Context.settings().Vm;
  const AllocationRow &Row = m_Store.row();
  if (auto Successor = m_Lease.replacementSuccessor())
    return allocation::changeSuccessor(Row, OwnVm, *Successor);
  if (auto Expired = m_Lease.expiredOwner())
    return allocation::succeed(Row, *Expired, OwnVm);
  ContractFraction Free = Row.unallocated();
  bool IsFirst = Row.Shares.front().Vm == OwnVm;
  if (IsFirst && (Free.Rate > 0 || Free.Burst > 0))
    return allocation::claimFree(Row, OwnVm);
  return std::nullopt;
}

void AccountRateLimiter::onTimer() {
  Instant Now = m_Context.now();
  m_Borrower.settle(Now);
  m_Lease.renew(m_Bucket.lentTokens());
  bool InUse = Now < m_LastUsedAt + IdleTimeout || hasShare();
  Duration Refresh = hasShare() ? RefreshInterval : ShareRequestInterval * 2;
  if (InUse && m_LastRefreshedAt + Refresh <= Now) {
    m_LastRefreshedAt = Now;
    m_Store.refresh();
  }
  onRowChanged();
  if (!InUse && !m_Borrower.hasUnsettledLoans()) {
    m_Active = false;
    return;
  }
  m_Context.timers().schedule(Now + ShareLease::RenewInterval,
                              [this] { onTimer(); });
}

void AccountRateLimiter::requestShare() {
  const NodeSettings &Settings = m_Context.settings();
  Instant Now = m_Context.now();
  bool TooSoon = Now < m_LastShareRequest + ShareRequestInterval &&
                 m_LastShareRequest != Instant();
  if (!m_Store.isKnown() || m_Store.isWriting() || m_Draining || TooSoon)
    return;
  const AllocationRow &Row = m_Store.row();
  if (!m_Store.rowExists()) {
    m_CreatingRow = true;
    return propose(
        allocation::create(Settings.Vm, Settings.ProcessIncarnation));
  }
  if (Row.find(Settings.Vm) != nullptr || Row.Shares.empty() ||
      Row.Shares.size() >= m_Options.MaxHolders)
    return;
  m_LastShareRequest = Now;
  auto Largest = std::max_element(
      Row.Shares.begin(), Row.Shares.end(),
      [](const AllocationShare &Left, const AllocationShare &Right) {
        return Left.Fraction.Rate < Right.Fraction.Rate;
      });
  send(Largest->Vm, ShareRequest{});
}

bool AccountRateLimiter::maySplitShare(const VmId &Recipient) const {
  const AllocationRow &Row = m_Store.row();
  TokenCount Burst = m_Bucket.contract().Burst;
  bool CanHalve =
      !(Burst < MinBurst) && m_Bucket.lentTokens().Pico <= Burst.Pico / 2;
  return CanHalve && hasShare() && !m_Store.isWriting() && !m_Draining &&
         m_Lease.isValid() && Row.find(Recipient) == nullptr &&
         Row.Shares.size() < m_Options.MaxHolders;
}

void AccountRateLimiter::splitShare(const VmId &Recipient,
                                    Incarnation RecipientStart) {
  if (!maySplitShare(Recipient))
    return;
  propose(allocation::split(m_Store.row(), m_Context.settings().Vm, Recipient,
                            RecipientStart));
}

void AccountRateLimiter::drain() {
  m_Draining = true;
  const VmId &OwnVm = m_Context.settings().Vm;
  const AllocationShare *Share = m_Store.row().find(OwnVm);
  if (Share == nullptr || m_Store.isWriting() || !hasShare())
    return;
  VmId Receiver = Share->Successor.value().empty()
                      ? m_Store.row().nextAfter(OwnVm)
                      : Share->Successor;
  bool Lending = TokenCount{} < m_Bucket.lentTokens();
  if (m_Store.row().find(Receiver) == nullptr || Lending)
    return;
  propose(allocation::merge(m_Store.row(), OwnVm, Receiver));
}

bool AccountRateLimiter::isDrained() const {
  const AllocationRow &Row = m_Store.row();
  bool OnlyHolder = Row.Shares.size() < 2;
  bool HandedOver = !hasShare() && !m_Store.isWriting();
  return HandedOver || OnlyHolder || m_Store.isStoreFailing();
}

RateLimiterStatus AccountRateLimiter::status() const {
  RateLimiterStatus Status;
  Status.Fraction = m_Store.ownFraction();
  Status.MaySpend = m_Lease.isValid();
  Status.Holders = m_Store.row().Shares.size();
  for (const AllocationReserve &Reserve : m_Store.row().Reserves)
    Status.Reserved += Reserve.Burst;
  Status.Waiting = m_Waiters.size();
  return Status;
}

TokenCount AccountRateLimiter::spendableTokens() {
  if (!m_Lease.isValid())
    return {};
  return std::min(m_Bucket.available(m_Context.now()), m_Lease.budget());
}

bool AccountRateLimiter::tryTakeToken() {
  TokenCount Own = spendableTokens();
  TokenCount Borrowed = m_Borrower.available();
  if (Own + Borrowed < OneToken)
    return false;
  TokenCount FromLoans = std::min(Borrowed, OneToken);
  TokenCount FromBucket = OneToken - FromLoans;
  m_Borrower.spend(FromLoans);
  m_Bucket.tryTake(FromBucket, m_Context.now());
  m_Lease.recordSpent(FromBucket);
  return true;
}

void AccountRateLimiter::admit(const AdmitCallback &OnResult) {
  activate();
  if (m_Waiters.empty() && tryTakeToken())
    return OnResult({});
  if (m_Waiters.size() >= MaxWaiters)
    return OnResult(tl::make_unexpected(makeRefusal()));
  m_Waiters.push_back({m_Context.now() + m_Options.MaxWait, OnResult});
  serveWaiters();
}

void AccountRateLimiter::refund() {
  m_Bucket.refund(OneToken, m_Context.now());
}

void AccountRateLimiter::serveWaiters() {
  std::deque<Waiter> Admitted;
  while (!m_Waiters.empty() && tryTakeToken()) {
    Admitted.push_back(std::move(m_Waiters.front()));
    m_Waiters.pop_front();
  }
  requestLoan();
  std::deque<Waiter> Refused;
  Instant Now = m_Context.now();
  bool NoTokenInTime = !m_Borrower.isRequestPending(Now) &&
                       Now + m_Options.MaxWait < Now + retryAfter();
  while (!m_Waiters.empty() &&
         (NoTokenInTime || m_Waiters.front().Deadline <= Now)) {
    Refused.push_back(std::move(m_Waiters.front()));
    m_Waiters.pop_front();
  }
  scheduleWake();
  for (Waiter &Entry : Admitted)
    Entry.OnResult({});
  if (Refused.empty())
    return;
  Refusal Reason = makeRefusal();
  for (Waiter &Entry : Refused)
    Entry.OnResult(tl::make_unexpected(Reason));
}

void AccountRateLimiter::scheduleWake() {
  if (m_WakeTimer)
    m_Context.timers().cancel(*m_WakeTimer);
  m_WakeTimer.reset();
  if (m_Waiters.empty())
    return;
  Instant Now = m_Context.now();
  Instant WakeAt =
      std::min(m_Waiters.front().Deadline, Now + Borrower::GrantTimeout);
  if (m_Lease.isValid())
    WakeAt = std::min(WakeAt, Now + m_Bucket.timeUntil(OneToken, Now));
  WakeAt = std::max(WakeAt, Now + MinRetryAfter);
  m_WakeTimer = m_Context.timers().schedule(WakeAt, [this] {
    m_WakeTimer.reset();
    serveWaiters();
  });
}

void AccountRateLimiter::requestLoan() {
  Instant Now = m_Context.now();
  if (!m_Options.Borrow || m_Waiters.empty() ||
      m_Borrower.isRequestPending(Now))
    return;
  auto Lender = chooseLender();
  if (!Lender)
    return;
  auto Count =
      std::min(static_cast<std::int64_t>(m_Waiters.size()), MaxLoanTokens);
  TokenCount Wanted{Count * TokenCount::PicoPerToken};
  // Until the lender answers, at most for ShareRequestInterval, it counts as
  // having nothing to lend.
  m_Lenders[*Lender].NextToken = Now + ShareRequestInterval;
  m_Borrower.requestLoan(*Lender, Wanted - std::min(spendableTokens(), Wanted),
                         Now);
}

std::optional<VmId> AccountRateLimiter::chooseLender() const {
  std::optional<VmId> Best;
  Instant EarliestToken = m_Context.now() + m_Options.MaxWait;
  for (const AllocationShare &Share : m_Store.row().Shares) {
    if (Share.Vm == m_Context.settings().Vm)
      continue;
    auto Lender = m_Lenders.find(Share.Vm);
    Instant NextToken =
        Lender == m_Lenders.end() ? Instant() : Lender->second.NextToken;
    if (NextToken < EarliestToken && NextToken <= m_Context.now()) {
      Best = Share.Vm;
      EarliestToken = NextToken;
    }
  }
  return Best;
}

Duration AccountRateLimiter::retryAfter() {
  Instant Now = m_Context.now();
  Duration Delay = m_Bucket.timeUntil(OneToken, Now);
  if (!m_Lease.isValid())
    Delay = std::max(Delay, ShareLease::RenewInterval);
  if (m_Options.Borrow)
    for (const AllocationShare &Share : m_Store.row().Shares) {
      auto Lender = m_Lenders.find(Share.Vm);
      if (Lender != m_Lenders.end())
        Delay = std::min(Delay, Lender->second.NextToken - Now);
    }
  return std::max(Delay, MinRetryAfter);
}

Refusal AccountRateLimiter::makeRefusal() {
  Refusal Reason;
  Reason.SqlState = sqlstate::TooManyRequests;
  Reason.State = RunState::NotRun;
  Reason.Message = "the client account is over its rate";
  Reason.Rule = m_Rule.Source;
  Reason.RetryAfter = retryAfter();
  return Reason;
}

void AccountRateLimiter::onMessage(const PeerReceived &Event,
                                   const AllocationBody &Body) {
  std::visit([&](const auto &Message) { handle(Event, Message); }, Body);
}

void AccountRateLimiter::handle(const PeerReceived &Event,
                                const LoanRequest &Body) {
  activate();
  TokenCount Limit = m_Waiters.empty() ? spendableTokens() : TokenCount{};
  LoanGrant Grant = m_Lender.grant(Event.From, Event.FromIncarnation, Body,
                                   Limit, m_Context.now());
  m_Lease.recordSpent(Grant.Amount);
  if (!m_Lease.isValid())
    Grant.NextToken = std::max(Grant.NextToken, ShareLease::RenewInterval);
  send(Event.From, Grant);
}

void AccountRateLimiter::handle(const PeerReceived &Event,
                                const LoanGrant &Body) {
  Instant Now = m_Context.now();
  m_Borrower.onGrant(Event.From, Body, Now);
  bool HasMore = !(Body.Remaining < OneToken);
  m_Lenders[Event.From].NextToken = HasMore ? Now : Now + Body.NextToken;
  serveWaiters();
}

void AccountRateLimiter::handle(const PeerReceived &Event,
                                const LoanSettlement &Body) {
  m_Lender.settle(Event.From, Event.FromIncarnation, Body, m_Context.now());
}

void AccountRateLimiter::handle(const PeerReceived &Event,
                                const ShareLeaseRequest &Body) {
  activate();
  m_Lease.onRequest(Event.From, Event.FromIncarnation, Body);
}

void AccountRateLimiter::handle(const PeerReceived &Event,
                                const ShareLeaseGrant &Body) {
  m_Lease.onGrant(Event.From, Body, m_Bucket.contract().Burst);
  serveWaiters();
}

void AccountRateLimiter::handle(const PeerReceived &Event,
                                const ShareRequest &) {
  activate();
  splitShare(Event.From, Event.FromIncarnation);
}

} // namespace bergamotstage
