#include "bergamotstage/target/LinkPool.h"

#include "bergamotstage/core/Invariant.h"

#include <utility>

namespace bergamotstage {
namespace {

constexpr Duration ReopenDelay = milliseconds(100);

Refusal queueRefusal(const std::string &Message) {
  Refusal Reason;
  Reason.SqlState = sqlstate::TooManyConnections;
  Reason.State = RunState::NotRun;
  Reason.Message = Message;
  Reason.RetryAfter = seconds(1);
  return Reason;
}

} // namespace

void LinkPool::configure(const TargetId &Id, const std::string &Address,
                         const std::string &DatabaseName, unsigned Slots,
                         unsigned Connections) {
  Target &At = m_Targets[Id];
  At.Address = Address;
  At.DatabaseName = DatabaseName;
  At.Slots = Slots;
  At.Connections = Connections;
}

void LinkPool::acquire(const TargetId &Id, const AccountId &Account,
                       Instant Deadline, LendCallback Callback) {
  auto Found = m_Targets.find(Id);
  if (Found == m_Targets.end()) {
    Callback(tl::make_unexpected(queueRefusal("no such target")));
    return;
  }
  std::uint64_t Ticket = ++m_LastTicket;
  TimerId Timer = m_Context.timers().schedule(
      Deadline, [this, Id, Ticket] { expire(Id, Ticket); });
  Found->second.Waiters.emplace(Ticket,
                                Waiter{Account, std::move(Callback), Timer});
  serve(Id);
}

void LinkPool::expire(const TargetId &Id, std::uint64_t Ticket) {
  Target &At = m_Targets[Id];
  auto Found = At.Waiters.find(Ticket);
  if (Found == At.Waiters.end())
    return;
  LendCallback Callback = std::move(Found->second.Callback);
  At.Waiters.erase(Found);
  Callback(tl::make_unexpected(
      queueRefusal("no connection to the target became free in time")));
}

void LinkPool::serve(const TargetId &Id) {
  Target &At = m_Targets[Id];
  while (!At.Waiters.empty() && !At.Idle.empty() && At.Lent < At.Slots) {
    LinkId Link = At.Idle.front();
    At.Idle.pop_front();
    Waiter Next = std::move(At.Waiters.begin()->second);
    At.Waiters.erase(At.Waiters.begin());
    m_Context.timers().cancel(Next.Timer);
    m_Links[Link].Lent = true;
    ++At.Lent;
    Next.Callback(Link);
  }
  openMore(Id, At);
}

void LinkPool::openMore(const TargetId &Id, Target &At) {
  while (At.Waiters.size() > At.Idle.size() + At.Opening &&
         At.Total < At.Connections && At.Lent + At.Opening < At.Slots) {
    LinkId New = m_Context.newLink();
    m_Links[New].At = Id;
    ++At.Total;
    ++At.Opening;
    m_Context.act(OpenLink{New, Id, At.Address, At.DatabaseName});
  }
}

void LinkPool::run(LinkId Id, CallerId Caller, StatementId Statement,
                   SharedBody Body, AnswerCallback Callback) {
  auto Found = m_Links.find(Id);
  if (Found == m_Links.end()) {
    Callback(tl::make_unexpected(LinkLost{"the link is gone", true, 0}));
    return;
  }
  Link &On = Found->second;
  BERGAMOTSTAGE_INVARIANT(On.Lent && !On.Callback,
                          "statements of different transactions never mix");
  On.Running = Statement;
  On.Callback = std::move(Callback);
  m_Context.act(RunStatement{Id, Statement, Caller, std::move(Body)});
}

void LinkPool::runInternal(LinkId Id, const std::string &Text,
                           AnswerCallback Callback) {
  auto Found = m_Links.find(Id);
  if (Found == m_Links.end()) {
    Callback(tl::make_unexpected(LinkLost{"the link is gone", true, 0}));
    return;
  }
  Link &On = Found->second;
  BERGAMOTSTAGE_INVARIANT(On.Lent && !On.Callback,
                          "statements of different transactions never mix");
  On.Running = m_Context.newInternalStatement();
  On.Callback = std::move(Callback);
  m_Context.act(RunInternal{Id, On.Running, Text});
}

void LinkPool::release(LinkId Id, bool Clean) {
  auto Found = m_Links.find(Id);
  if (Found == m_Links.end())
    return;
  Link &On = Found->second;
  BERGAMOTSTAGE_INVARIANT(On.Lent, "only a lent link is given back");
  TargetId Name = On.At;
  if (!Clean || On.Callback) {
    forget(Id, true);
  } else {
    On.Lent = false;
    --m_Targets[Name].Lent;
    m_Targets[Name].Idle.push_back(Id);
  }
  serve(Name);
}

void LinkPool::forget(LinkId Id, bool CloseIt) {
  Link &On = m_Links[Id];
  Target &At = m_Targets[On.At];
  --At.Total;
  if (On.Lent)
    --At.Lent;
  if (!On.Open)
    --At.Opening;
  for (auto Idle = At.Idle.begin(); Idle != At.Idle.end(); ++Idle) {
    if (*Idle == Id) {
      At.Idle.erase(Idle);
      break;
    }
  }
  if (CloseIt)
    m_Context.act(CloseLink{Id});
  m_Links.erase(Id);
}

TargetId LinkPool::targetOf(LinkId Link) const {
  auto Found = m_Links.find(Link);
  return Found == m_Links.end() ? TargetId() : Found->second.At;
}

void LinkPool::opened(const LinkOpened &Event) {
  auto Found = m_Links.find(Event.Link);
  if (Found == m_Links.end())
    return;
  Link &On = Found->second;
  On.Open = true;
  Target &At = m_Targets[On.At];
  --At.Opening;
  At.Idle.push_back(Event.Link);
  TargetId Name = On.At;
  if (m_OpenHook)
    m_OpenHook(Name, true);
  serve(Name);
}

void LinkPool::failed(const LinkFailed &Event) {
  auto Found = m_Links.find(Event.Link);
  if (Found == m_Links.end())
    return;
  TargetId Name = Found->second.At;
  AnswerCallback Callback = std::move(Found->second.Callback);
  forget(Event.Link, false);
  if (Callback)
    Callback(tl::make_unexpected(
        LinkLost{Event.Reason, Event.NeverSent, Event.Chunks}));
  if (m_OpenHook)
    m_OpenHook(Name, false);
  m_Context.timers().schedule(m_Context.now() + ReopenDelay,
                              [this, Name] { serve(Name); });
}

void LinkPool::answered(const LinkAnswered &Event) {
  auto Found = m_Links.find(Event.Link);
  bool Expected = Found != m_Links.end() && Found->second.Callback &&
                  Found->second.Running == Event.Statement;
  if (!Expected)
    return;
  AnswerCallback Callback = std::move(Found->second.Callback);
  Found->second.Callback = nullptr;
  if (m_ReportHook)
    m_ReportHook(Found->second.At, Event);
  Callback(Event);
}

} // namespace bergamotstage
