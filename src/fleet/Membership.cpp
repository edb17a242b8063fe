#include "bergamotstage/fleet/Membership.h"

#include "bergamotstage/fleet/PollBudget.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>
#include <variant>

namespace bergamotstage {
namespace {

constexpr Duration ProbePeriod = milliseconds(250);
constexpr Duration ProbeTimeout = seconds(10); ///< Later acks are ignored.
constexpr unsigned InitialProbes = 3;
constexpr Duration InitialListDelay = milliseconds(250);
constexpr Duration ListInterval = seconds(5);
constexpr double FleetListReadsPerSecond = 40; ///< Total of all VMs.
constexpr std::size_t MaxRecordsPerAck = 16;
constexpr Duration SuspectBase = seconds(2);
constexpr Duration SuspectPerDoubling = milliseconds(500);
constexpr unsigned PeerChoiceAttempts = 4; ///< To find a reachable peer.

MemberRecord ownRecord(const NodeSettings &Settings) {
  return {Settings.Vm, Settings.DataCentre, Settings.PeerAddress,
          Settings.ProcessIncarnation, false};
}

} // namespace

Membership::Membership(NodeContext &Context, Hooks Callbacks)
    : m_Context(Context), m_Hooks(std::move(Callbacks)),
      m_Table(ownRecord(Context.settings())), m_ListDelay(InitialListDelay) {}

void Membership::start() {
  requestVmList();
  runPeriod();
}

void Membership::requestVmList() {
  m_Context.callPlatform(
      ListVms{}, [this](const PlatformAnswer &Answer) { onVmList(Answer); });
}

void Membership::onVmList(const PlatformAnswer &Answer) {
  Duration Pause = m_ListDelay;
  if (const auto *Listed = std::get_if<VmsListed>(&Answer)) {
    bool First = !m_Table.isListLoaded();
    if (m_Table.applyList(Listed->Vms, m_Context.now()))
      publishMembers();
    if (First)
      probeRandomPeers(InitialProbes);
    Pause = fleetPollInterval(ListInterval, FleetListReadsPerSecond,
                              m_Table.size());
  } else {
    m_ListDelay = std::min(2 * m_ListDelay, ListInterval);
  }
  m_Context.timers().schedule(m_Context.now() +
                                  withJitter(Pause, m_Context.random()),
                              [this] { requestVmList(); });
}

void Membership::runPeriod() {
  probeRandomPeers(1);
  expireProbes();
  if (m_HasUnpublished)
    publishMembers();
  else if (updateReachability())
    m_Hooks.OnChanged();
  m_Context.timers().schedule(m_Context.now() +
                                  withJitter(ProbePeriod, m_Context.random()),
                              [this] { runPeriod(); });
}

void Membership::probeRandomPeers(unsigned Count) {
  for (unsigned Sent = 0; Sent < Count; ++Sent)
    if (const MemberTable::Entry *Chosen = choosePeer())
      probe(Chosen->Record.Vm);
}

const MemberTable::Entry *Membership::choosePeer() {
  std::size_t Others = m_Table.size() - 1;
  if (Others == 0)
    return nullptr;
  const MemberTable::Entry *Chosen = nullptr;
  for (unsigned Attempt = 0; Attempt < PeerChoiceAttempts; ++Attempt) {
    auto At = m_Table.entries().begin();
    std::advance(At, m_Context.random()() % m_Table.size());
    if (At->first == m_Context.settings().Vm)
      continue;
    Chosen = &At->second;
    if (m_Context.now() - Chosen->LastAlive < suspectTimeout())
      break;
  }
  return Chosen;
}

void Membership::probe(const VmId &To) {
  ++m_LastProbe;
  m_Probes[m_LastProbe] = {To, m_Context.now()};
  GossipProbe Sent{m_LastProbe, m_Table.membersHash(), m_Table.self()};
  m_Context.sendPeer(To, PeerChannel::Membership, encodeGossip(Sent));
}

void Membership::onMessage(const PeerReceived &Event) {
  std::optional<GossipMessage> Message = decodeGossip(Event.Message.Payload);
  if (!Message)
    return;
  if (const auto *Probe = std::get_if<GossipProbe>(&*Message))
    return sendAck(Event.From, *Probe);
  if (const auto *Ack = std::get_if<GossipAck>(&*Message))
    return onAck(Event.From, *Ack);
  mergeRecord(std::get<GossipLeave>(*Message).Sender,
              LivenessAge::fromDuration({}, false));
}

void Membership::sendAck(const VmId &From, const GossipProbe &Probe) {
  mergeRecord(Probe.Sender, LivenessAge::fromDuration({}, false));
  LocalRevision Local = m_Hooks.GetLocalRevision();
  Instant Now = m_Context.now();
  GossipAck Ack;
  Ack.Number = Probe.Number;
  Ack.Sender = m_Table.self();
  Ack.RulesRevision = Local.Number;
  Ack.Object = Local.Object;
  Ack.StoreAge = LivenessAge::fromDuration(Now - Local.StoreTime, false);
  Ack.Attests = Local.Attests;
  if (Probe.MembersHash == m_Table.membersHash()) {
    Ack.Ages = m_Table.ages(Now, Local.Attests);
  } else {
    Ack.HashedAges = m_Table.hashedAges(Now, Local.Attests);
    Ack.Records = m_Table.nextRecords(Now, MaxRecordsPerAck);
  }
  m_Context.sendPeer(From, PeerChannel::Membership, encodeGossip(Ack));
}

void Membership::onAck(const VmId &From, const GossipAck &Ack) {
  auto Found = m_Probes.find(Ack.Number);
  if (Found == m_Probes.end() || Found->second.To != From)
    return;
  Instant Sent = Found->second.Time;
  m_Probes.erase(Found);
  mergeRecord(Ack.Sender, LivenessAge::fromDuration({}, false));
  bool NotNewer = Ack.RulesRevision <= m_Hooks.GetLocalRevision().Number;
  m_Table.recordAlive(From, Sent, Ack.Attests && NotNewer);
  m_Table.mergeAges(Ack.Ages, Sent, NotNewer);
  m_Table.mergeHashedAges(Ack.HashedAges, Sent, NotNewer);
  for (const AgedRecord &Entry : Ack.Records)
    mergeRecord(Entry.Record, Entry.Age);
  m_Hooks.OnAck(From, Ack, Sent);
}

void Membership::mergeRecord(const MemberRecord &Record, LivenessAge Age) {
  if (m_Table.mergeRecord(Record, Age, m_Context.now()))
    m_HasUnpublished = true;
}

void Membership::leave() {
  m_Table.markLeaving();
  publishMembers();
  for (const auto &[Vm, Member] : m_Table.entries())
    if (Vm != m_Context.settings().Vm)
      m_Context.sendPeer(Vm, PeerChannel::Membership,
                         encodeGossip(GossipLeave{m_Table.self()}));
}

Instant Membership::lastQuorumAttestation() const {
  if (!m_Table.isListLoaded())
    return DistantPast;
  return m_Table.lastQuorumAttestation(m_Context.now(),
                                       m_Hooks.GetLocalRevision().Attests);
}

Duration Membership::suspectTimeout() const {
  double Doublings = std::log2(static_cast<double>(m_Table.size()) + 1);
  return SuspectBase +
         SuspectPerDoubling * static_cast<std::int64_t>(std::ceil(Doublings));
}

void Membership::publishMembers() {
  m_HasUnpublished = false;
  MemberMap Members;
  for (const auto &[Vm, Member] : m_Table.entries()) {
    MemberState State;
    State.Vm = Vm;
    State.DataCentre = Member.Record.DataCentre;
    State.PeerAddress = Member.Record.PeerAddress;
    State.Start = Member.Record.Start;
    State.Leaving = Member.Record.Leaving || Member.ListedLeaving;
    Members.emplace_hint(Members.end(), Vm, std::move(State));
  }
  m_Context.mutableMembers() = std::move(Members);
  updateReachability();
  m_Hooks.OnChanged();
}

bool Membership::updateReachability() {
  bool Changed = false;
  Instant Oldest = m_Context.now() - suspectTimeout();
  MemberMap &Members = m_Context.mutableMembers();
  auto Position = m_Table.entries().begin();
  // Both maps are ordered by name; members not published yet are skipped.
  for (auto &[Vm, State] : Members) {
    while (Position != m_Table.entries().end() && Position->first < Vm)
      ++Position;
    if (Position == m_Table.entries().end())
      return Changed;
    const MemberTable::Entry &Entry = Position->second;
    bool Reachable = Vm == m_Context.settings().Vm ||
                     std::max(Entry.LastAlive, Entry.Added) > Oldest;
    Changed = Changed || State.Reachable != Reachable;
    State.Reachable = Reachable;
  }
  return Changed;
}

void Membership::expireProbes() {
  Instant Oldest = m_Context.now() - ProbeTimeout;
  while (!m_Probes.empty() && m_Probes.begin()->second.Time < Oldest)
    m_Probes.erase(m_Probes.begin());
}

} // namespace bergamotstage
