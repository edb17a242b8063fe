#include "bergamotstage/pooling/PoolNode.h"

#include <algorithm>
#include <set>
#include <utility>
#include <variant>

namespace bergamotstage::pooling {
namespace {

/// Check interval of the failure detector.
constexpr Duration PeerCheckInterval = milliseconds(75);
/// Maximum age of a proof that is shared between requests.
constexpr Duration MaxSharedProofAge = milliseconds(60);
/// A target is alive if it has sent data within this time.
constexpr Duration MaxAliveAge = milliseconds(300);

} // namespace

void PoolNode::replyToPeer(const VmId &To, FleetMessage &&Message) {
  if (To == m_Context.self()) {
    m_LocalMessages.push_back({To, std::move(Message)});
    return;
  }
  m_Hooks.ReplyPeer(To, Message);
}

void PoolNode::broadcast(const FleetMessage &Message) {
  for (const VmId &Peer : peers())
    send(Peer, FleetMessage(Message));
}

void PoolNode::dispatchLocalMessages() {
  if (m_Dispatching)
    return;
  m_Dispatching = true;
  while (!m_LocalMessages.empty()) {
    LocalMessage Next = std::move(m_LocalMessages.front());
    m_LocalMessages.pop_front();
    dispatchMessage(Next.From, std::move(Next.Message));
  }
  m_Dispatching = false;
}

void PoolNode::dispatchMessage(const VmId &From, FleetMessage &&Message) {
  std::visit(
      [&](auto &&Body) { handle(From, std::forward<decltype(Body)>(Body)); },
      std::move(Message));
}

void PoolNode::onPeerMessage(Instant Now, const VmId &From,
                             FleetMessage Message) {
  setTime(Now);
  if (m_Health.onReceived(From, m_Context.now()))
    setReachable(From, true);
  dispatchMessage(From, std::move(Message));
  dispatchLocalMessages();
}

void PoolNode::handle(const VmId &From, Hello &&Body) {
  auto Origin = m_Origins.find(From);
  bool Restarted = Origin != m_Origins.end() && Origin->second != Body.Start;
  if (Restarted)
    for (auto &[Id, Pool] : m_Pools)
      Pool->abortOperationsFrom(From);
  m_Origins[From] = Body.Start;
  bool Unknown = m_Members.find(From) == nullptr;
  m_Members.upsert({From, Body.DataCentre, Body.Address, Body.Start, true,
                    Body.Leaving, Body.Cores});
  if (Unknown || Body.Leaving || Restarted) {
    m_Context.log(WriteLog::Level::Info, "vm_seen",
                  {{"vm", From.value()},
                   {"leaving", Body.Leaving ? "yes" : "no"},
                   {"new_life", Restarted ? "yes" : "no"}});
    limitPools();
  }
  if (Unknown)
    m_Rows.requestRefresh();
  m_Configs.onPeerVersion(From, Body.ConfigVersion);
}

void PoolNode::handle(const VmId &From, Ping &&Body) {
  m_Configs.onPeerVersion(From, Body.ConfigVersion);
  replyToPeer(From, Pong{m_Config->Version});
}

void PoolNode::handle(const VmId &From, Pong &&Body) {
  m_Configs.onPeerVersion(From, Body.ConfigVersion);
}

void PoolNode::handle(const VmId & /*From*/, StartOperation &&Body) {
  TargetPool *Pool = pool(Body.Request.Target);
  if (Pool != nullptr)
    return Pool->enqueue(std::move(Body.Request));
  StatementResult Result;
  Result.Reason = NotRunReason::UnknownTarget;
  replyToPeer(Body.Request.Id.Origin,
              StatementReply{Body.Request.Id.Number, std::move(Result)});
}

void PoolNode::handle(const VmId &From, NextStatement &&Body) {
  OperationId Id{From, Body.Number};
  for (auto &[Target, Pool] : m_Pools) {
    if (!Pool->hasOperation(Id))
      continue;
    std::optional<SharedValues> Values;
    if (Body.ValuesChanged)
      Values = std::move(Body.Values);
    return Pool->enqueueNext(Id, std::move(Body.Stmt), Values, Body.QueueTime);
  }
  StatementResult Result;
  Result.Reason = NotRunReason::Unreachable;
  replyToPeer(From, StatementReply{Body.Number, std::move(Result)});
}

void PoolNode::handle(const VmId &From, AbortOperation &&Body) {
  OperationId Id{From, Body.Number};
  for (auto &[Target, Pool] : m_Pools)
    Pool->abortOperation(Id);
}

void PoolNode::handle(const VmId &From, WithdrawStatement &&Body) {
  OperationId Id{From, Body.Number};
  for (auto &[Target, Pool] : m_Pools)
    Pool->withdrawStatement(Id);
}

void PoolNode::handle(const VmId &From, StatementReply &&Body) {
  m_Sessions.onReply(From, Body);
}

void PoolNode::handle(const VmId &From, ProofRequest &&Body) {
  TargetPool *Pool = pool(Body.Target);
  if (Pool == nullptr)
    return replyToPeer(From,
                       ProofReply{Body.Target, false, {}, {}, Body.Timestamp});
  Pool->provePrimary(
      Body.Account, std::min(Body.MaxAge, MaxSharedProofAge),
      [this, From, ReceivedAt = m_Context.now(), Target = Body.Target,
       Timestamp = Body.Timestamp](std::optional<HistoryPoint> Position,
                                   Instant RequestedAt) {
        ProofReply Reply;
        Reply.Target = Target;
        Reply.Proven = Position.has_value();
        Reply.Position = Position.value_or(HistoryPoint());
        Reply.Age = std::max(Duration(0), ReceivedAt - RequestedAt);
        Reply.Timestamp = Timestamp;
        replyToPeer(From, std::move(Reply));
      });
}

void PoolNode::handle(const VmId &From, ProofReply &&Body) {
  m_Sessions.onProof(From, Body);
}

void PoolNode::handle(const VmId &From, TokenRequest &&Body) {
  m_Rates.onTokenMessage(From, Body);
}

void PoolNode::handle(const VmId &From, TokenGrant &&Body) {
  m_Rates.onTokenMessage(From, Body);
}

void PoolNode::handle(const VmId &From, PrimarySuspected &&Body) {
  auto Pool = m_Pools.find(Body.Target);
  bool Alive = Pool != m_Pools.end() && Pool->second->isReachable() &&
               m_Context.now() - Pool->second->lastReceivedAt() < MaxAliveAge;
  if (Alive)
    return send(From, TargetAlive{Body.Group, Body.Target});
  if (!holdsLease(Body.Group))
    acquireLeaseIfFirst(Body.Group);
  m_Failover.onPrimarySuspected(Body.Group, Body.Target);
}

void PoolNode::handle(const VmId & /*From*/, TargetAlive &&Body) {
  m_Failover.onTargetAlive(Body.Group, Body.Target);
}

void PoolNode::handle(const VmId & /*From*/, Promoted &&Body) {
  onPromoted(Body.Group, Body.Target, Body.NewTerm);
}

void PoolNode::handle(const VmId &From, ConfigRequest &&Body) {
  m_Configs.onRequest(From, Body);
}

void PoolNode::handle(const VmId &From, ConfigText &&Body) {
  m_Configs.onText(From, Body);
}

void PoolNode::handle(const VmId &From, StoreUpdateRequest &&Body) {
  m_Readers.onUpdateRequest(From, Body);
}

void PoolNode::handle(const VmId &From, StoreUpdate &&Body) {
  m_Readers.onUpdate(From, Body);
}

void PoolNode::handle(const VmId &From, RenewalRequest &&Body) {
  m_Renewals.add(From, Body);
}

void PoolNode::handle(const VmId & /*From*/, RenewalReply &&Body) {
  m_Rows.onRenewalReply(Body);
}

// Other VMs.

bool PoolNode::isReachablePeer(const VmId &Vm) const {
  const MemberState *Member = m_Members.find(Vm);
  return Member != nullptr && Vm != m_Context.self() && Member->Reachable;
}

std::vector<VmId> PoolNode::peers() const {
  std::vector<VmId> Reachable;
  for (const auto &[Id, Member] : m_Members.all())
    if (Id != m_Context.self() && Member.Reachable)
      Reachable.push_back(Id);
  return Reachable;
}

void PoolNode::onMembersListed(const std::vector<MemberState> &Members) {
  std::set<VmId> Listed;
  for (const MemberState &Member : Members) {
    Listed.insert(Member.Vm);
    if (Member.Vm == m_Context.self())
      continue;
    const MemberState *Previous = m_Members.find(Member.Vm);
    if (Previous != nullptr && !(Previous->Start < Member.Start))
      continue;
    MemberState Updated = Member;
    if (Previous != nullptr)
      Updated.Reachable = !m_Health.isLost(Member.Vm);
    m_Members.upsert(Updated);
  }
  std::vector<VmId> Unlisted;
  for (const auto &[Id, Member] : m_Members.all())
    if (Listed.count(Id) == 0 && Id != m_Context.self() && !Member.Reachable)
      Unlisted.push_back(Id);
  for (const VmId &Id : Unlisted) {
    m_Members.erase(Id);
    m_Health.remove(Id);
  }
  limitPools();
}

void PoolNode::setReachable(const VmId &Vm, bool Reachable) {
  if (!m_Members.setReachable(Vm, Reachable))
    return;
  m_Context.log(Reachable ? WriteLog::Level::Info : WriteLog::Level::Warning,
                Reachable ? "vm_reachable" : "vm_unreachable",
                {{"vm", Vm.value()}});
  limitPools();
}

void PoolNode::markPeerLost(const VmId &Vm, const char *Reason) {
  if (m_Members.find(Vm) == nullptr)
    return;
  bool WasLost = m_Health.isLost(Vm);
  m_Health.onConnectionLost(Vm, m_Context.now());
  if (!WasLost)
    m_Context.log(WriteLog::Level::Warning, "vm_lost",
                  {{"vm", Vm.value()}, {"reason", Reason}});
  setReachable(Vm, false);
  m_Sessions.onOwnerLost(Vm);
}

void PoolNode::onPeerLost(Instant Now, const VmId &Vm) {
  setTime(Now);
  markPeerLost(Vm, "connection lost");
  dispatchLocalMessages();
}

void PoolNode::onOriginLost(Instant Now, const VmId &Vm) {
  setTime(Now);
  for (auto &[Id, Pool] : m_Pools)
    Pool->abortOperationsFrom(Vm);
  dispatchLocalMessages();
}

void PoolNode::checkPeers() {
  PeerHealth::Actions Actions = m_Health.check(m_Context.now());
  for (const VmId &Vm : Actions.Lost) {
    m_Hooks.DropPeer(Vm);
    markPeerLost(Vm, "ping timed out");
  }
  for (const VmId &Vm : Actions.Ping)
    send(Vm, Ping{m_Config->Version});
  m_Context.scheduleAfter(PeerCheckInterval, [this] { checkPeers(); });
}

} // namespace bergamotstage::pooling
