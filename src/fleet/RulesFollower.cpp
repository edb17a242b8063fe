#include "bergamotstage/fleet/RulesFollower.h"

#include "bergamotstage/core/Invariant.h"
#include "bergamotstage/fleet/PollBudget.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace bergamotstage {
namespace {

constexpr Duration TickPeriod = milliseconds(500);
constexpr double ReadersPerTick = 3; ///< On average, in the whole fleet.
constexpr Duration InitialBackoff = milliseconds(500);
constexpr Duration MaxBackoff = seconds(8);
constexpr Duration FetchRetryInterval = milliseconds(300);
constexpr Duration MaxFetchDelay = milliseconds(200);
constexpr unsigned OverdueFactor = 2; ///< In poll intervals.

} // namespace

void RulesFollower::start() {
  pollHead();
  schedulePoll();
}

void RulesFollower::schedulePoll() {
  m_Context.timers().schedule(
      m_Context.now() + withJitter(TickPeriod, m_Context.random()), [this] {
        if (isPollDue())
          pollHead();
        updateRulesInForce();
        schedulePoll();
      });
}

/// @brief Whether this VM must read the head now.
///
/// Once the latest store read that this VM knows of is one poll interval old, a
/// few random VMs of the fleet read the head; after OverdueFactor intervals,
/// every VM does.
bool RulesFollower::isPollDue() {
  Instant Now = m_Context.now();
  if (m_PollActive || Now < m_NextPoll)
    return false;
  Duration Age = Now - m_StoreTime;
  Duration Interval = m_Context.settings().RulesPollInterval;
  if (Age < Interval)
    return false;
  if (Age >= OverdueFactor * Interval)
    return true;
  auto Members = static_cast<double>(m_Context.members().size());
  std::uniform_real_distribution<double> Choice(0, Members);
  return Choice(m_Context.random()) < ReadersPerTick;
}

void RulesFollower::pollHead() {
  m_PollActive = true;
  Instant RequestTime = m_Context.now();
  m_Context.callPlatform(ReadRows{RulesHeadKey},
                         [this, RequestTime](const PlatformAnswer &Answer) {
                           onHeadRow(Answer, RequestTime);
                         });
}

void RulesFollower::onHeadRow(const PlatformAnswer &Answer,
                              Instant RequestTime) {
  m_PollActive = false;
  const auto *Read = std::get_if<RowsRead>(&Answer);
  if (Read == nullptr) {
    m_Backoff = std::clamp(2 * m_Backoff, InitialBackoff, MaxBackoff);
    m_NextPoll = m_Context.now() + withJitter(m_Backoff, m_Context.random());
    return;
  }
  m_Backoff = Duration(0);
  if (Read->Rows.empty())
    return;
  std::optional<RulesHead> Head = decodeHead(Read->Rows.front().Value);
  if (!Head) {
    m_Context.log(WriteLog::Level::Error, "rules_head_malformed", {});
    return;
  }
  if (Head->Number == m_LocalHead.Number)
    return recordStoreRead(RequestTime);
  if (Head->Number < m_LocalHead.Number)
    return; // Stale: read before the head moved.
  onNewerHead(*Head, std::nullopt);
  if (m_NewestHead.Number == Head->Number)
    m_NewestStoreTime = std::max(m_NewestStoreTime, RequestTime);
}

void RulesFollower::recordStoreRead(Instant Time) {
  m_StoreTime = std::max(m_StoreTime, Time);
  updateRulesInForce();
}

void RulesFollower::onAck(const VmId &From, const GossipAck &Ack,
                          Instant ProbeSent) {
  if (m_LocalHead.Number < Ack.RulesRevision)
    onNewerHead({Ack.RulesRevision, Ack.Object, ""}, From);
  if (Ack.StoreAge.isKnown()) {
    Instant StoreReadTime = ProbeSent - Ack.StoreAge.duration();
    if (Ack.RulesRevision == m_LocalHead.Number)
      m_StoreTime = std::max(m_StoreTime, StoreReadTime);
    else if (Ack.RulesRevision == m_NewestHead.Number)
      m_NewestStoreTime = std::max(m_NewestStoreTime, StoreReadTime);
  }
  updateRulesInForce();
}

void RulesFollower::onMessage(const VmId &From, const RulesMessage &Message) {
  if (const auto *Announce = std::get_if<RulesAnnounce>(&Message)) {
    m_PendingConfirms.insert(From);
    onNewerHead({Announce->Number, Announce->Object, ""}, From);
    return sendPendingConfirms();
  }
  if (const auto *Request = std::get_if<RulesTextRequest>(&Message)) {
    if (Request->Object == m_LocalHead.Object)
      m_Context.sendPeer(
          From, PeerChannel::Rules,
          encodeRulesMessage(RulesText{m_LocalHead.Object, m_Text}));
    return;
  }
  const auto *Text = std::get_if<RulesText>(&Message);
  if (Text != nullptr && Text->Object == m_NewestHead.Object)
    installText(m_NewestHead, Text->Body);
}

void RulesFollower::onNewerHead(const RulesHead &Head,
                                const std::optional<VmId> &From) {
  if (From && Head.Number == m_NewestHead.Number)
    m_TextSource = From;
  if (Head.Number <= std::max(m_LocalHead.Number, m_NewestHead.Number))
    return;
  m_NewestHead = Head;
  m_NewestStoreTime = DistantPast;
  m_TextSource = From;
  if (m_FetchActive)
    return;
  m_FetchActive = true;
  // All VMs learn of a revision at once: a random delay spreads their reads.
  std::uniform_int_distribution<std::int64_t> Choice(0, MaxFetchDelay.count());
  m_Context.timers().schedule(m_Context.now() +
                                  Duration(Choice(m_Context.random())),
                              [this] { fetchText(); });
}

void RulesFollower::fetchText() {
  if (m_NewestHead.Number <= m_LocalHead.Number) {
    m_FetchActive = false;
    return;
  }
  RulesHead Requested = m_NewestHead;
  m_Context.callPlatform(GetObject{Requested.Object},
                         [this, Requested](const PlatformAnswer &Answer) {
                           const auto *Read = std::get_if<ObjectRead>(&Answer);
                           if (Read != nullptr && Read->Found)
                             installText(Requested, Read->Body);
                           else
                             requestTextFromPeer(Requested);
                           continueFetch();
                         });
}

void RulesFollower::continueFetch() {
  if (m_NewestHead.Number <= m_LocalHead.Number) {
    m_FetchActive = false;
    return;
  }
  m_Context.timers().schedule(
      m_Context.now() + withJitter(FetchRetryInterval, m_Context.random()),
      [this] { fetchText(); });
}

void RulesFollower::requestTextFromPeer(const RulesHead &Requested) {
  std::optional<VmId> From =
      m_TextSource ? m_TextSource : chooseReachablePeer();
  if (From)
    m_Context.sendPeer(*From, PeerChannel::Rules,
                       encodeRulesMessage(RulesTextRequest{Requested.Object}));
  m_TextSource.reset();
}

std::optional<VmId> RulesFollower::chooseReachablePeer() {
  std::vector<VmId> Others;
  for (const auto &[Vm, Member] : m_Context.members())
    if (Vm != m_Context.settings().Vm && Member.Reachable)
      Others.push_back(Vm);
  if (Others.empty())
    return std::nullopt;
  return Others[m_Context.random()() % Others.size()];
}

void RulesFollower::onEditAccepted(const RulesHead &Head,
                                   const std::string &Text, Instant WriteTime) {
  if (m_NewestHead.Number <= Head.Number) {
    m_NewestHead = Head;
    m_NewestStoreTime = WriteTime;
  }
  installText(Head, Text);
}

void RulesFollower::installText(const RulesHead &Head,
                                const std::string &Text) {
  if (Head.Number <= m_LocalHead.Number || rulesObjectName(Text) != Head.Object)
    return;
  auto Rules = parseRules(Head.Number, Text);
  if (!Rules) {
    m_Context.log(WriteLog::Level::Error, "rules_rejected",
                  {{"revision", std::to_string(Head.Number.value())},
                   {"reason", Rules.error().front().Reason}});
    return;
  }
  m_LocalHead = Head;
  m_Text = Text;
  m_Rules = std::make_shared<RuleSet>(std::move(*Rules));
  if (m_NewestHead.Number == Head.Number)
    m_StoreTime = std::max(m_StoreTime, m_NewestStoreTime);
  updateRulesInForce();
  sendPendingConfirms();
}

/// @brief Updates the time at which the local revision was last known to be
/// current, and puts the revision in force.
void RulesFollower::updateRulesInForce() {
  if (!m_Rules)
    return;
  bool StoreIsRecent = m_Context.now() - m_StoreTime < FreshnessLimit / 2;
  Instant CurrentAt = m_StoreTime;
  if (!StoreIsRecent)
    CurrentAt = std::max(CurrentAt, m_Hooks.GetLastQuorumAttestation());
  CurrentAt = std::max(CurrentAt, m_Context.lastKnownCurrent());
  m_EverCurrent = m_EverCurrent || m_Context.now() - CurrentAt < FreshnessLimit;
  if (!m_EverCurrent)
    return;
  m_Context.setLastKnownCurrent(CurrentAt);
  Revision InForce = m_Context.rules().Number;
  if (InForce == m_LocalHead.Number)
    return;
  BERGAMOTSTAGE_INVARIANT(InForce < m_LocalHead.Number,
                          "the revision in force on a VM never decreases");
  m_Context.setRules(m_Rules);
  m_Context.log(WriteLog::Level::Info, "rules_in_force",
                {{"revision", std::to_string(m_LocalHead.Number.value())}});
  m_Hooks.OnInForce();
}

void RulesFollower::sendPendingConfirms() {
  if (m_LocalHead.Number < m_NewestHead.Number)
    return;
  for (const VmId &Vm : m_PendingConfirms)
    m_Context.sendPeer(Vm, PeerChannel::Rules,
                       encodeRulesMessage(RulesConfirm{m_LocalHead.Number}));
  m_PendingConfirms.clear();
}

LocalRevision RulesFollower::localRevision() const {
  return {m_LocalHead.Number, m_LocalHead.Object, m_StoreTime, m_EverCurrent};
}

} // namespace bergamotstage
