#include "bergamotstage/target/FailoverCoordinator.h"

#include <algorithm>
#include <utility>

namespace bergamotstage {
namespace {

/// @brief Time given to another VM's attempt before this VM starts one.
constexpr Duration PeerAttemptTime = milliseconds(1500);
/// @brief Time for a promotion to follow a fence seen on a target.
constexpr Duration PromotionGrace = milliseconds(1000);
/// @brief Time for which another VM's AttemptBlocked message is valid.
constexpr Duration PeerBlockedTime = milliseconds(2500);
constexpr Duration FirstBackOff = milliseconds(100);
constexpr Duration MaxBackOff = seconds(2);
constexpr unsigned MaxBackOffDoublings = 5;

const char *outcomeText(FailoverResult::Kind Outcome) {
  switch (Outcome) {
  case FailoverResult::Kind::Promoted:
    return "promoted";
  case FailoverResult::Kind::Conflict:
    return "another order or a later term came first";
  case FailoverResult::Kind::NoMajority:
    return "too few targets answer the fence";
  case FailoverResult::Kind::PlatformTimeout:
    return "the platform does not decide the promotion";
  }
  return "";
}

} // namespace

FailoverCoordinator::FailoverCoordinator(NodeContext &Context,
                                         MonitorLinkPool &Links,
                                         GroupLookup Groups)
    : m_Context(Context), m_Links(Links), m_FindGroup(std::move(Groups)),
      m_Monitor(Context, Links, [this](const DatabaseId &Database) {
        return m_FindGroup(Database);
      }) {
  m_Monitor.setLostHook(
      [this](const DatabaseId &Database, const std::string &Reason) {
        onPrimaryLost(Database, Reason);
      });
  m_Monitor.setFencedHook([this](const DatabaseId &Database, Term FencedTerm) {
    onTermFenced(Database, FencedTerm);
  });
}

FailoverCoordinator::State
FailoverCoordinator::state(const DatabaseId &Database) const {
  auto Found = m_Progress.find(Database);
  if (Found == m_Progress.end())
    return State::Normal;
  const GroupProgress &Progress = Found->second;
  bool Blocked =
      !Progress.AttemptRunning && m_Context.now() < Progress.PeerBlockedUntil;
  return Blocked ? State::Blocked : Progress.CurrentState;
}

void FailoverCoordinator::setState(const DatabaseId &Database, State NewState) {
  GroupProgress &Progress = m_Progress[Database];
  if (Progress.CurrentState == NewState)
    return;
  Progress.CurrentState = NewState;
  if (m_StateHook)
    m_StateHook(Database, NewState);
}

void FailoverCoordinator::onTargetFailed(const DatabaseId &Database,
                                         const TargetId &Target) {
  const GroupState *Group = m_FindGroup(Database);
  if (Group != nullptr && Group->Primary == Target)
    m_Monitor.startVote(Database);
}

void FailoverCoordinator::onTargetOverdue(const DatabaseId &Database,
                                          const TargetId &Target) {
  const GroupState *Group = m_FindGroup(Database);
  if (Group != nullptr && Group->Primary == Target)
    m_Monitor.sendHeartbeat(Database);
}

void FailoverCoordinator::onTermFenced(const DatabaseId &Database,
                                       Term FencedTerm) {
  const GroupState *Group = m_FindGroup(Database);
  GroupProgress &Progress = m_Progress[Database];
  if (Group == nullptr || Group->CurrentTerm != FencedTerm ||
      Progress.FenceCheckPending)
    return;
  Progress.FenceCheckPending = true;
  m_RefreshHook();
  m_Context.timers().schedule(
      m_Context.now() + PromotionGrace, [this, Database, FencedTerm] {
        m_Progress[Database].FenceCheckPending = false;
        const GroupState *LatestGroup = m_FindGroup(Database);
        if (LatestGroup != nullptr && LatestGroup->CurrentTerm == FencedTerm)
          onPrimaryLost(Database, "a target refused term " +
                                      std::to_string(FencedTerm.value()) +
                                      " and no promotion followed");
      });
}

void FailoverCoordinator::onPrimaryLost(const DatabaseId &Database,
                                        const std::string &Reason) {
  GroupProgress &Progress = m_Progress[Database];
  if (Progress.CurrentState != State::Normal)
    return;
  m_Context.log(WriteLog::Level::Warning, "primary_lost",
                {{"database", Database.value()}, {"reason", Reason}});
  setState(Database, State::FailingOver);
  const GroupState *Group = m_FindGroup(Database);
  if (Group == nullptr)
    return;
  if (m_Context.now() < Progress.PeerAttemptUntil)
    return scheduleRetry(Database, Group->CurrentTerm);
  startAttempt(Database);
}

void FailoverCoordinator::startAttempt(const DatabaseId &Database) {
  GroupProgress &Progress = m_Progress[Database];
  GroupState *Group = m_FindGroup(Database);
  if (Group == nullptr || Progress.AttemptRunning)
    return;
  Progress.AttemptRunning = true;
  Term NewTerm(
      std::max(Group->CurrentTerm, Progress.HighestAttemptedTerm).value() + 1);
  Progress.HighestAttemptedTerm = NewTerm;
  std::string AttemptId =
      m_Context.settings().Vm.value() + "-" +
      std::to_string(m_Context.settings().ProcessIncarnation.value()) + "-" +
      std::to_string(++m_LastAttempt);
  broadcast({FailoverMessage::Kind::AttemptStarted, Database, Group->Primary,
             NewTerm, 0});
  FailoverAttempt::start(m_Context, m_Links, *Group, NewTerm, AttemptId,
                         [this, Database](const FailoverResult &Result) {
                           onAttemptEnded(Database, Result);
                         });
}

void FailoverCoordinator::onAttemptEnded(const DatabaseId &Database,
                                         const FailoverResult &Result) {
  GroupProgress &Progress = m_Progress[Database];
  Progress.AttemptRunning = false;
  m_Context.log(
      WriteLog::Level::Warning, "failover_order",
      {{"database", Database.value()},
       {"result", outcomeText(Result.Outcome)},
       {"term", std::to_string(Result.NewTerm.value())},
       {"primary", Result.Primary.value()},
       {"fence_ms", std::to_string(toMilliseconds(Result.UntilFenced))},
       {"total_ms", std::to_string(toMilliseconds(Result.Total))}});
  if (Result.Outcome == FailoverResult::Kind::Promoted) {
    onPromoted(Database, Result.NewTerm, Result.Primary);
    broadcast({FailoverMessage::Kind::Promoted, Database, Result.Primary,
               Result.NewTerm, 0});
    return;
  }
  Progress.HighestAttemptedTerm =
      std::max(Progress.HighestAttemptedTerm, Result.NewTerm);
  ++Progress.Failures;
  bool Blocked = Result.Outcome == FailoverResult::Kind::NoMajority ||
                 Result.Outcome == FailoverResult::Kind::PlatformTimeout;
  const GroupState *Group = m_FindGroup(Database);
  if (Group == nullptr)
    return;
  if (Blocked) {
    setState(Database, State::Blocked);
    broadcast({FailoverMessage::Kind::AttemptBlocked, Database, Group->Primary,
               Group->CurrentTerm, 0});
  }
  m_RefreshHook();
  scheduleRetry(Database, Group->CurrentTerm);
}

Duration FailoverCoordinator::backOff(unsigned Failures) {
  unsigned Doublings = std::min(Failures, MaxBackOffDoublings);
  Duration MaxDelay = std::min(FirstBackOff * (1 << Doublings), MaxBackOff);
  std::uniform_int_distribution<Duration::rep> Jitter(MaxDelay.count() / 4,
                                                      MaxDelay.count());
  return Duration(Jitter(m_Context.random()));
}

void FailoverCoordinator::scheduleRetry(const DatabaseId &Database,
                                        Term LostTerm) {
  GroupProgress &Progress = m_Progress[Database];
  Instant RetryAt = std::max(m_Context.now(), Progress.PeerAttemptUntil) +
                    backOff(Progress.Failures);
  m_Context.timers().schedule(RetryAt, [this, Database, LostTerm] {
    const GroupState *Group = m_FindGroup(Database);
    bool StillNeeded = Group != nullptr && Group->CurrentTerm == LostTerm &&
                       m_Progress[Database].CurrentState != State::Normal;
    if (!StillNeeded)
      return;
    if (m_Context.now() < m_Progress[Database].PeerAttemptUntil)
      return scheduleRetry(Database, LostTerm);
    startAttempt(Database);
  });
}

void FailoverCoordinator::onPromoted(const DatabaseId &Database, Term NewTerm,
                                     const TargetId &Primary) {
  GroupState *Group = m_FindGroup(Database);
  if (Group == nullptr || NewTerm <= Group->CurrentTerm ||
      Group->find(Primary) == nullptr)
    return;
  m_PromotedHook(Database, NewTerm, Primary);
}

void FailoverCoordinator::onPrimaryKnown(const DatabaseId &Database) {
  GroupProgress &Progress = m_Progress[Database];
  Progress.Failures = 0;
  Progress.PeerAttemptUntil = Instant();
  Progress.PeerBlockedUntil = Instant();
  setState(Database, State::Normal);
}

void FailoverCoordinator::broadcast(const FailoverMessage &Message) {
  std::string Payload = encodeFailoverMessage(Message);
  for (const auto &[Id, Member] : m_Context.members())
    if (Id != m_Context.settings().Vm)
      m_Context.sendPeer(Id, PeerChannel::Failover, Payload);
}

void FailoverCoordinator::onPeerMessage(const PeerReceived &Event) {
  auto Message = decodeFailoverMessage(Event.Message.Payload);
  if (!Message || m_FindGroup(Message->Database) == nullptr)
    return;
  GroupProgress &Progress = m_Progress[Message->Database];
  switch (Message->Type) {
  case FailoverMessage::Kind::AttemptStarted:
    Progress.HighestAttemptedTerm =
        std::max(Progress.HighestAttemptedTerm, Message->AtTerm);
    if (m_FindGroup(Message->Database)->CurrentTerm < Message->AtTerm) {
      Progress.PeerAttemptUntil = m_Context.now() + PeerAttemptTime;
      m_Monitor.sendHeartbeat(Message->Database);
    }
    return;
  case FailoverMessage::Kind::AttemptBlocked:
    Progress.PeerBlockedUntil = m_Context.now() + PeerBlockedTime;
    if (!Progress.AttemptRunning && m_StateHook)
      m_StateHook(Message->Database, State::Blocked);
    return;
  case FailoverMessage::Kind::Promoted:
    return onPromoted(Message->Database, Message->AtTerm, Message->Target);
  default:
    return m_Monitor.onMessage(Event.From, *Message);
  }
}

} // namespace bergamotstage
