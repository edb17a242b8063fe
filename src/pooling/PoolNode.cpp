#include "bergamotstage/pooling/PoolNode.h"

#include "bergamotstage/forward/Rendezvous.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace bergamotstage::pooling {
namespace {

/// Peers that owe answers are looked at this often.
constexpr Duration PeerCheckInterval = milliseconds(75);
/// Everything that has no timer of its own is looked at this often.
constexpr Duration HousekeepInterval = milliseconds(500);
/// One VM, drawn at random, is pinged this often to compare versions.
constexpr unsigned VersionPingEvery = 4; ///< Of HousekeepInterval.
/// A target whose entry is gone is kept for so long: entries lapse while the
/// store is away and are back within two seconds of its return.
constexpr Duration MissingGrace = seconds(4);
/// Shares of a target's connections: the owner, the VM next in line, and any
/// other that needs a few for the time of a change.
constexpr double OwnerLinkShare = 0.6;
constexpr double NextOwnerLinkShare = 0.2;
constexpr unsigned OtherLinks = 2;
/// Free links are closed after so long without use.
constexpr Duration OwnerLinkLife = seconds(25);
constexpr Duration OtherLinkLife = seconds(3);
/// A proof of this age is as good as a new one to whoever asks.
constexpr Duration SharedProofAge = milliseconds(60);
/// A target that was heard of so lately is alive.
constexpr Duration AliveAge = milliseconds(300);
/// The holder of a duty must be lost for so long before another VM takes it.
constexpr Duration HolderLostTime = seconds(2);
/// The VM that reads a configuration for its data centre has it by then.
constexpr Duration ZoneConfigTime = milliseconds(80);
/// A peer that has a newer configuration sends it within this time.
constexpr Duration PeerConfigTime = milliseconds(400);
const char *const ConfigSubject = "config of a data centre";
constexpr Duration AcquireTimeout = seconds(3);
/// After a signal, connections still come until the platform has noticed:
/// two probes, a second apart.
constexpr Duration AcceptAfterSignal = milliseconds(2300);
constexpr Duration DrainInterval = milliseconds(50);
/// Left of the grace period when the process ends in any case.
constexpr Duration EndMargin = milliseconds(500);

std::string dutySubject(const DatabaseId &Group) {
  return "duty " + Group.value();
}

bool expectsAnswer(const FleetMessage &Message) {
  return std::holds_alternative<StartWork>(Message) ||
         std::holds_alternative<NextWork>(Message) ||
         std::holds_alternative<ProofAsk>(Message) ||
         std::holds_alternative<TokenAsk>(Message) ||
         std::holds_alternative<NewsAsk>(Message);
}

} // namespace

PoolNode::PoolNode(Settings Chosen, std::uint64_t Seed, Hooks Ask)
    : m_Settings(std::move(Chosen)), m_Hooks(std::move(Ask)),
      m_Context(m_Settings.Self.Vm, m_Settings.Self.DataCentre, Seed),
      m_Config(std::make_shared<SiteConfig>()),
      m_Choice(m_Context, m_Targets,
               [this](const TargetId &Id) { return owners(Id); }),
      m_Rates(
          m_Context,
          [this](const VmId &To, FleetMessage &&Message) {
            bool Answers = std::holds_alternative<TokenGrant>(Message);
            if (Answers)
              answerPeer(To, std::move(Message));
            else
              send(To, std::move(Message));
          },
          [this] { return peers(); }),
      m_Rows(m_Context, m_Settings.Self, rowHooks()),
      m_Readers(m_Context, readerHooks()),
      m_Promotion(m_Context, m_Targets, promotionHooks()),
      m_Sessions(m_Context, m_Targets, m_Choice, m_Rates, m_Metrics,
                 sessionHooks()) {
  m_Members[m_Settings.Self.Vm] = m_Settings.Self;
}

Sessions::Hooks PoolNode::sessionHooks() {
  Sessions::Hooks Ask;
  Ask.Answer = m_Hooks.Answer;
  Ask.Close = m_Hooks.CloseCaller;
  Ask.Send = [this](const VmId &To, FleetMessage &&Message) {
    send(To, std::move(Message));
  };
  return Ask;
}

TargetPool::Hooks PoolNode::poolHooks() {
  TargetPool::Hooks Ask;
  Ask.Open = [this](LinkId Link, const LinkTarget &To) {
    m_LinkTargets[Link] = To.Target;
    m_Hooks.OpenLink(Link, To);
  };
  Ask.Close = [this](LinkId Link) {
    m_LinkTargets.erase(Link);
    m_Hooks.CloseLink(Link);
  };
  Ask.Send = m_Hooks.SendLink;
  Ask.Reply = [this](const WorkId &Id, WorkResult &&Result) {
    answerPeer(Id.Origin, WorkReply{Id.Number, std::move(Result)});
  };
  Ask.Reachable = [this](const TargetId &Id, bool Reachable) {
    targetReachable(Id, Reachable);
  };
  Ask.Proven = [this](const TargetId &Id, Instant AskedAt,
                      const HistoryPoint &Position) {
    if (const TargetEntry *Target = m_Targets.find(Id))
      m_Choice.proofs(Target->Group).add(AskedAt, Position);
  };
  return Ask;
}

PromotionDuty::Hooks PoolNode::promotionHooks() {
  PromotionDuty::Hooks Ask;
  Ask.Prove = [this](const TargetId &Id, PromotionDuty::ProofCallback Done) {
    TargetPool *At = pool(Id);
    if (At == nullptr)
      return Done(std::nullopt);
    At->prove(anyAccount(), Duration(0),
              [Done = std::move(Done)](std::optional<HistoryPoint> Position,
                                       Instant) { Done(Position); });
  };
  Ask.Command = [this](const TargetId &Id, LinkRequest Request,
                       PromotionDuty::ReplyCallback Done) {
    TargetPool *At = pool(Id);
    if (At == nullptr)
      return Done(std::nullopt);
    At->command(anyAccount(), std::move(Request), std::move(Done));
  };
  Ask.CallPromote = [this](Promote Order, PromotionDuty::PromoteCallback Done) {
    m_Hooks.CallPlatform(std::move(Order), std::move(Done));
  };
  Ask.IsHolder = [this](const DatabaseId &Group) { return holdsDuty(Group); };
  Ask.Fence = [this](const DatabaseId &Group) -> std::optional<std::uint64_t> {
    auto Duty = m_Rows.duty(Group);
    if (!Duty || Duty->Holder != m_Context.self())
      return std::nullopt;
    return Duty->Fence;
  };
  Ask.RaiseFence = [this](const DatabaseId &Group,
                          PromotionDuty::FenceCallback Done) {
    m_Rows.acquire(Group, std::move(Done));
  };
  Ask.TellAll = [this](FleetMessage &&Message) { tellAll(Message); };
  Ask.SyncReplicas = [this](const DatabaseId &Group) {
    auto Found = m_Config->Groups.find(Group);
    return Found == m_Config->Groups.end() ? 0U : Found->second.SyncReplicas;
  };
  Ask.Led = [this](const DatabaseId &Group, const TargetId &Id, Term NewTerm) {
    m_Targets.promoted(Group, Id, NewTerm);
    m_Sessions.retryHeld();
  };
  return Ask;
}

FleetRows::Hooks PoolNode::rowHooks() {
  FleetRows::Hooks Ask;
  Ask.Call = m_Hooks.CallPlatform;
  Ask.PlanChanged = [this](std::shared_ptr<const RatePlan> Plan,
                           const std::set<RatePlan::Slot> &Usable) {
    if (Usable.size() != m_Rates.slots())
      m_Context.log(WriteLog::Level::Info, "rate_slots_changed",
                    {{"slots", std::to_string(Usable.size())},
                     {"of", std::to_string(Plan ? Plan->size() : 0)}});
    m_Rates.setPlan(std::move(Plan), Usable);
  };
  Ask.Listed = [this](const std::vector<MemberState> &Members) {
    listed(Members);
  };
  return Ask;
}

StoreReaders::Hooks PoolNode::readerHooks() {
  StoreReaders::Hooks Ask;
  Ask.Ask = [this](const VmId &To, FleetMessage &&Message) {
    send(To, std::move(Message));
  };
  Ask.Answer = [this](const VmId &To, FleetMessage &&Message) {
    answerPeer(To, std::move(Message));
  };
  Ask.Members = [this]() -> const MemberMap & { return m_Members; };
  Ask.ConfigVersion = [this] { return m_Config->Version; };
  Ask.Targets = [this] {
    std::vector<TargetEntry> All;
    for (const auto &[Id, Entry] : m_Targets.entries())
      All.push_back(Entry);
    return All;
  };
  Ask.Follow = m_Hooks.FollowStore;
  Ask.CompareVersion = [this](const VmId &From, std::uint64_t Version) {
    compareVersion(From, Version);
  };
  Ask.Apply = [this](const News &Told) {
    if (Told.TargetsBefore == 0)
      return applyTargets(Told.Changed);
    for (const TargetEntry &Entry : Told.Changed)
      applyTarget(Entry);
    for (const TargetId &Id : Told.Gone)
      removeTarget(Id);
  };
  return Ask;
}

void PoolNode::begin(Instant Now) { m_Context.setNow(Now); }

void PoolNode::start(Instant Now) {
  begin(Now);
  m_Rows.start();
  m_Readers.start();
  m_Context.after(PeerCheckInterval, [this] { checkPeers(); });
  m_Context.after(HousekeepInterval, [this] { housekeep(); });
  settle();
}

void PoolNode::wake(Instant Now) {
  begin(Now);
  m_Context.timers().runDue(Now);
  settle();
}

bool PoolNode::ready() const {
  return !m_LeavingSince && m_Config->Version > 0 &&
         !m_Targets.entries().empty() && m_Rows.known();
}

std::size_t PoolNode::links() const { return m_LinkTargets.size(); }

// Messages.

void PoolNode::send(const VmId &To, FleetMessage &&Message) {
  if (To == m_Context.self()) {
    m_Local.push_back({To, std::move(Message)});
    return;
  }
  auto Found = m_Members.find(To);
  if (Found == m_Members.end())
    return;
  if (expectsAnswer(Message))
    m_Health.expectAnswer(To, m_Context.now());
  m_Hooks.SendPeer(Found->second, Message);
}

void PoolNode::answerPeer(const VmId &To, FleetMessage &&Message) {
  if (To == m_Context.self()) {
    m_Local.push_back({To, std::move(Message)});
    return;
  }
  m_Hooks.ReplyPeer(To, Message);
}

void PoolNode::tellAll(const FleetMessage &Message) {
  for (const VmId &Peer : peers())
    send(Peer, FleetMessage(Message));
}

void PoolNode::settle() {
  if (m_Settling)
    return;
  m_Settling = true;
  while (!m_Local.empty()) {
    Local Next = std::move(m_Local.front());
    m_Local.pop_front();
    handle(Next.From, std::move(Next.Message));
  }
  m_Settling = false;
}

void PoolNode::handle(const VmId &From, FleetMessage &&Message) {
  std::visit(
      [&](auto &&Body) { take(From, std::forward<decltype(Body)>(Body)); },
      std::move(Message));
}

void PoolNode::peerReceived(Instant Now, const VmId &From,
                            FleetMessage Message) {
  begin(Now);
  if (m_Health.heard(From, m_Context.now()))
    setReachable(From, true);
  handle(From, std::move(Message));
  settle();
}

void PoolNode::take(const VmId &From, Hello &&Body) {
  auto Known = m_Origins.find(From);
  bool NewLife = Known != m_Origins.end() && Known->second != Body.Start;
  if (NewLife)
    for (auto &[Id, At] : m_Pools)
      At->abandonAll(From);
  m_Origins[From] = Body.Start;
  bool Unknown = m_Members.count(From) == 0;
  m_Members[From] = {From, Body.DataCentre, Body.Address, Body.Start,
                     true, Body.Leaving,    Body.Cores};
  if (Unknown || Body.Leaving || NewLife) {
    m_Context.log(WriteLog::Level::Info, "vm_seen",
                  {{"vm", From.value()},
                   {"leaving", Body.Leaving ? "yes" : "no"},
                   {"new_life", NewLife ? "yes" : "no"}});
    limitPools();
  }
  if (Unknown)
    m_Rows.readSoon();
  compareVersion(From, Body.ConfigVersion);
}

void PoolNode::compareVersion(const VmId &From, std::uint64_t Version) {
  if (Version <= m_Config->Version)
    return;
  m_Context.log(WriteLog::Level::Info, "newer_config_at_peer",
                {{"vm", From.value()},
                 {"version", std::to_string(Version)},
                 {"own", std::to_string(m_Config->Version)}});
  fetchConfig(From, Version);
}

/// @brief Gets a configuration that is known to exist.
///
/// One VM of each data centre reads it from the store and the others there get
/// it from that one: calls of the store and bytes between data centres are
/// both paid for.
void PoolNode::fetchConfig(const VmId &From, std::uint64_t Version) {
  if (Version <= m_Fetching)
    return;
  m_Fetching = Version;
  auto Teller = m_Members.find(From);
  bool Near = Teller != m_Members.end() &&
              Teller->second.DataCentre == m_Context.dataCentre();
  std::vector<VmId> Order =
      rankOwners(ConfigSubject, m_Context.dataCentre(), m_Members);
  bool First = !Order.empty() && Order.front() == m_Context.self();
  if (Near)
    send(From, ConfigAsk{});
  else if (First)
    m_Hooks.ReadConfig();
  else if (!Order.empty())
    m_Context.after(ZoneConfigTime, [this, Version, Holder = Order.front()] {
      if (m_Config->Version < Version)
        send(Holder, ConfigAsk{});
    });
  m_Context.after(PeerConfigTime, [this, Version] {
    m_Fetching = 0;
    if (m_Config->Version < Version)
      m_Hooks.ReadConfig();
  });
}

void PoolNode::take(const VmId &From, Ping &&Body) {
  compareVersion(From, Body.ConfigVersion);
  answerPeer(From, Pong{m_Config->Version});
}

void PoolNode::take(const VmId &From, Pong &&Body) {
  compareVersion(From, Body.ConfigVersion);
}

void PoolNode::take(const VmId & /*From*/, StartWork &&Body) {
  TargetPool *At = pool(Body.Asked.Target);
  if (At != nullptr)
    return At->start(std::move(Body.Asked));
  WorkResult Result;
  Result.Reason = NotRunReason::UnknownTarget;
  answerPeer(Body.Asked.Id.Origin,
             WorkReply{Body.Asked.Id.Number, std::move(Result)});
}

void PoolNode::take(const VmId &From, NextWork &&Body) {
  WorkId Id{From, Body.Number};
  for (auto &[Target, At] : m_Pools) {
    if (!At->has(Id))
      continue;
    std::optional<SharedValues> Values;
    if (Body.ValuesChanged)
      Values = std::move(Body.Values);
    return At->next(Id, std::move(Body.Call), Values, Body.QueueTime);
  }
  WorkResult Result;
  Result.Reason = NotRunReason::Unreachable;
  answerPeer(From, WorkReply{Body.Number, std::move(Result)});
}

void PoolNode::take(const VmId &From, AbandonWork &&Body) {
  WorkId Id{From, Body.Number};
  for (auto &[Target, At] : m_Pools)
    At->abandon(Id);
}

void PoolNode::take(const VmId &From, WorkReply &&Body) {
  m_Sessions.replied(From, Body);
}

void PoolNode::take(const VmId &From, ProofAsk &&Body) {
  TargetPool *At = pool(Body.Target);
  if (At == nullptr)
    return answerPeer(From, ProofReply{Body.Target, false, {}, {}, Body.Stamp});
  At->prove(Body.Account, SharedProofAge,
            [this, From, Target = Body.Target, Stamp = Body.Stamp](
                std::optional<HistoryPoint> Position, Instant AskedAt) {
              ProofReply Reply;
              Reply.Target = Target;
              Reply.Proven = Position.has_value();
              Reply.Position = Position.value_or(HistoryPoint());
              Reply.Age = m_Context.now() - AskedAt;
              Reply.Stamp = Stamp;
              answerPeer(From, std::move(Reply));
            });
}

void PoolNode::take(const VmId & /*From*/, ProofReply &&Body) {
  m_Sessions.proven(Body);
}

void PoolNode::take(const VmId &From, TokenAsk &&Body) {
  m_Rates.received(From, Body);
}

void PoolNode::take(const VmId &From, TokenGrant &&Body) {
  m_Rates.received(From, Body);
}

void PoolNode::take(const VmId &From, PrimarySuspected &&Body) {
  auto At = m_Pools.find(Body.Target);
  bool Alive = At != m_Pools.end() && At->second->reachable() &&
               m_Context.now() - At->second->lastHeard() < AliveAge;
  if (Alive)
    return send(From, TargetAlive{Body.Group, Body.Target});
  if (!holdsDuty(Body.Group))
    acquireIfFirst(Body.Group);
  m_Promotion.suspected(Body.Group, Body.Target);
}

void PoolNode::take(const VmId & /*From*/, TargetAlive &&Body) {
  m_Promotion.alive(Body.Group, Body.Target);
}

void PoolNode::take(const VmId & /*From*/, Promoted &&Body) {
  m_Targets.promoted(Body.Group, Body.Target, Body.NewTerm);
  m_Sessions.retryHeld();
}

void PoolNode::take(const VmId &From, ConfigAsk && /*Body*/) {
  answerPeer(From, ConfigText{m_Hooks.ConfigText()});
}

void PoolNode::take(const VmId & /*From*/, ConfigText &&Body) {
  m_Hooks.TakeConfigText(Body.Text);
}

void PoolNode::take(const VmId &From, NewsAsk &&Body) {
  m_Readers.received(From, Body);
}

void PoolNode::take(const VmId &From, News &&Body) {
  m_Readers.received(From, Body);
}

// Callers.

void PoolNode::callerOpened(Instant Now, CallerId Caller, std::string Database,
                            std::string Key) {
  begin(Now);
  m_Sessions.opened(Caller, std::move(Database), std::move(Key));
  settle();
}

void PoolNode::callerSent(Instant Now, CallerId Caller, Statement Call) {
  begin(Now);
  m_Sessions.arrived(Caller, std::move(Call));
  settle();
}

void PoolNode::callerClosed(Instant Now, CallerId Caller) {
  begin(Now);
  m_Sessions.closed(Caller);
  settle();
}

// Links.

TargetPool *PoolNode::pool(const TargetId &Id) {
  auto Found = m_Pools.find(Id);
  if (Found != m_Pools.end())
    return Found->second.get();
  const TargetEntry *Target = m_Targets.find(Id);
  if (Target == nullptr)
    return nullptr;
  auto Made = std::make_unique<TargetPool>(m_Context, Id, Target->Group,
                                           Target->Address, poolHooks());
  TargetPool *At = Made.get();
  m_Pools[Id] = std::move(Made);
  limitPools();
  return At;
}

TargetPool *PoolNode::poolOf(LinkId Link) {
  auto Found = m_LinkTargets.find(Link);
  if (Found == m_LinkTargets.end())
    return nullptr;
  auto At = m_Pools.find(Found->second);
  bool Owns = At != m_Pools.end() && At->second->owns(Link);
  return Owns ? At->second.get() : nullptr;
}

void PoolNode::linkOpened(Instant Now, LinkId Link,
                          const std::optional<HistoryPoint> &Position) {
  begin(Now);
  if (TargetPool *At = poolOf(Link))
    At->linkOpened(Link, Position);
  settle();
}

void PoolNode::linkRefused(Instant Now, LinkId Link, ErrorCode Code) {
  begin(Now);
  if (TargetPool *At = poolOf(Link)) {
    m_LinkTargets.erase(Link);
    At->linkRefused(Link, Code);
  }
  settle();
}

void PoolNode::linkFailed(Instant Now, LinkId Link, const std::string &Reason) {
  begin(Now);
  if (TargetPool *At = poolOf(Link)) {
    m_LinkTargets.erase(Link);
    At->linkFailed(Link, Reason);
  }
  settle();
}

void PoolNode::linkReplied(Instant Now, LinkId Link, LinkReply Reply) {
  begin(Now);
  if (TargetPool *At = poolOf(Link))
    At->linkReplied(Link, std::move(Reply));
  settle();
}

void PoolNode::limitPools() {
  for (auto &[Id, At] : m_Pools) {
    const TargetEntry *Target = m_Targets.find(Id);
    if (Target == nullptr)
      continue;
    auto Group = m_Config->Groups.find(Target->Group);
    unsigned Cap = Group == m_Config->Groups.end() ? OtherLinks * 2
                                                   : Group->second.MaxLinks;
    std::vector<VmId> Order = owners(Id);
    auto Place =
        std::find(Order.begin(), Order.end(), m_Context.self()) - Order.begin();
    TargetPool::Limits Limits;
    Limits.Slots = std::max(1U, Target->Slots);
    Limits.MaxLinks = OtherLinks;
    if (Place == 0)
      Limits.MaxLinks = static_cast<unsigned>(Cap * OwnerLinkShare);
    else if (Place == 1)
      Limits.MaxLinks = static_cast<unsigned>(Cap * NextOwnerLinkShare);
    Limits.MaxLinks = std::max(Limits.MaxLinks, OtherLinks);
    Limits.TransactionIdle = m_Config->TransactionIdle;
    At->setLimits(Limits);
    bool Leads = m_Targets.primary(Target->Group) == Id &&
                 m_Targets.mayStillLead(Id, m_Context.now());
    if (m_Targets.takesWork(Id) || Leads)
      At->resumeNewWork();
    else
      At->stopNewWork();
  }
}

void PoolNode::dropPool(const TargetId &Id, const std::string &Reason) {
  auto Found = m_Pools.find(Id);
  if (Found == m_Pools.end())
    return;
  // Its last replies go out before it goes.
  Found->second->shutDown(Reason);
  m_Pools.erase(Found);
  m_Choice.forget(Id);
}

// Targets.

std::vector<VmId> PoolNode::owners(const TargetId &Id) const {
  const TargetEntry *Target = m_Targets.find(Id);
  DataCentreId Near = Target == nullptr ? DataCentreId() : Target->DataCentre;
  return rankOwners(Id.value(), Near, m_Members);
}

AccountId PoolNode::anyAccount() const {
  if (m_Config->Accounts.empty())
    return AccountId("-");
  return m_Config->Accounts.begin()->first;
}

void PoolNode::targetListed(Instant Now, const TargetEntry &Entry) {
  begin(Now);
  if (applyTarget(Entry))
    m_Readers.targetsChanged({Entry}, {});
  settle();
}

void PoolNode::targetGone(Instant Now, const TargetId &Id) {
  begin(Now);
  removeTarget(Id);
  m_Readers.targetsChanged({}, {Id});
  settle();
}

void PoolNode::targetsListed(Instant Now, const std::vector<TargetEntry> &All) {
  begin(Now);
  applyTargets(All);
  m_Readers.targetsListed();
  settle();
}

void PoolNode::storeAnswered(Instant Now) {
  begin(Now);
  m_Readers.storeAnswered();
}

bool PoolNode::applyTarget(const TargetEntry &Entry) {
  TargetTable::Change Made = m_Targets.apply(Entry, m_Context.now());
  if (Made == TargetTable::Change::None)
    return false;
  m_Context.log(WriteLog::Level::Info, "target_listed",
                {{"target", Entry.Id.value()},
                 {"group", Entry.Group.value()},
                 {"draining", Entry.Draining ? "yes" : "no"},
                 {"leads", Entry.ClaimsLead ? "yes" : "no"},
                 {"version", std::to_string(Entry.Version)}});
  if (Made == TargetTable::Change::Reborn)
    dropPool(Entry.Id, "the target was started anew");
  limitPools();
  m_Promotion.checkGroups({Entry.Group});
  m_Sessions.retryHeld();
  return true;
}

void PoolNode::removeTarget(const TargetId &Id) {
  m_Targets.remove(Id, m_Context.now());
  m_Context.log(WriteLog::Level::Info, "target_unlisted",
                {{"target", Id.value()}});
}

void PoolNode::applyTargets(const std::vector<TargetEntry> &All) {
  std::vector<TargetId> Gone;
  for (const auto &[Id, Known] : m_Targets.entries()) {
    bool Listed = std::any_of(
        All.begin(), All.end(),
        [Id = Id](const TargetEntry &Entry) { return Entry.Id == Id; });
    if (!Listed)
      Gone.push_back(Id);
  }
  for (const TargetId &Id : Gone)
    m_Targets.remove(Id, m_Context.now());
  for (const TargetEntry &Entry : All)
    applyTarget(Entry);
}

void PoolNode::targetReachable(const TargetId &Id, bool Reachable) {
  const TargetEntry *Target = m_Targets.find(Id);
  if (Target == nullptr)
    return;
  if (Reachable) {
    m_Sessions.retryHeld();
    return;
  }
  m_Choice.learnUnreachable(Id);
  if (m_Targets.primary(Target->Group) != Id)
    return;
  PrimarySuspected Word{Target->Group, Id};
  auto Duty = m_Rows.duty(Target->Group);
  if (Duty && Duty->Holder != m_Context.self())
    send(Duty->Holder, FleetMessage(Word));
  bool HolderLost = !Duty || m_Health.isLost(Duty->Holder);
  std::vector<VmId> Order =
      rankOwners(dutySubject(Target->Group), DataCentreId(), m_Members);
  if (HolderLost && !Order.empty() && Order.front() != m_Context.self())
    send(Order.front(), FleetMessage(Word));
  if (HolderLost)
    acquireIfFirst(Target->Group);
  m_Promotion.suspected(Target->Group, Id);
}

// Duties.

bool PoolNode::holdsDuty(const DatabaseId &Group) const {
  auto Duty = m_Rows.duty(Group);
  return Duty && Duty->Holder == m_Context.self() && !m_LeavingSince;
}

void PoolNode::acquireIfFirst(const DatabaseId &Group) {
  if (!m_Rows.known() || m_LeavingSince || holdsDuty(Group))
    return;
  auto Pending = m_AcquiringSince.find(Group);
  bool Acquiring = Pending != m_AcquiringSince.end() &&
                   Pending->second + AcquireTimeout > m_Context.now();
  std::vector<VmId> Order =
      rankOwners(dutySubject(Group), DataCentreId(), m_Members);
  bool First = !Order.empty() && Order.front() == m_Context.self();
  auto Duty = m_Rows.duty(Group);
  bool HolderGone = true;
  if (Duty) {
    auto Holder = m_Members.find(Duty->Holder);
    HolderGone =
        Holder == m_Members.end() || Holder->second.Leaving ||
        m_Health.lostFor(Duty->Holder, m_Context.now()) >= HolderLostTime;
  }
  if (Acquiring || !First || !HolderGone)
    return;
  m_AcquiringSince[Group] = m_Context.now();
  m_Rows.acquire(Group, [this, Group](std::optional<std::uint64_t>) {
    m_AcquiringSince.erase(Group);
  });
}

void PoolNode::acquireDuties() {
  for (const auto &[Group, Rule] : m_Config->Groups)
    acquireIfFirst(Group);
}

// The platform.

void PoolNode::platformAnswered(Instant Now, const PlatformCallback &Callback,
                                const PlatformAnswer &Answer) {
  begin(Now);
  Callback(Answer);
  settle();
}

void PoolNode::configRead(Instant Now, const SharedConfig &Config) {
  begin(Now);
  if (Config->Version <= m_Config->Version)
    return;
  m_Config = Config;
  m_Context.log(WriteLog::Level::Info, "config_in_force",
                {{"version", std::to_string(Config->Version)},
                 {"routes", std::to_string(Config->Routes.size())},
                 {"keys", std::to_string(Config->Keys.size())},
                 {"accounts", std::to_string(Config->Accounts.size())}});
  m_Sessions.setConfig(Config);
  m_Rates.configure(Config->Accounts);
  m_Readers.configChanged();
  limitPools();
  settle();
}

// Other VMs.

std::vector<VmId> PoolNode::peers() const {
  std::vector<VmId> Reachable;
  for (const auto &[Id, Member] : m_Members)
    if (Id != m_Context.self() && Member.Reachable)
      Reachable.push_back(Id);
  return Reachable;
}

void PoolNode::listed(const std::vector<MemberState> &Members) {
  for (const MemberState &Member : Members) {
    if (Member.Vm == m_Context.self())
      continue;
    auto [Found, Added] = m_Members.try_emplace(Member.Vm, Member);
    if (!Added && Found->second.Start < Member.Start) {
      Found->second = Member;
      Found->second.Reachable = !m_Health.isLost(Member.Vm);
    }
  }
  std::vector<VmId> Unlisted;
  for (const auto &[Id, Member] : m_Members) {
    bool Listed = std::any_of(
        Members.begin(), Members.end(),
        [Id = Id](const MemberState &Entry) { return Entry.Vm == Id; });
    if (!Listed && Id != m_Context.self() && !Member.Reachable)
      Unlisted.push_back(Id);
  }
  for (const VmId &Id : Unlisted) {
    m_Members.erase(Id);
    m_Health.forget(Id);
  }
  limitPools();
}

void PoolNode::setReachable(const VmId &Vm, bool Reachable) {
  auto Found = m_Members.find(Vm);
  if (Found == m_Members.end() || Found->second.Reachable == Reachable)
    return;
  Found->second.Reachable = Reachable;
  m_Context.log(Reachable ? WriteLog::Level::Info : WriteLog::Level::Warning,
                Reachable ? "vm_reachable" : "vm_unreachable",
                {{"vm", Vm.value()}});
  limitPools();
}

void PoolNode::losePeer(const VmId &Vm, const char *Reason) {
  if (m_Members.count(Vm) == 0)
    return;
  bool Was = m_Health.isLost(Vm);
  m_Health.broken(Vm, m_Context.now());
  if (!Was)
    m_Context.log(WriteLog::Level::Warning, "vm_lost",
                  {{"vm", Vm.value()}, {"reason", Reason}});
  setReachable(Vm, false);
  m_Sessions.ownerLost(Vm);
}

void PoolNode::peerLost(Instant Now, const VmId &Vm) {
  begin(Now);
  losePeer(Vm, "the connection broke");
  settle();
}

void PoolNode::originLost(Instant Now, const VmId &Vm) {
  begin(Now);
  for (auto &[Id, At] : m_Pools)
    At->abandonAll(Vm);
  settle();
}

void PoolNode::checkPeers() {
  PeerHealth::Due Due = m_Health.check(m_Context.now());
  for (const VmId &Vm : Due.Lost) {
    m_Hooks.DropPeer(Vm);
    losePeer(Vm, "a ping was not answered");
  }
  for (const VmId &Vm : Due.Ping)
    send(Vm, Ping{m_Config->Version});
  m_Context.after(PeerCheckInterval, [this] { checkPeers(); });
}

void PoolNode::housekeep() {
  for (const TargetId &Id : m_Targets.expire(m_Context.now(), MissingGrace))
    dropPool(Id, "the target's entry is gone");
  limitPools();
  for (auto &[Id, At] : m_Pools) {
    std::vector<VmId> Order = owners(Id);
    bool Owner = !Order.empty() && Order.front() == m_Context.self();
    At->trim(Owner ? OwnerLinkLife : OtherLinkLife);
  }
  acquireDuties();
  std::vector<DatabaseId> Groups;
  for (const auto &[Group, Rule] : m_Config->Groups)
    Groups.push_back(Group);
  m_Promotion.checkGroups(Groups);
  std::vector<VmId> Peers = peers();
  std::uniform_int_distribution<unsigned> Chance(0, VersionPingEvery - 1);
  if (!Peers.empty() && Chance(m_Context.random()) == 0) {
    std::uniform_int_distribution<std::size_t> Any(0, Peers.size() - 1);
    send(Peers[Any(m_Context.random())], Ping{m_Config->Version});
  }
  m_Context.after(HousekeepInterval, [this] { housekeep(); });
}

// Shutdown.

void PoolNode::terminate(Instant Now) {
  begin(Now);
  if (m_LeavingSince)
    return;
  m_LeavingSince = m_Context.now();
  m_Members[m_Context.self()].Leaving = true;
  m_Context.log(WriteLog::Level::Info, "shutdown_started",
                {{"sessions", std::to_string(m_Sessions.size())},
                 {"operations", std::to_string(m_Sessions.busy())}});
  Hello Word{m_Context.self(),
             m_Settings.Self.DataCentre,
             m_Settings.Self.PeerAddress,
             m_Settings.Self.Start,
             m_Config->Version,
             true,
             m_Settings.Self.Cores};
  tellAll(Word);
  limitPools();
  drain();
  settle();
}

void PoolNode::drain() {
  Duration Passed = m_Context.now() - *m_LeavingSince;
  bool Accepting = Passed < AcceptAfterSignal;
  m_Sessions.closeIdle(!Accepting);
  if (!Accepting)
    m_Hooks.StopAccepting();
  if (Passed >= m_Settings.Grace / 2)
    m_Sessions.abortTransactions();
  bool Done =
      m_Sessions.size() == 0 &&
      std::all_of(m_Pools.begin(), m_Pools.end(),
                  [](const auto &Entry) { return Entry.second->idle(); });
  bool Over = Passed >= m_Settings.Grace - EndMargin;
  if (!m_Exited && ((Done && !Accepting) || Over)) {
    m_Exited = true;
    m_Context.log(WriteLog::Level::Info, "shutdown_ended",
                  {{"sessions", std::to_string(m_Sessions.size())},
                   {"operations", std::to_string(m_Sessions.busy())}});
    m_Hooks.Exit();
    return;
  }
  m_Context.after(DrainInterval, [this] { drain(); });
}

} // namespace bergamotstage::pooling
