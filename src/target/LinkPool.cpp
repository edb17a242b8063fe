#include "bergamotstage/target/LinkPool.h"

#include "bergamotstage/core/Invariant.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace bergamotstage {
namespace {

constexpr Duration InitialReopenDelay = milliseconds(50);
constexpr Duration MaxReopenDelay = seconds(2);
constexpr unsigned MaxBackOffDoublings = 6;
/// @brief Consecutive failures after which queued requests are refused.
constexpr unsigned MaxOpenFailures = 2;
constexpr Duration OpenTimeout = seconds(1);
constexpr Duration ResetTimeout = seconds(1);
/// @brief Time after which a missing answer is reported as overdue.
constexpr Duration OverdueAfter = milliseconds(100);
/// @brief Idle links kept open beyond demand while the target is in use.
constexpr std::size_t SpareLinks = 1;
constexpr Duration IdleLinkLifetime = seconds(30);
constexpr Duration MinRetryAfter = milliseconds(100);

Refusal queueRefusal(const std::string &Message, Duration RetryAfter) {
  Refusal Reason;
  Reason.SqlState = sqlstate::TooManyConnections;
  Reason.State = RunState::NotRun;
  Reason.Message = Message;
  Reason.RetryAfter = std::max(RetryAfter, MinRetryAfter);
  return Reason;
}

} // namespace

void LinkPool::configure(const TargetId &Target, const std::string &Address,
                         const std::string &DatabaseName,
                         const TargetShare &Share) {
  auto [Iterator, Inserted] = m_Targets.try_emplace(Target);
  TargetEntry &Entry = Iterator->second;
  Entry.Address = Address;
  Entry.DatabaseName = DatabaseName;
  Entry.Share = Share;
  if (Inserted && m_Policy)
    Entry.Queue.setPolicy(m_Policy);
}

void LinkPool::setQueuePolicy(const QueuePolicy &Policy) {
  m_Policy = Policy;
  for (auto &[Target, Entry] : m_Targets)
    Entry.Queue.setPolicy(Policy);
}

double LinkPool::weightOf(const AccountId &Account) const {
  const auto &Accounts = m_Context.rules().Accounts;
  auto Found = Accounts.find(Account);
  return Found == Accounts.end() ? 1 : Found->second.Weight;
}

void LinkPool::acquire(const TargetId &Target, const AccountId &Account,
                       Instant Deadline, AcquireCallback Callback) {
  auto Found = m_Targets.find(Target);
  if (Found == m_Targets.end())
    return Callback(tl::make_unexpected(
        queueRefusal("unknown target '" + Target.value() + "'", seconds(1))));
  TargetEntry &Entry = Found->second;
  Entry.LastRequestedAt = m_Context.now();
  double Weight = weightOf(Account);
  Duration Wait = Entry.Queue.expectedWait(Account, Weight, Entry.Share.Slots);
  if (m_Context.now() + Wait >= Deadline)
    return Callback(tl::make_unexpected(
        queueRefusal("target '" + Target.value() +
                         "' is too busy to start the statement in time",
                     Wait)));
  std::uint64_t Ticket = ++m_LastTicket;
  if (!Entry.Queue.push(Ticket, Account, Weight))
    return Callback(tl::make_unexpected(
        queueRefusal(std::to_string(WaitQueue::MaxWaitingPerAccount) +
                         " statements of client account '" + Account.value() +
                         "' already wait for target '" + Target.value() + "'",
                     Wait)));
  TimerId Timer = m_Context.timers().schedule(
      Deadline, [this, Target, Ticket] { onWaitTimeout(Target, Ticket); });
  Entry.Waiters.emplace(Ticket, Waiter{Account, std::move(Callback), Timer});
  dispatch(Target);
}

void LinkPool::onWaitTimeout(const TargetId &Target, std::uint64_t Ticket) {
  TargetEntry &Entry = m_Targets[Target];
  auto Found = Entry.Waiters.find(Ticket);
  if (Found == Entry.Waiters.end())
    return;
  AcquireCallback Callback = std::move(Found->second.Callback);
  Entry.Waiters.erase(Found);
  Entry.Queue.erase(Ticket);
  Callback(tl::make_unexpected(queueRefusal(
      "no connection to target '" + Target.value() + "' became free in time",
      seconds(1))));
}

void LinkPool::dispatch(const TargetId &Target) {
  TargetEntry &Entry = m_Targets[Target];
  while (!Entry.Queue.empty() && !Entry.IdleLinks.empty() &&
         Entry.InUse < Entry.Share.Slots) {
    LinkId Link = Entry.IdleLinks.front();
    Entry.IdleLinks.pop_front();
    std::uint64_t Ticket = *Entry.Queue.pop();
    auto Found = Entry.Waiters.find(Ticket);
    Waiter Admitted = std::move(Found->second);
    Entry.Waiters.erase(Found);
    assign(Entry, Link, std::move(Admitted));
  }
  openLinks(Target, Entry);
  reportLoad(Target);
}

void LinkPool::assign(TargetEntry &Entry, LinkId Link, Waiter Admitted) {
  m_Context.timers().cancel(Admitted.Timer);
  LinkState &State = m_Links.at(Link);
  BERGAMOTSTAGE_INVARIANT(State.Phase == LinkPhase::Idle && !State.NeedsReset,
                          "only a reset link is assigned");
  m_Context.timers().cancel(State.Timeout);
  State.Phase = LinkPhase::InUse;
  State.Account = Admitted.Account;
  State.AcquiredAt = m_Context.now();
  ++Entry.InUse;
  AcquireCallback Callback = std::move(Admitted.Callback);
  Callback(Link);
}

void LinkPool::openLinks(const TargetId &Target, TargetEntry &Entry) {
  if (m_Context.now() < Entry.ReopenAt)
    return;
  bool RecentlyUsed =
      Entry.LastRequestedAt + IdleLinkLifetime > m_Context.now();
  std::size_t Spare = RecentlyUsed ? SpareLinks : 0;
  std::size_t Startable =
      Entry.InUse < Entry.Share.Slots ? Entry.Share.Slots - Entry.InUse : 0;
  std::size_t Wanted = std::min(Entry.Queue.size(), Startable) + Spare;
  while (Entry.IdleLinks.size() + Entry.Opening < Wanted &&
         Entry.Connections < Entry.Share.StatementLinks)
    openLink(Target, Entry);
}

void LinkPool::openLink(const TargetId &Target, TargetEntry &Entry) {
  LinkId NewLink = m_Context.newLink();
  m_Links[NewLink].Target = Target;
  ++Entry.Connections;
  ++Entry.Opening;
  BERGAMOTSTAGE_INVARIANT(Entry.Connections <= Entry.Share.StatementLinks,
                          "links stay within the target's connections");
  m_Context.emit(OpenLink{NewLink, Target, Entry.Address, Entry.DatabaseName});
  startTimeout(NewLink, OpenTimeout, "the connection was not opened in time");
}

void LinkPool::startTimeout(LinkId Link, Duration Limit,
                            const std::string &Reason) {
  m_Links.at(Link).Timeout = m_Context.timers().schedule(
      m_Context.now() + Limit, [this, Link, Reason] {
        if (m_Links.count(Link) > 0)
          onLinkLost(Link, true, LinkLost{Reason, false, 0, false});
      });
}

void LinkPool::beginStatement(LinkId Link, LinkState &State,
                              StatementId Statement, AnswerCallback Callback) {
  BERGAMOTSTAGE_INVARIANT(State.Phase == LinkPhase::InUse && !State.Callback,
                          "an acquired link runs one statement at a time");
  State.Running = Statement;
  State.Callback = std::move(Callback);
  State.Timeout = m_Context.timers().schedule(
      m_Context.now() + OverdueAfter,
      [this, Link, Statement] { onOverdue(Link, Statement); });
}

void LinkPool::run(LinkId Link, CallerId Caller, StatementId Statement,
                   SharedBody Body, AnswerCallback Callback) {
  auto Found = m_Links.find(Link);
  if (Found == m_Links.end())
    return Callback(
        tl::make_unexpected(LinkLost{"the link is closed", true, 0, false}));
  Found->second.NeedsReset = true;
  beginStatement(Link, Found->second, Statement, std::move(Callback));
  m_Context.emit(RunStatement{Link, Statement, Caller, std::move(Body)});
}

void LinkPool::runInternal(LinkId Link, const std::string &Text,
                           AnswerCallback Callback) {
  auto Found = m_Links.find(Link);
  if (Found == m_Links.end())
    return Callback(
        tl::make_unexpected(LinkLost{"the link is closed", true, 0, false}));
  StatementId Statement = m_Context.newInternalStatement();
  beginStatement(Link, Found->second, Statement, std::move(Callback));
  m_Context.emit(RunInternal{Link, Statement, Text});
}

void LinkPool::onOverdue(LinkId Link, StatementId Statement) {
  auto Found = m_Links.find(Link);
  bool StillRunning = Found != m_Links.end() && Found->second.Callback &&
                      Found->second.Running == Statement;
  if (!StillRunning)
    return;
  TargetId Target = Found->second.Target;
  startTimeout(Link, m_Context.settings().StatementTimeout - OverdueAfter,
               "no answer in time");
  if (m_OverdueHook)
    m_OverdueHook(Target);
}

void LinkPool::release(LinkId Link, bool Clean) {
  auto Found = m_Links.find(Link);
  if (Found == m_Links.end())
    return;
  LinkState &State = Found->second;
  BERGAMOTSTAGE_INVARIANT(State.Phase == LinkPhase::InUse,
                          "only a link in use is released");
  TargetId Target = State.Target;
  if (!Clean || State.Callback) {
    removeLink(Link, true);
  } else {
    releaseSlot(State);
    if (State.NeedsReset)
      resetSession(Link);
    else
      makeIdle(Link);
  }
  dispatch(Target);
}

void LinkPool::releaseSlot(const LinkState &State) {
  TargetEntry &Entry = m_Targets.at(State.Target);
  BERGAMOTSTAGE_INVARIANT(Entry.InUse > 0, "a slot is released once");
  --Entry.InUse;
  Entry.Queue.onServed(State.Account, m_Context.now() - State.AcquiredAt);
}

void LinkPool::resetSession(LinkId Link) {
  LinkState &State = m_Links.at(Link);
  State.Phase = LinkPhase::Resetting;
  State.Running = m_Context.newInternalStatement();
  State.Callback = [this, Link](const LinkResult &Result) {
    if (!Result)
      return;
    if (Result->ErrorSqlState.empty() && !Result->InTransaction)
      return makeIdle(Link);
    removeLink(Link, true);
  };
  m_Context.emit(RunInternal{Link, State.Running, "DISCARD ALL"});
  startTimeout(Link, ResetTimeout, "the session was not reset in time");
}

void LinkPool::makeIdle(LinkId Link) {
  LinkState &State = m_Links.at(Link);
  State.Phase = LinkPhase::Idle;
  State.NeedsReset = false;
  m_Targets.at(State.Target).IdleLinks.push_front(Link);
  State.Timeout =
      m_Context.timers().schedule(m_Context.now() + IdleLinkLifetime,
                                  [this, Link] { closeIfUnneeded(Link); });
}

void LinkPool::closeIfUnneeded(LinkId Link) {
  auto Found = m_Links.find(Link);
  if (Found == m_Links.end() || Found->second.Phase != LinkPhase::Idle)
    return;
  TargetId Target = Found->second.Target;
  const TargetEntry &Entry = m_Targets.at(Target);
  bool RecentlyUsed =
      Entry.LastRequestedAt + IdleLinkLifetime > m_Context.now();
  bool KeepAsSpare = RecentlyUsed && Entry.IdleLinks.size() <= SpareLinks;
  if (!KeepAsSpare)
    return removeLink(Link, true);
  Found->second.Timeout =
      m_Context.timers().schedule(m_Context.now() + IdleLinkLifetime,
                                  [this, Link] { closeIfUnneeded(Link); });
}

void LinkPool::onLinkLost(LinkId Link, bool CloseIt, const LinkLost &Loss) {
  LinkState &State = m_Links.at(Link);
  TargetId Target = State.Target;
  AnswerCallback Callback = std::move(State.Callback);
  State.Callback = nullptr;
  delayReopening(Target);
  removeLink(Link, CloseIt);
  if (Callback)
    Callback(tl::make_unexpected(Loss));
  if (m_OpenHook)
    m_OpenHook(Target, false);
  const TargetEntry &Entry = m_Targets.at(Target);
  if (Entry.Connections == 0 && Entry.Failures >= MaxOpenFailures)
    refuseWaiters(Target, "target '" + Target.value() + "' does not answer");
  dispatch(Target);
}

void LinkPool::delayReopening(const TargetId &Target) {
  TargetEntry &Entry = m_Targets.at(Target);
  unsigned Doublings = std::min(Entry.Failures, MaxBackOffDoublings);
  ++Entry.Failures;
  Duration MaxDelay =
      std::min(InitialReopenDelay * (1 << Doublings), MaxReopenDelay);
  std::uniform_int_distribution<Duration::rep> Jitter(MaxDelay.count() / 2,
                                                      MaxDelay.count());
  Duration Delay(Jitter(m_Context.random()));
  Entry.ReopenAt = m_Context.now() + Delay;
  m_Context.timers().schedule(Entry.ReopenAt,
                              [this, Target] { dispatch(Target); });
}

void LinkPool::removeLink(LinkId Link, bool CloseIt) {
  LinkState &State = m_Links.at(Link);
  TargetEntry &Entry = m_Targets.at(State.Target);
  m_Context.timers().cancel(State.Timeout);
  --Entry.Connections;
  if (State.Phase == LinkPhase::InUse)
    releaseSlot(State);
  if (State.Phase == LinkPhase::Opening)
    --Entry.Opening;
  auto Idle = std::find(Entry.IdleLinks.begin(), Entry.IdleLinks.end(), Link);
  if (Idle != Entry.IdleLinks.end())
    Entry.IdleLinks.erase(Idle);
  if (CloseIt)
    m_Context.emit(CloseLink{Link});
  m_Links.erase(Link);
}

void LinkPool::refuseWaiters(const TargetId &Target,
                             const std::string &Reason) {
  auto Found = m_Targets.find(Target);
  if (Found == m_Targets.end())
    return;
  std::map<std::uint64_t, Waiter> Refused;
  Refused.swap(Found->second.Waiters);
  for (auto &[Ticket, Waiting] : Refused) {
    Found->second.Queue.erase(Ticket);
    m_Context.timers().cancel(Waiting.Timer);
  }
  for (auto &[Ticket, Waiting] : Refused)
    Waiting.Callback(tl::make_unexpected(queueRefusal(Reason, seconds(1))));
}

void LinkPool::closeAll(const TargetId &Target, const std::string &Reason) {
  refuseWaiters(Target, Reason);
  std::vector<LinkId> Closed;
  for (const auto &[Link, State] : m_Links)
    if (State.Target == Target)
      Closed.push_back(Link);
  std::sort(Closed.begin(), Closed.end());
  for (LinkId Link : Closed) {
    if (m_Links.count(Link) == 0)
      continue;
    AnswerCallback Callback = std::move(m_Links.at(Link).Callback);
    removeLink(Link, true);
    if (Callback)
      Callback(tl::make_unexpected(LinkLost{Reason, false, 0, false}));
  }
}

void LinkPool::reportLoad(const TargetId &Target) {
  const TargetEntry &Entry = m_Targets.at(Target);
  if (m_LoadHook)
    m_LoadHook(Target, Entry.InUse, Entry.Queue.size());
}

TargetId LinkPool::targetOf(LinkId Link) const {
  auto Found = m_Links.find(Link);
  return Found == m_Links.end() ? TargetId() : Found->second.Target;
}

void LinkPool::onLinkOpened(const LinkOpened &Event) {
  auto Found = m_Links.find(Event.Link);
  if (Found == m_Links.end() || Found->second.Phase != LinkPhase::Opening)
    return;
  TargetId Target = Found->second.Target;
  TargetEntry &Entry = m_Targets.at(Target);
  m_Context.timers().cancel(Found->second.Timeout);
  --Entry.Opening;
  Entry.Failures = 0;
  makeIdle(Event.Link);
  if (m_OpenHook)
    m_OpenHook(Target, true);
  dispatch(Target);
}

void LinkPool::onLinkFailed(const LinkFailed &Event) {
  if (m_Links.count(Event.Link) > 0)
    onLinkLost(Event.Link, false,
               LinkLost{Event.Reason, Event.NeverSent, Event.Chunks, false});
}

void LinkPool::onLinkAnswered(const LinkAnswered &Event) {
  auto Found = m_Links.find(Event.Link);
  bool Expected = Found != m_Links.end() && Found->second.Callback &&
                  Found->second.Running == Event.Statement;
  if (!Expected)
    return;
  TargetId Target = Found->second.Target;
  m_Context.timers().cancel(Found->second.Timeout);
  m_Targets.at(Target).Failures = 0;
  AnswerCallback Callback = std::move(Found->second.Callback);
  Found->second.Callback = nullptr;
  if (m_AnswerHook)
    m_AnswerHook(Target, Event);
  Callback(Event);
  dispatch(Target);
}

} // namespace bergamotstage
