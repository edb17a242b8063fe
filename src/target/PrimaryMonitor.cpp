#include "bergamotstage/target/PrimaryMonitor.h"

#include "bergamotstage/core/Parse.h"
#include "bergamotstage/rules/PolicyChoice.h"
#include "bergamotstage/target/CommitConfirmer.h"
#include "bergamotstage/target/Watchers.h"

#include <algorithm>
#include <utility>

namespace bergamotstage {
namespace {

/// @brief Mean time between heartbeats of all watchers of a primary together.
constexpr Duration HeartbeatInterval = milliseconds(250);
constexpr Duration HeartbeatTimeout = milliseconds(60);
/// @brief Limit for a probe, which opens a connection and waits for one answer.
constexpr Duration ProbeTimeout = milliseconds(100);
/// @brief Time for the reports of other watchers to arrive after their probes.
constexpr Duration VoteMargin = milliseconds(50);
/// @brief Rounds without another VM's report before this VM decides alone.
constexpr unsigned MaxRoundsAlone = 4;
/// @brief Time given to another VM's vote before this VM starts one.
constexpr Duration PeerVoteTime = milliseconds(500);
constexpr Duration VoteBackOff = seconds(1);
constexpr Duration DefaultFixedTimeout = seconds(3);

/// @brief Timeout of the policy `fixed`; nothing if votes decide.
std::optional<Duration> fixedTimeout(const RuleSet &Rules) {
  PolicyChoice Choice = choosePolicy(Rules, "failover", "vote", 0);
  if (Choice.Choice != "fixed")
    return std::nullopt;
  auto Parameter = Choice.Parameters.find("timeout");
  if (Parameter == Choice.Parameters.end())
    return DefaultFixedTimeout;
  return parseDuration(Parameter->second).value_or(DefaultFixedTimeout);
}

} // namespace

void PrimaryMonitor::start(const DatabaseId &Database) {
  if (!m_States.try_emplace(Database).second)
    return;
  std::uniform_int_distribution<Duration::rep> FirstDelay(
      0, HeartbeatInterval.count());
  m_Context.timers().schedule(m_Context.now() +
                                  Duration(FirstDelay(m_Context.random())),
                              [this, Database] { onHeartbeatTimer(Database); });
}

std::vector<VmId>
PrimaryMonitor::otherWatchers(const DatabaseId &Database) const {
  std::vector<VmId> Others = selectWatchers(Database, m_Context.members());
  Others.erase(
      std::remove(Others.begin(), Others.end(), m_Context.settings().Vm),
      Others.end());
  return Others;
}

void PrimaryMonitor::onHeartbeatTimer(const DatabaseId &Database) {
  std::vector<VmId> Watchers = selectWatchers(Database, m_Context.members());
  bool IsWatcher = std::find(Watchers.begin(), Watchers.end(),
                             m_Context.settings().Vm) != Watchers.end();
  if (IsWatcher)
    sendHeartbeat(Database);
  auto WatcherCount =
      static_cast<Duration::rep>(std::max<std::size_t>(1, Watchers.size()));
  Duration::rep OwnInterval = HeartbeatInterval.count() * WatcherCount;
  std::uniform_int_distribution<Duration::rep> Jitter(
      OwnInterval / 2, OwnInterval + OwnInterval / 2);
  m_Context.timers().schedule(m_Context.now() +
                                  Duration(Jitter(m_Context.random())),
                              [this, Database] { onHeartbeatTimer(Database); });
}

void PrimaryMonitor::sendHeartbeat(const DatabaseId &Database) {
  const GroupState *Group = m_FindGroup(Database);
  MonitorState &State = m_States[Database];
  if (Group == nullptr || Group->Primary.value().empty() ||
      State.HeartbeatRunning)
    return;
  State.HeartbeatRunning = true;
  Term AtTerm = Group->CurrentTerm;
  m_Links.run(Group->Primary, confirmStatement({AtTerm, LogPosition(0)}),
              HeartbeatTimeout, MonitorLinkPool::Selection::FreeOrNew,
              [this, Database, AtTerm](const LinkResult &Result) {
                m_States[Database].HeartbeatRunning = false;
                if (!Result && Result.error().Inconclusive)
                  return;
                if (!Result)
                  return startVote(Database);
                m_States[Database].SilentSince.reset();
                if (Result->ErrorSqlState == LaterTermSqlState && m_FencedHook)
                  m_FencedHook(Database, AtTerm);
              });
}

void PrimaryMonitor::startVote(const DatabaseId &Database) {
  const GroupState *Group = m_FindGroup(Database);
  MonitorState &State = m_States[Database];
  bool Blocked = State.Round != 0 || m_Context.now() < State.NextVoteAt;
  if (Group == nullptr || Group->Primary.value().empty() || Blocked)
    return;
  if (auto Timeout = fixedTimeout(m_Context.rules()))
    return checkFixedTimeout(Database, *Timeout);
  std::uint64_t Round = ++m_LastRound;
  std::vector<VmId> Others = otherWatchers(Database);
  State.Round = Round;
  State.Primary = Group->Primary;
  State.AtTerm = Group->CurrentTerm;
  State.Voters = Others.size() + 1;
  State.ProbesSucceeded = 0;
  State.ProbesFailed = 0;
  State.OwnReported = false;
  std::string Payload =
      encodeFailoverMessage({FailoverMessage::Kind::Probe, Database,
                             State.Primary, State.AtTerm, Round});
  for (const VmId &Other : Others)
    m_Context.sendPeer(Other, PeerChannel::Failover, Payload);
  m_Context.timers().schedule(
      m_Context.now() + ProbeTimeout + VoteMargin,
      [this, Database, Round] { decideVote(Database, Round); });
  probe(State.Primary, State.AtTerm, [this, Database, Round](bool Succeeded) {
    recordReport(Database, Round, Succeeded, true);
  });
}

void PrimaryMonitor::checkFixedTimeout(const DatabaseId &Database,
                                       Duration Timeout) {
  MonitorState &State = m_States[Database];
  State.SilentSince = State.SilentSince.value_or(m_Context.now());
  if (m_Context.now() - *State.SilentSince >= Timeout)
    return m_LostHook(Database, "no answer within the fixed timeout");
  m_Context.timers().schedule(m_Context.now() + HeartbeatInterval,
                              [this, Database] { sendHeartbeat(Database); });
}

void PrimaryMonitor::probe(const TargetId &Target, Term AtTerm,
                           std::function<void(bool)> OnResult) {
  m_Links.run(Target, confirmStatement({AtTerm, LogPosition(0)}), ProbeTimeout,
              MonitorLinkPool::Selection::AlwaysNew,
              [OnResult = std::move(OnResult)](const LinkResult &Result) {
                if (Result || !Result.error().Inconclusive)
                  OnResult(Result.has_value());
              });
}

void PrimaryMonitor::onMessage(const VmId &From,
                               const FailoverMessage &Message) {
  using Kind = FailoverMessage::Kind;
  if (Message.Type == Kind::ProbeSucceeded || Message.Type == Kind::ProbeFailed)
    return recordReport(Message.Database, Message.Round,
                        Message.Type == Kind::ProbeSucceeded, false);
  const GroupState *Group = m_FindGroup(Message.Database);
  if (Message.Type != Kind::Probe || Group == nullptr ||
      Group->find(Message.Target) == nullptr)
    return;
  MonitorState &State = m_States[Message.Database];
  State.NextVoteAt = std::max(State.NextVoteAt, m_Context.now() + PeerVoteTime);
  FailoverMessage Probe = Message;
  probe(Message.Target, Message.AtTerm, [this, From, Probe](bool Succeeded) {
    FailoverMessage Reply = Probe;
    Reply.Type = Succeeded ? Kind::ProbeSucceeded : Kind::ProbeFailed;
    m_Context.sendPeer(From, PeerChannel::Failover,
                       encodeFailoverMessage(Reply));
  });
}

void PrimaryMonitor::recordReport(const DatabaseId &Database,
                                  std::uint64_t Round, bool Succeeded,
                                  bool Own) {
  MonitorState &State = m_States[Database];
  if (State.Round != Round)
    return;
  ++(Succeeded ? State.ProbesSucceeded : State.ProbesFailed);
  State.OwnReported = State.OwnReported || Own;
  std::size_t Reports = State.ProbesSucceeded + State.ProbesFailed;
  bool IsDecided = 2 * State.ProbesFailed > State.Voters ||
                   2 * State.ProbesSucceeded >= State.Voters;
  if (Reports == State.Voters || (State.OwnReported && IsDecided))
    decideVote(Database, Round);
}

void PrimaryMonitor::decideVote(const DatabaseId &Database,
                                std::uint64_t Round) {
  MonitorState &State = m_States[Database];
  if (State.Round != Round)
    return;
  State.Round = 0;
  std::size_t Reports = State.ProbesSucceeded + State.ProbesFailed;
  bool Alone = State.Voters > 1 && Reports < 2;
  State.RoundsAlone = Alone ? State.RoundsAlone + 1 : 0;
  const GroupState *Group = m_FindGroup(Database);
  bool Stale = Group == nullptr || Group->CurrentTerm != State.AtTerm;
  if (Stale)
    return;
  if (Alone && State.ProbesFailed > 0 && State.RoundsAlone < MaxRoundsAlone)
    return startVote(Database);
  State.RoundsAlone = 0;
  std::string Tally = std::to_string(State.ProbesFailed) + " of " +
                      std::to_string(Reports) + " watchers got no answer";
  if (State.ProbesFailed > State.ProbesSucceeded)
    return m_LostHook(Database, Tally);
  State.NextVoteAt = m_Context.now() + VoteBackOff;
  m_Context.timers().schedule(State.NextVoteAt,
                              [this, Database] { sendHeartbeat(Database); });
  m_Context.log(WriteLog::Level::Info, "primary_kept",
                {{"database", Database.value()},
                 {"primary", State.Primary.value()},
                 {"vote", Tally}});
}

} // namespace bergamotstage
