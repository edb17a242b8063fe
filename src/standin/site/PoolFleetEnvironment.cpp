#include "standin/site/PoolFleet.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace bergamotstage::standin {
namespace {

using pooling::FleetMessage;
using pooling::LinkReply;
using pooling::LinkRequest;
using pooling::PoolNode;
constexpr Duration ReplicationInterval = milliseconds(5);
constexpr Duration StoreHeartbeat = seconds(1);
constexpr Duration PlatformCallTimeout = milliseconds(1200);
constexpr Duration LateWriteDelay = seconds(3);

std::string prefixEnd(std::string Prefix) {
  ++Prefix.back();
  return Prefix;
}

} // namespace

// Links.

bool PoolFleet::canReachTarget(const VmId &Name, const TargetId &Target) const {
  return !m_Targets.at(Target).Unresponsive &&
         m_CutTargets.count({Name, Target}) == 0;
}

void PoolFleet::openLink(const VmId &Name, std::uint64_t Generation, LinkId Id,
                         const pooling::LinkTarget &To) {
  std::uint64_t Key = ++m_LastLink;
  Link Created;
  Created.Vm = Name;
  Created.Id = Id;
  Created.Generation = Generation;
  Created.Target = To.Target;
  m_Links[Key] = Created;
  m_LinkKeys[{Name, Id}] = Key;
  ++m_LinksOpened;
  after(m_Settings.HandshakeTime + m_Settings.LinkDelay * 2, [this, Key, To] {
    auto Found = m_Links.find(Key);
    if (Found == m_Links.end() ||
        !canReachTarget(Found->second.Vm, Found->second.Target))
      return;
    Link &Opened = Found->second;
    if (m_ResetLinks.count({Opened.Vm, Opened.Target}) > 0)
      return resetLink(Key);
    auto IsOpenToTarget = [&](const auto &Entry) {
      return Entry.second.Target == Opened.Target && Entry.second.Open;
    };
    auto Open = std::count_if(m_Links.begin(), m_Links.end(), IsOpenToTarget);
    if (Open >= static_cast<long>(m_Settings.MaxLinks)) {
      VmId Vm = Opened.Vm;
      LinkId OpenedId = Opened.Id;
      std::uint64_t LinkGeneration = Opened.Generation;
      closeLink(Key);
      return deliverAfter(Vm, LinkGeneration, m_Settings.LinkDelay,
                          [this, OpenedId](PoolNode &Node) {
                            Node.onLinkRefused(
                                m_Now, OpenedId,
                                pooling::ErrorCode::TooManyLinks);
                          });
    }
    Opened.Open = true;
    m_Groups[m_Targets[Opened.Target].Group]->openLink(Opened.Target, Key,
                                                       To.Account);
    deliverAfter(Opened.Vm, Opened.Generation, m_Settings.LinkDelay,
                 [this, Id = Opened.Id](PoolNode &Node) {
                   Node.onLinkOpened(m_Now, Id, std::nullopt);
                 });
  });
}

void PoolFleet::sendLink(const VmId &Name, LinkId Id,
                         const LinkRequest &Request) {
  auto Key = m_LinkKeys.find({Name, Id});
  if (Key == m_LinkKeys.end())
    return;
  Link &Opened = m_Links.at(Key->second);
  Opened.NextArrival =
      std::max(Opened.NextArrival, m_Now + m_Settings.LinkDelay);
  after(Opened.NextArrival - m_Now,
        [this, Number = Key->second, Request] { runLink(Number, Request); });
}

void PoolFleet::runLink(std::uint64_t Key, const LinkRequest &Request) {
  auto Found = m_Links.find(Key);
  if (Found == m_Links.end() || !Found->second.Open ||
      !canReachTarget(Found->second.Vm, Found->second.Target))
    return;
  Link &Opened = Found->second;
  if (m_Now < Opened.RunningUntil)
    return after(Opened.RunningUntil - m_Now,
                 [this, Key, Request] { runLink(Key, Request); });
  TargetModel &Model = m_Targets[Opened.Target];
  ModelGroup &Group = *m_Groups[Model.Group];
  if (!Group.hasLink(Key))
    return;
  if (Request.Type == LinkRequest::Kind::CallerStatement) {
    Model.LastStatementAt = m_Now;
    if (m_OnStatement)
      m_OnStatement(Opened.Vm, Opened.Target);
  }
  bool TakesSlot = Request.Type == LinkRequest::Kind::CallerStatement ||
                   Request.Type == LinkRequest::Kind::Status;
  bool Full = TakesSlot && Model.RunningStatements >= m_Settings.Slots;
  LinkReply Reply;
  Duration ServiceTime(0);
  if (Full) {
    Reply.Error = pooling::ErrorCode::Busy;
    Reply.State = Group.linkState(Key);
  } else {
    Reply = Group.run(Key, Request);
    if (Request.Type == LinkRequest::Kind::CallerStatement) {
      std::exponential_distribution<double> Draw(1.0);
      ServiceTime =
          scaled(m_Settings.MeanServiceTime,
                 std::min(5.0, Draw(m_Random)) * slowdown(Model, m_Now));
    }
  }
  if (TakesSlot && !Full) {
    ++Model.RunningStatements;
    after(ServiceTime, [this, Target = Opened.Target] {
      --m_Targets[Target].RunningStatements;
    });
  }
  std::uniform_real_distribution<double> Chance(0, 1);
  bool Reads = Request.Type == LinkRequest::Kind::CallerStatement &&
               Request.Stmt.Kind == pooling::Verb::Read && !Reply.Error;
  if (Reads && Model.ReadFailureRatio > 0 &&
      Chance(m_Random) < Model.ReadFailureRatio) {
    Reply.Error = pooling::ErrorCode::Failed;
    Reply.Rows.clear();
    Reply.Signature.clear();
  }
  if (Request.Type == LinkRequest::Kind::CallerStatement &&
      Chance(m_Random) < m_LostReplyRatio)
    Opened.DropsReplies = true;
  if (Opened.DropsReplies)
    return;
  Opened.RunningUntil = m_Now + ServiceTime;
  VmId Vm = Opened.Vm;
  TargetId Target = Opened.Target;
  after(ServiceTime, [this, Vm, Target, Generation = Opened.Generation,
                      Id = Opened.Id, Reply] {
    if (canReachTarget(Vm, Target))
      deliverAfter(Vm, Generation, m_Settings.LinkDelay,
                   [this, Id, Reply](PoolNode &Node) {
                     Node.onLinkReply(m_Now, Id, Reply);
                   });
  });
}

void PoolFleet::listCold(const TargetId &Target, Duration Span) {
  m_Targets.at(Target).ColdFor = Span;
  publishTarget(Target);
}

void PoolFleet::warmUp(const TargetId &Target, Duration Span) {
  TargetModel &Model = m_Targets.at(Target);
  Model.WarmFrom = m_Now;
  Model.WarmUp = Span;
}

double PoolFleet::slowdown(const TargetModel &Model, Instant Now) {
  if (Model.WarmUp == Duration(0) || Now >= Model.WarmFrom + Model.WarmUp)
    return 1;
  // Concurrent statements evict each other's pages: with the square of their
  // number, more of them at once finish later than one after the other.
  double Cold = 1 - toSeconds(Now - Model.WarmFrom) / toSeconds(Model.WarmUp);
  double Others = Model.RunningStatements;
  return 1 + Cold * Others * Others;
}

void PoolFleet::closeLink(std::uint64_t Key) {
  auto Found = m_Links.find(Key);
  if (Found == m_Links.end())
    return;
  m_Groups[m_Targets[Found->second.Target].Group]->closeLink(Key);
  m_LinkKeys.erase({Found->second.Vm, Found->second.Id});
  m_Links.erase(Found);
}

void PoolFleet::resetLinksTo(const TargetId &Target) {
  std::vector<std::uint64_t> Closed;
  for (const auto &[Key, Opened] : m_Links)
    if (Opened.Target == Target)
      Closed.push_back(Key);
  for (std::uint64_t Key : Closed)
    resetLink(Key);
}

void PoolFleet::resetLink(std::uint64_t Key) {
  Link Reset = m_Links.at(Key);
  closeLink(Key);
  deliverAfter(Reset.Vm, Reset.Generation, m_Settings.LinkDelay,
               [this, Id = Reset.Id](PoolNode &Node) {
                 Node.onLinkFailed(m_Now, Id, "reset");
               });
}

// Peers.

bool PoolFleet::canReachPeer(const VmId &Left, const VmId &Right) const {
  return m_CutPeers.count({std::min(Left, Right), std::max(Left, Right)}) == 0;
}

void PoolFleet::sendPeer(const VmId &From, const MemberState &To,
                         const FleetMessage &Message) {
  if (m_Vms.count(To.Vm) == 0 || !canReachPeer(From, To.Vm))
    return;
  Vm &Sender = m_Vms.at(From);
  Vm &Receiver = m_Vms.at(To.Vm);
  if (!Receiver.Up) {
    Sender.Streams.erase(To.Vm);
    return deliverAfter(From, Sender.Generation, m_Settings.PeerDelay * 2,
                        [this, Other = To.Vm](PoolNode &Node) {
                          Node.onPeerLost(m_Now, Other);
                        });
  }
  bool NewStream = Sender.Streams.insert(To.Vm).second;
  const MemberState &Self = Sender.Self;
  if (NewStream)
    deliverMessage(From, To.Vm,
                   pooling::Hello{Self.Vm, Self.DataCentre, Self.PeerAddress,
                                  Self.Start, 0, false, Self.Cores});
  deliverMessage(From, To.Vm, Message);
}

void PoolFleet::deliverMessage(const VmId &From, const VmId &To,
                               const FleetMessage &Message) {
  std::string Bytes = pooling::encodeMessage(Message);
  m_Vms.at(From).Traffic.record(Message, fleetcost::Direction::Sent,
                                Bytes.size());
  deliverFromPeer(From, To, Bytes.size(),
                  [this, From, To, Bytes](PoolNode &Node) {
                    FleetMessage Received = *pooling::decodeMessage(Bytes);
                    m_Vms.at(To).Traffic.record(
                        Received, fleetcost::Direction::Received, Bytes.size());
                    Node.onPeerMessage(m_Now, From, std::move(Received));
                  });
}

void PoolFleet::replyPeer(const VmId &From, const VmId &To,
                          const FleetMessage &Message) {
  auto Found = m_Vms.find(To);
  bool Reached = Found != m_Vms.end() && canReachPeer(From, To) &&
                 Found->second.Streams.count(From) > 0;
  if (Reached)
    deliverMessage(From, To, Message);
}

void PoolFleet::cutPeers(const VmId &Left, const VmId &Right, bool Cut) {
  std::pair<VmId, VmId> Pair{std::min(Left, Right), std::max(Left, Right)};
  if (Cut)
    m_CutPeers.insert(Pair);
  else
    m_CutPeers.erase(Pair);
}

// Targets.

void PoolFleet::cutTarget(const VmId &Name, const TargetId &Target, bool Cut) {
  if (Cut)
    m_CutTargets.insert({Name, Target});
  else
    m_CutTargets.erase({Name, Target});
}

void PoolFleet::resetNewLinks(const VmId &Name, const TargetId &Target,
                              bool Reset) {
  if (Reset)
    m_ResetLinks.insert({Name, Target});
  else
    m_ResetLinks.erase({Name, Target});
}

void PoolFleet::setUnresponsive(const TargetId &Target, bool Unresponsive) {
  TargetModel &Model = m_Targets.at(Target);
  if (Model.Unresponsive && !Unresponsive) {
    resetLinksTo(Target);
    m_Groups[Model.Group]->rejoin(Target);
    publishTarget(Target);
  }
  Model.Unresponsive = Unresponsive;
}

void PoolFleet::drain(const TargetId &Target, bool Draining) {
  m_Targets.at(Target).Draining = Draining;
  publishTarget(Target);
}

void PoolFleet::evacuate(const DataCentreId &DataCentre, bool Evacuated) {
  if (Evacuated)
    m_Evacuated.insert(DataCentre);
  else
    m_Evacuated.erase(DataCentre);
  notifySubscribers(
      [this, DataCentre, Evacuated, Version = ++m_Version](PoolNode &Node) {
        Node.onEvacuationChanged(m_Now, DataCentre, Evacuated, Version);
      });
}

Instant PoolFleet::lastStatementIn(const DataCentreId &DataCentre) const {
  Instant Last{};
  for (const auto &[Id, Model] : m_Targets)
    if (Model.DataCentre == DataCentre)
      Last = std::max(Last, Model.LastStatementAt);
  return Last;
}

pooling::TargetEntry PoolFleet::targetEntry(const TargetId &Target) const {
  const TargetModel &Model = m_Targets.at(Target);
  pooling::TargetEntry Entry;
  Entry.Id = Target;
  Entry.Group = m_Groups[Model.Group]->id();
  Entry.Address = Target.value();
  Entry.DataCentre = Model.DataCentre;
  Entry.Slots = m_Settings.Slots;
  Entry.Draining = Model.Draining;
  Entry.ReportsPrimary = Model.ReportsPrimary;
  Entry.ColdFor = Model.ColdFor;
  Entry.Version = Model.Version;
  return Entry;
}

void PoolFleet::publishTarget(const TargetId &Target) {
  TargetModel &Model = m_Targets.at(Target);
  Model.ReportsPrimary = m_Groups[Model.Group]->believesItIsPrimary(Target);
  Model.Version = ++m_Version;
  pooling::TargetEntry Entry = targetEntry(Target);
  notifySubscribers(
      [this, Entry](PoolNode &Node) { Node.onTargetListed(m_Now, Entry); });
}

void PoolFleet::notifySubscribers(
    const std::function<void(PoolNode &)> &Notify) {
  if (m_StoreDown)
    return;
  for (auto &[Name, Process] : m_Vms)
    if (Process.Subscribed && Process.Up)
      deliverAfter(Name, Process.Generation, m_Settings.StoreDelay, Notify);
}

void PoolFleet::replicate() {
  for (const auto &Group : m_Groups) {
    if (m_Targets[Group->primary()].Unresponsive)
      continue;
    std::size_t Length = Group->log().size();
    for (const TargetId &Target : Group->targets()) {
      if (Target == Group->primary() || m_Targets[Target].Unresponsive)
        continue;
      after(m_Settings.ReplicaLag, [this, Model = Group.get(), Target, Length,
                                    AtTerm = Group->term()] {
        if (Model->term() == AtTerm)
          Model->apply(Target, Length);
      });
    }
  }
  after(ReplicationInterval, [this] { replicate(); });
}

void PoolFleet::storeHeartbeat() {
  notifySubscribers([this](PoolNode &Node) { Node.onStoreResponse(m_Now); });
  after(StoreHeartbeat, [this] { storeHeartbeat(); });
}

void PoolFleet::rewriteTarget(const TargetId &Target) {
  if (!m_Targets.at(Target).Unresponsive)
    publishTarget(Target);
  after(m_Settings.TargetRewriteInterval,
        [this, Target] { rewriteTarget(Target); });
}

void PoolFleet::callPlatform(const VmId &Name, std::uint64_t Generation,
                             const PlatformRequest &Request,
                             const PoolNode::PlatformCallback &Callback) {
  std::uniform_real_distribution<double> Chance(0, 1);
  bool Writes = !std::holds_alternative<ReadRows>(Request);
  ++m_Vms.at(Name).RowCalls.Messages;
  auto Answer = [this, Name, Generation,
                 Callback](Duration Delay, const PlatformAnswer &Result) {
    deliverAfter(Name, Generation, Delay,
                 [this, Callback, Result](PoolNode &Node) {
                   Node.onPlatformAnswer(m_Now, Callback, Result);
                 });
  };
  if (m_StoreDown)
    return Answer(PlatformCallTimeout, PlatformFailed{Writes, "down"});
  bool Lost = Writes && Chance(m_Random) < m_LostWriteAnswerRatio;
  if (!Lost)
    return after(m_Settings.StoreDelay / 2, [this, Name, Request, Answer] {
      PlatformAnswer Result = executeRequest(Request);
      if (const auto *Read = std::get_if<RowsRead>(&Result))
        for (const TableRow &Row : Read->Rows)
          m_Vms.at(Name).RowCalls.Bytes += Row.Key.size() + Row.Value.size();
      Answer(m_Settings.StoreDelay / 2, Result);
    });
  bool Late = Chance(m_Random) < 0.5;
  after(Late ? LateWriteDelay : m_Settings.StoreDelay,
        [this, Request] { executeRequest(Request); });
  Answer(PlatformCallTimeout, PlatformFailed{true, "no answer"});
}

PlatformAnswer PoolFleet::executeRequest(const PlatformRequest &Request) {
  if (const auto *Read = std::get_if<ReadRows>(&Request)) {
    RowsRead Result;
    auto End = m_Rows.lower_bound(prefixEnd(Read->Prefix));
    for (auto Row = m_Rows.lower_bound(Read->Prefix); Row != End; ++Row)
      Result.Rows.push_back(Row->second);
    return Result;
  }
  if (const auto *Write = std::get_if<ConditionalWrite>(&Request)) {
    for (const auto &Condition : Write->Conditions) {
      auto Row = m_Rows.find(Condition.Key);
      std::uint64_t Version = Row == m_Rows.end() ? 0 : Row->second.Version;
      if (Version != Condition.Version)
        return WriteDecided{true, false};
    }
    ++m_Version;
    for (const auto &Change : Write->Changes) {
      if (Change.Value)
        m_Rows[Change.Key] = {Change.Key, *Change.Value, m_Version};
      else
        m_Rows.erase(Change.Key);
    }
    return WriteDecided{true, true};
  }
  if (const auto *Order = std::get_if<Promote>(&Request))
    return promote(*Order);
  return PlatformFailed{false, "the platform does not support this call"};
}

PlatformAnswer PoolFleet::promote(const Promote &Order) {
  std::uint64_t &HighestToken = m_FencingTokens[Order.Database];
  if (Order.FencingToken < HighestToken ||
      m_Targets.at(Order.Candidate).Unresponsive)
    return PromotionDecided{false, Term(), "refused"};
  HighestToken = Order.FencingToken;
  unsigned Index = m_Targets.at(Order.Candidate).Group;
  after(m_Settings.PromotionTime, [this, Index, Target = Order.Candidate] {
    ModelGroup &Group = *m_Groups[Index];
    if (Group.primary() == Target)
      return;
    TargetId OldPrimary = Group.primary();
    Group.promote(Target);
    ++m_Promotions;
    publishTarget(Target);
    if (!m_Targets[OldPrimary].Unresponsive)
      publishTarget(OldPrimary);
  });
  return PromotionDecided{true, Order.NewTerm, ""};
}

} // namespace bergamotstage::standin
