#include "bergamotstage/pooling/PoolNode.h"

#include <utility>
#include <variant>
#include <vector>

namespace bergamotstage::pooling {
namespace {

/// In a smaller fleet few renewals would share a batch.
constexpr std::size_t MinBatchedVms = 30;
const char *const RenewalSubject = "member renewals";

} // namespace

Sessions::Hooks PoolNode::sessionHooks() {
  Sessions::Hooks Callbacks;
  Callbacks.Answer = m_Hooks.Answer;
  Callbacks.Close = m_Hooks.CloseCaller;
  Callbacks.Send = [this](const VmId &To, FleetMessage &&Message) {
    send(To, std::move(Message));
  };
  return Callbacks;
}

TargetPool::Hooks PoolNode::poolHooks() {
  TargetPool::Hooks Callbacks;
  Callbacks.Open = [this](LinkId Link, const LinkTarget &To) {
    m_LinkTargets[Link] = To.Target;
    m_Hooks.OpenLink(Link, To);
  };
  Callbacks.Close = [this](LinkId Link) {
    m_LinkTargets.erase(Link);
    m_Hooks.CloseLink(Link);
  };
  Callbacks.Send = m_Hooks.SendLink;
  Callbacks.Reply = [this](const OperationId &Id, StatementResult &&Result) {
    replyToPeer(Id.Origin, StatementReply{Id.Number, std::move(Result)});
  };
  Callbacks.ReachabilityChanged = [this](const TargetId &Id, bool Reachable) {
    onReachabilityChanged(Id, Reachable);
  };
  Callbacks.PositionProven = [this](const TargetId &Id, Instant RequestedAt,
                                    const HistoryPoint &Position) {
    if (const TargetEntry *Target = m_Targets.find(Id))
      m_Selector.proofs(Target->Group).add(RequestedAt, Position);
  };
  Callbacks.Refused = [this](NotRunReason Reason, unsigned Priority) {
    ++m_Refusals[{Reason, Priority}];
  };
  Callbacks.ProbeAccount = [this] { return anyAccount(); };
  return Callbacks;
}

void PoolNode::forEachPool(
    const std::function<void(const TargetPool &)> &Visit) const {
  for (const auto &[Id, Pool] : m_Pools)
    Visit(*Pool);
}

FailoverController::Hooks PoolNode::failoverHooks() {
  FailoverController::Hooks Callbacks;
  Callbacks.ProvePrimary = [this](const TargetId &Id,
                                  FailoverController::ProofCallback Callback) {
    TargetPool *Pool = pool(Id);
    if (Pool == nullptr)
      return Callback(std::nullopt);
    Pool->provePrimary(
        anyAccount(), Duration(0),
        [Callback = std::move(Callback)](std::optional<HistoryPoint> Position,
                                         Instant) { Callback(Position); });
  };
  Callbacks.SendControlRequest =
      [this](const TargetId &Id, LinkRequest Request,
             FailoverController::ReplyCallback Callback) {
        TargetPool *Pool = pool(Id);
        if (Pool == nullptr)
          return Callback(std::nullopt);
        Pool->sendControlRequest(anyAccount(), std::move(Request),
                                 std::move(Callback));
      };
  Callbacks.OrderPromotion =
      [this](Promote Command, FailoverController::PromoteCallback Callback) {
        m_Hooks.CallPlatform(std::move(Command), std::move(Callback));
      };
  Callbacks.HoldsLease = [this](const DatabaseId &Group) {
    return holdsLease(Group);
  };
  Callbacks.FencingToken =
      [this](const DatabaseId &Group) -> std::optional<std::uint64_t> {
    auto Lease = m_Rows.promotionLease(Group);
    if (!Lease || Lease->Holder != m_Context.self())
      return std::nullopt;
    return Lease->FencingToken;
  };
  Callbacks.RaiseFencingToken =
      [this](const DatabaseId &Group,
             FailoverController::FencingTokenCallback Callback) {
        m_Rows.acquireLease(Group, std::move(Callback));
      };
  Callbacks.Broadcast = [this](FleetMessage &&Message) { broadcast(Message); };
  Callbacks.SyncReplicas = [this](const DatabaseId &Group) {
    auto Found = m_Config->Groups.find(Group);
    return Found == m_Config->Groups.end() ? 0U : Found->second.SyncReplicas;
  };
  Callbacks.PrimaryConfirmed = [this](const DatabaseId &Group,
                                      const TargetId &Id, Term NewTerm) {
    onPromoted(Group, Id, NewTerm);
  };
  return Callbacks;
}

FleetRows::Hooks PoolNode::rowHooks() {
  FleetRows::Hooks Callbacks;
  Callbacks.CallPlatform = m_Hooks.CallPlatform;
  Callbacks.RequestRenewal = [this](const RenewalRequest &Request) {
    if (m_Members.all().size() < MinBatchedVms)
      return false;
    const std::vector<VmId> &Order =
        m_Members.ownerOrder(RenewalSubject, DataCentreId());
    if (Order.empty())
      return false;
    VmId Batcher = Order.front();
    send(Batcher, RenewalRequest(Request));
    return true;
  };
  Callbacks.OnPlanChanged = [this](std::shared_ptr<const RatePlan> Plan,
                                   const std::set<RatePlan::Slot> &Usable,
                                   Instant LeaseEnd) {
    if (Usable.size() != m_Rates.slotCount())
      m_Context.log(WriteLog::Level::Info, "rate_slots_changed",
                    {{"slots", std::to_string(Usable.size())},
                     {"of", std::to_string(Plan ? Plan->size() : 0)}});
    m_Rates.setPlan(std::move(Plan), Usable, LeaseEnd);
  };
  Callbacks.OnMembersListed = [this](const std::vector<MemberState> &Members) {
    onMembersListed(Members);
  };
  return Callbacks;
}

ConfigExchange::Hooks PoolNode::configHooks() {
  ConfigExchange::Hooks Callbacks;
  Callbacks.SendRequest = [this](const VmId &To, FleetMessage &&Message) {
    send(To, std::move(Message));
  };
  Callbacks.SendReply = [this](const VmId &To, FleetMessage &&Message) {
    replyToPeer(To, std::move(Message));
  };
  Callbacks.Members = [this]() -> const RankedMembers & { return m_Members; };
  Callbacks.ReadStore = m_Hooks.ReadConfig;
  Callbacks.Apply = m_Hooks.ApplyConfigText;
  return Callbacks;
}

StoreReaders::Hooks PoolNode::readerHooks() {
  StoreReaders::Hooks Callbacks;
  Callbacks.SendRequest = [this](const VmId &To, FleetMessage &&Message) {
    send(To, std::move(Message));
  };
  Callbacks.SendReply = [this](const VmId &To, FleetMessage &&Message) {
    replyToPeer(To, std::move(Message));
  };
  Callbacks.Members = [this]() -> const RankedMembers & { return m_Members; };
  Callbacks.ConfigVersion = [this] { return m_Config->Version; };
  Callbacks.Targets = [this] {
    std::vector<TargetEntry> All;
    for (const auto &[Id, Entry] : m_Targets.entries())
      if (m_Targets.isListed(Id))
        All.push_back(Entry);
    return All;
  };
  Callbacks.SetFollowing = m_Hooks.FollowStore;
  Callbacks.OnConfigVersion = [this](const VmId &From, std::uint64_t Version) {
    m_Configs.onPeerVersion(From, Version);
  };
  Callbacks.Evacuations = [this] { return m_Evacuations.list(); };
  Callbacks.ApplyEvacuations = [this](const placement::EvacuationList &List) {
    applyEvacuations(List);
  };
  Callbacks.RejectedClaims = [this] { return m_Targets.unresolvedClaims(); };
  Callbacks.NewestRow = [this] { return m_Targets.newestVersion(); };
  Callbacks.OnNewestRow = [this](std::uint64_t Version) {
    m_Targets.recordVersion(Version);
  };
  Callbacks.ApplyUpdate = [this](const StoreUpdate &Update) {
    if (Update.BaseTargetsVersion == 0)
      return applyAllTargets(Update.Changed);
    applyTargets(Update.Changed, Update.Removed);
  };
  return Callbacks;
}

} // namespace bergamotstage::pooling
