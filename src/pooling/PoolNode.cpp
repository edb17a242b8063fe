#include "bergamotstage/pooling/PoolNode.h"

#include "bergamotstage/rules/PolicyChoice.h"

#include <algorithm>
#include <cstddef>
#include <utility>
#include <variant>

namespace bergamotstage::pooling {
namespace {

/// Interval of all periodic checks that have no timer of their own.
constexpr Duration HousekeepingInterval = milliseconds(500);
/// Mean interval of the pings that compare configuration versions with a random
/// VM, in housekeeping intervals.
constexpr unsigned VersionPingPeriod = 4;
/// Entries that expire during a store outage reappear within 2 s after it.
constexpr Duration RemovedTargetTimeout = seconds(4);
/// Shares of a target's connection limit for the owner and its successor, and
/// the number of connections for any other VM while ownership changes.
constexpr double OwnerLinkShare = 0.6;
constexpr double SuccessorLinkShare = 0.2;
constexpr unsigned OtherLinks = 2;
/// Idle timeouts of free links.
constexpr Duration OwnerIdleLinkTimeout = seconds(25);
constexpr Duration OtherIdleLinkTimeout = seconds(3);
/// New connections arrive after the signal until the platform's two readiness
/// probes, one second apart, have failed.
constexpr Duration AcceptAfterSignal = milliseconds(2300);
constexpr Duration DrainInterval = milliseconds(50);
/// Parts of the grace period that remain at the forced exit, and when the
/// statements in flight get their last answers.
constexpr Duration ShutdownMargin = milliseconds(500);
constexpr Duration LastAnswerMargin = ShutdownMargin + 2 * DrainInterval;

bool expectsAnswer(const FleetMessage &Message) {
  return std::holds_alternative<StartOperation>(Message) ||
         std::holds_alternative<NextStatement>(Message) ||
         std::holds_alternative<ProofRequest>(Message) ||
         std::holds_alternative<TokenRequest>(Message) ||
         std::holds_alternative<StoreUpdateRequest>(Message);
}

/// @brief Connections that a VM may open to a target.
/// @param Rank position of the VM among the target's owners
unsigned linkLimit(unsigned GroupLinks, std::ptrdiff_t Rank) {
  double Share = Rank == 0   ? OwnerLinkShare
                 : Rank == 1 ? SuccessorLinkShare
                             : 0;
  return std::max(static_cast<unsigned>(GroupLinks * Share), OtherLinks);
}

} // namespace

PoolNode::PoolNode(Settings Initial, std::uint64_t Seed, Hooks Callbacks)
    : m_Settings(std::move(Initial)), m_Hooks(std::move(Callbacks)),
      m_Context(m_Settings.Self.Vm, m_Settings.Self.DataCentre, Seed),
      m_Config(std::make_shared<SiteConfig>()), m_Members(m_Settings.Self),
      m_Selector(m_Context, m_Targets,
                 [this](const TargetId &Id) -> const std::vector<VmId> & {
                   return owners(Id);
                 }),
      m_Rates(
          m_Context,
          [this](const VmId &To, FleetMessage &&Message) {
            bool IsReply = std::holds_alternative<TokenGrant>(Message);
            if (IsReply)
              replyToPeer(To, std::move(Message));
            else
              send(To, std::move(Message));
          },
          [this](const VmId &Vm) { return isReachablePeer(Vm); }),
      m_Rows(m_Context, m_Settings.Self, rowHooks()),
      m_Renewals(m_Context, {m_Hooks.CallPlatform,
                             [this](const VmId &To, FleetMessage &&Message) {
                               replyToPeer(To, std::move(Message));
                             }}),
      m_Configs(m_Context, configHooks()), m_Readers(m_Context, readerHooks()),
      m_Failover(m_Context, m_Targets, failoverHooks()),
      m_Sessions(m_Context, m_Targets, m_Selector, m_Rates, m_Metrics,
                 sessionHooks()) {
  m_Evacuations.setBound(m_Settings.EvacuationBound);
  m_Targets.setEvacuations(m_Evacuations);
  m_Selector.setHomes(
      placement::HomeRegions(m_Settings.Regions), [this](const VmId &Vm) {
        const MemberState *Member = m_Members.find(Vm);
        return Member == nullptr ? DataCentreId() : Member->DataCentre;
      });
  m_Selector.setLeaseHolderHook(
      [this](const DatabaseId &Group) -> std::optional<VmId> {
        auto Lease = m_Rows.promotionLease(Group);
        return Lease ? std::optional(Lease->Holder) : std::nullopt;
      });
}

void PoolNode::setTime(Instant Now) { m_Context.setNow(Now); }

void PoolNode::start(Instant Now) {
  setTime(Now);
  m_StartedAt = Now;
  m_Rows.start();
  m_Readers.start();
  checkPeers();
  m_Context.scheduleAfter(HousekeepingInterval, [this] { runHousekeeping(); });
  dispatchLocalMessages();
}

void PoolNode::runDueTimers(Instant Now) {
  setTime(Now);
  m_Context.timers().runDue(Now);
  dispatchLocalMessages();
}

bool PoolNode::ready() const {
  return !m_LeavingSince && m_Config->Version > 0 &&
         !m_Targets.entries().empty() && m_Rows.isLoaded();
}

std::size_t PoolNode::links() const { return m_LinkTargets.size(); }

void PoolNode::send(const VmId &To, FleetMessage &&Message) {
  if (To == m_Context.self()) {
    m_LocalMessages.push_back({To, std::move(Message)});
    return;
  }
  const MemberState *Member = m_Members.find(To);
  if (Member == nullptr)
    return;
  if (expectsAnswer(Message))
    m_Health.expectAnswer(To, m_Context.now());
  m_Hooks.SendPeer(*Member, Message);
}

// Callers.

void PoolNode::onCallerOpened(Instant Now, CallerId Caller,
                              std::string Database, std::string Key) {
  setTime(Now);
  m_Sessions.onCallerOpened(Caller, std::move(Database), std::move(Key));
  dispatchLocalMessages();
}

void PoolNode::onCallerStatement(Instant Now, CallerId Caller, Statement Stmt) {
  setTime(Now);
  m_Sessions.onStatement(Caller, std::move(Stmt));
  dispatchLocalMessages();
}

void PoolNode::onCallerClosed(Instant Now, CallerId Caller) {
  setTime(Now);
  m_Sessions.onCallerClosed(Caller);
  dispatchLocalMessages();
}

// Links.

TargetPool *PoolNode::pool(const TargetId &Id) {
  auto Found = m_Pools.find(Id);
  if (Found != m_Pools.end())
    return Found->second.get();
  const TargetEntry *Target = m_Targets.find(Id);
  if (Target == nullptr)
    return nullptr;
  auto Created = std::make_unique<TargetPool>(m_Context, Id, Target->Group,
                                              Target->Address, poolHooks());
  TargetPool *Pool = Created.get();
  m_Pools[Id] = std::move(Created);
  limitPools();
  return Pool;
}

TargetPool *PoolNode::poolOfLink(LinkId Link) {
  auto Found = m_LinkTargets.find(Link);
  if (Found == m_LinkTargets.end())
    return nullptr;
  auto Pool = m_Pools.find(Found->second);
  bool Owns = Pool != m_Pools.end() && Pool->second->hasLink(Link);
  return Owns ? Pool->second.get() : nullptr;
}

void PoolNode::onLinkOpened(Instant Now, LinkId Link,
                            const std::optional<HistoryPoint> &Position) {
  setTime(Now);
  if (TargetPool *Pool = poolOfLink(Link))
    Pool->onLinkOpened(Link, Position);
  dispatchLocalMessages();
}

void PoolNode::onLinkRefused(Instant Now, LinkId Link, ErrorCode Code) {
  setTime(Now);
  if (TargetPool *Pool = poolOfLink(Link)) {
    m_LinkTargets.erase(Link);
    Pool->onLinkRefused(Link, Code);
  }
  dispatchLocalMessages();
}

void PoolNode::onLinkFailed(Instant Now, LinkId Link,
                            const std::string &Reason) {
  setTime(Now);
  if (TargetPool *Pool = poolOfLink(Link)) {
    m_LinkTargets.erase(Link);
    Pool->onLinkFailed(Link, Reason);
  }
  dispatchLocalMessages();
}

void PoolNode::onLinkReply(Instant Now, LinkId Link, LinkReply Reply) {
  setTime(Now);
  if (TargetPool *Pool = poolOfLink(Link))
    Pool->onLinkReply(Link, std::move(Reply));
  dispatchLocalMessages();
}

void PoolNode::limitPools() {
  for (auto &[Id, Pool] : m_Pools) {
    const TargetEntry *Target = m_Targets.find(Id);
    if (Target == nullptr)
      continue;
    auto Group = m_Config->Groups.find(Target->Group);
    unsigned GroupLinks = Group == m_Config->Groups.end()
                              ? OtherLinks * 2
                              : Group->second.MaxLinks;
    const std::vector<VmId> &Owners = owners(Id);
    auto Rank = std::find(Owners.begin(), Owners.end(), m_Context.self()) -
                Owners.begin();
    bool IsOwner = Rank == 0 && !Owners.empty();
    TargetPool::Limits Limits;
    Limits.Slots = std::max(1U, Target->Slots);
    Limits.MaxLinks = linkLimit(GroupLinks, Rank);
    Limits.IdleLinkTimeout =
        IsOwner ? OwnerIdleLinkTimeout : OtherIdleLinkTimeout;
    Limits.TransactionIdleTimeout = m_Config->TransactionIdle;
    Limits.Order = m_QueueOrder;
    Limits.IsOwner = IsOwner;
    setPaceLimits(*Target, Limits);
    Pool->setLimits(Limits);
    bool IsPrimary = m_Targets.primary(Target->Group) == Id &&
                     m_Targets.mayServeAsPrimary(Id, m_Context.now());
    if (isTransactionTimeOver())
      Pool->stopSending();
    else if (m_Targets.acceptsOperations(Id) || IsPrimary)
      Pool->resumeAdmission();
    else
      Pool->stopAdmission();
    if (m_Targets.isEvacuated(Id) && !IsPrimary)
      Pool->refuseWaiting();
    if (!m_Targets.maySend(Id, m_Context.now()))
      Pool->stopSending();
  }
}

void PoolNode::dropPool(const TargetId &Id, const std::string &Reason) {
  auto Found = m_Pools.find(Id);
  if (Found == m_Pools.end())
    return;
  // The pool sends its last replies before it is destroyed.
  Found->second->shutDown(Reason);
  m_Pools.erase(Found);
  m_Selector.forget(Id);
}

// The platform.

void PoolNode::onPlatformAnswer(Instant Now, const PlatformCallback &Callback,
                                const PlatformAnswer &Answer) {
  setTime(Now);
  Callback(Answer);
  dispatchLocalMessages();
}

void PoolNode::onConfigRead(Instant Now, const ReceivedConfig &Received) {
  setTime(Now);
  if (!m_Configs.accept(Received))
    return;
  m_Config = Received.Config;
  m_Sessions.setConfig(m_Config);
  m_Rates.configure(m_Config->Accounts);
  m_Configs.sendToWaiting();
  m_Readers.onConfigChanged();
  limitPools();
  dispatchLocalMessages();
}

void PoolNode::onPoliciesRead(Instant Now, const SitePolicies &Policies) {
  setTime(Now);
  const RuleSet &Rules = Policies.rules();
  m_Context.log(WriteLog::Level::Info, "policies_in_force",
                {{"policies", std::to_string(Rules.Policies.size())},
                 {"shares", std::to_string(Rules.Shares.size())}});
  for (const auto &[Kind, Rule] : Rules.Policies)
    m_Context.log(WriteLog::Level::Info, "policy_in_force",
                  {{"kind", Kind},
                   {"arm", armLabel(Rule.Choice, Rule.Parameters).value()},
                   {"line", std::to_string(Rule.Source.Line)},
                   {"author", Rule.Source.Author}});
  m_Rates.setSharing(Policies.rateSharing());
  m_QueueOrder = Policies.queueOrder();
  m_AdaptsPace = Policies.adaptsPace();
  m_Sessions.setPolicies(Policies);
  limitPools();
  dispatchLocalMessages();
}

void PoolNode::runHousekeeping() {
  for (const TargetId &Id :
       m_Targets.removeExpired(m_Context.now(), RemovedTargetTimeout))
    dropPool(Id, "the target's entry was removed");
  limitPools();
  for (auto &[Id, Pool] : m_Pools)
    Pool->closeUnusedLinks();
  acquireLeases();
  m_Failover.checkGroups(groups());
  checkEvacuations();
  std::vector<VmId> Peers = peers();
  std::uniform_int_distribution<unsigned> Draw(0, VersionPingPeriod - 1);
  if (!Peers.empty() && Draw(m_Context.random()) == 0) {
    std::uniform_int_distribution<std::size_t> PeerIndex(0, Peers.size() - 1);
    send(Peers[PeerIndex(m_Context.random())], Ping{m_Config->Version});
  }
  m_Context.scheduleAfter(HousekeepingInterval, [this] { runHousekeeping(); });
}

// Shutdown.

void PoolNode::terminate(Instant Now) {
  setTime(Now);
  if (m_LeavingSince)
    return;
  m_LeavingSince = m_Context.now();
  m_Members.setLeaving(m_Context.self());
  m_Context.log(WriteLog::Level::Info, "shutdown_started",
                {{"sessions", std::to_string(m_Sessions.size())},
                 {"operations", std::to_string(m_Sessions.operations())}});
  Hello Notice{m_Context.self(),
               m_Settings.Self.DataCentre,
               m_Settings.Self.PeerAddress,
               m_Settings.Self.Start,
               m_Config->Version,
               true,
               m_Settings.Self.Cores};
  broadcast(Notice);
  limitPools();
  drain();
  dispatchLocalMessages();
}

bool PoolNode::isTransactionTimeOver() const {
  return m_LeavingSince &&
         m_Context.now() - *m_LeavingSince >= m_Settings.Grace / 2;
}

void PoolNode::drain() {
  Duration Elapsed = m_Context.now() - *m_LeavingSince;
  bool Accepting = Elapsed < AcceptAfterSignal;
  m_Sessions.closeIdle(!Accepting);
  if (!Accepting)
    m_Hooks.StopAccepting();
  if (isTransactionTimeOver()) {
    m_Sessions.endTransactions();
    // Transactions of other VMs' callers end as well.
    for (auto &[Id, Pool] : m_Pools)
      Pool->stopSending();
  }
  if (Elapsed >= m_Settings.Grace - LastAnswerMargin)
    m_Sessions.refuseInFlight();
  bool Drained =
      m_Sessions.size() == 0 &&
      std::all_of(m_Pools.begin(), m_Pools.end(),
                  [](const auto &Entry) { return Entry.second->isIdle(); });
  bool DeadlineReached = Elapsed >= m_Settings.Grace - ShutdownMargin;
  if (!m_Exited && ((Drained && !Accepting) || DeadlineReached)) {
    m_Exited = true;
    m_Context.log(WriteLog::Level::Info, "shutdown_ended",
                  {{"sessions", std::to_string(m_Sessions.size())},
                   {"operations", std::to_string(m_Sessions.operations())}});
    m_Hooks.Exit();
    return;
  }
  m_Context.scheduleAfter(DrainInterval, [this] { drain(); });
}

} // namespace bergamotstage::pooling
