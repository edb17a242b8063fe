#include "bergamotstage/target/MonitorLinkPool.h"

#include "bergamotstage/core/Invariant.h"

#include <algorithm>
#include <utility>

namespace bergamotstage {
namespace {

LinkResult lostResult(const std::string &Reason, bool Inconclusive = false) {
  return tl::make_unexpected(LinkLost{Reason, false, 0, Inconclusive});
}

} // namespace

void MonitorLinkPool::configure(const TargetId &Target,
                                const std::string &Address,
                                const std::string &DatabaseName,
                                unsigned Limit) {
  TargetEntry &Entry = m_Targets[Target];
  Entry.Address = Address;
  Entry.DatabaseName = DatabaseName;
  Entry.Limit = std::max(1U, Limit);
}

void MonitorLinkPool::run(const TargetId &Target, std::string Text,
                          Duration Timeout, Selection Mode,
                          LinkResultCallback Callback) {
  auto Found = m_Targets.find(Target);
  if (Found == m_Targets.end())
    return Callback(lostResult("unknown target '" + Target.value() + "'"));
  std::uint64_t Number = ++m_LastNumber;
  PendingStatement Pending;
  Pending.Target = Target;
  Pending.Text = std::move(Text);
  Pending.Callback = std::move(Callback);
  Pending.Timer = m_Context.timers().schedule(
      m_Context.now() + Timeout, [this, Number] { onTimeout(Number); });
  m_Pending.emplace(Number, std::move(Pending));
  std::optional<LinkId> Free = freeLink(Found->second);
  bool Wait = Mode == Selection::WaitForFree;
  if (Free && Mode != Selection::AlwaysNew)
    return assign(*Free, Number);
  if (Found->second.Links.size() >= Found->second.Limit) {
    if (Wait) {
      Found->second.Waiting.push_back(Number);
      return;
    }
    closeOneLink(Target);
  }
  open(Target, Found->second, Number);
}

LinkId MonitorLinkPool::open(const TargetId &Target, TargetEntry &Entry,
                             std::uint64_t Number) {
  LinkId NewLink = m_Context.newLink();
  m_Links[NewLink] = {Target, false, Number};
  Entry.Links.push_back(NewLink);
  m_Pending.at(Number).Link = NewLink;
  m_Context.emit(OpenLink{NewLink, Target, Entry.Address, Entry.DatabaseName});
  return NewLink;
}

std::optional<LinkId>
MonitorLinkPool::freeLink(const TargetEntry &Entry) const {
  for (LinkId Link : Entry.Links) {
    const LinkState &State = m_Links.at(Link);
    if (State.Open && State.Number == 0)
      return Link;
  }
  return std::nullopt;
}

void MonitorLinkPool::assign(LinkId Link, std::uint64_t Number) {
  LinkState &State = m_Links.at(Link);
  BERGAMOTSTAGE_INVARIANT(State.Open &&
                              (State.Number == 0 || State.Number == Number),
                          "a link runs one statement at a time");
  State.Number = Number;
  PendingStatement &Assigned = m_Pending.at(Number);
  Assigned.Link = Link;
  Assigned.Id = m_Context.newInternalStatement();
  m_Context.emit(RunInternal{Link, Assigned.Id, Assigned.Text});
}

void MonitorLinkPool::closeOneLink(const TargetId &Target) {
  const TargetEntry &Entry = m_Targets.at(Target);
  std::optional<LinkId> Free = freeLink(Entry);
  LinkId Replaced = Free.value_or(Entry.Links.front());
  std::uint64_t Number = m_Links.at(Replaced).Number;
  m_Links.at(Replaced).Number = 0;
  removeLink(Replaced, true, "");
  if (Number != 0)
    complete(Number, lostResult("replaced by a new connection", true), false);
}

void MonitorLinkPool::removeLink(LinkId Link, bool CloseIt,
                                 const std::string &Reason) {
  LinkState Removed = m_Links.at(Link);
  TargetEntry &Entry = m_Targets.at(Removed.Target);
  Entry.Links.erase(std::find(Entry.Links.begin(), Entry.Links.end(), Link));
  m_Links.erase(Link);
  if (CloseIt)
    m_Context.emit(CloseLink{Link});
  if (Removed.Number != 0)
    complete(Removed.Number, lostResult(Reason));
}

void MonitorLinkPool::dispatch(const TargetId &Target) {
  TargetEntry &Entry = m_Targets.at(Target);
  while (!Entry.Waiting.empty()) {
    std::optional<LinkId> Free = freeLink(Entry);
    if (!Free && Entry.Links.size() >= Entry.Limit)
      return;
    std::uint64_t Number = Entry.Waiting.front();
    Entry.Waiting.pop_front();
    if (m_Pending.count(Number) == 0)
      continue;
    if (Free)
      assign(*Free, Number);
    else
      open(Target, Entry, Number);
  }
}

void MonitorLinkPool::onTimeout(std::uint64_t Number) {
  auto Found = m_Pending.find(Number);
  if (Found == m_Pending.end())
    return;
  TargetId Target = Found->second.Target;
  if (Found->second.Link)
    removeLink(*Found->second.Link, true, "no answer in time");
  else
    complete(Number, lostResult("no connection became free in time", true),
             false);
  dispatch(Target);
}

void MonitorLinkPool::complete(std::uint64_t Number, const LinkResult &Result,
                               bool ConcernsTarget) {
  auto Found = m_Pending.find(Number);
  if (Found == m_Pending.end())
    return;
  PendingStatement Completed = std::move(Found->second);
  m_Pending.erase(Found);
  m_Context.timers().cancel(Completed.Timer);
  if (m_OutcomeHook && ConcernsTarget)
    m_OutcomeHook(Completed.Target, Result);
  Completed.Callback(Result);
}

void MonitorLinkPool::onLinkOpened(const LinkOpened &Event) {
  auto Found = m_Links.find(Event.Link);
  if (Found == m_Links.end())
    return;
  Found->second.Open = true;
  if (Found->second.Number != 0)
    assign(Event.Link, Found->second.Number);
}

void MonitorLinkPool::onLinkFailed(const LinkFailed &Event) {
  auto Found = m_Links.find(Event.Link);
  if (Found == m_Links.end())
    return;
  TargetId Target = Found->second.Target;
  removeLink(Event.Link, false, Event.Reason);
  dispatch(Target);
}

void MonitorLinkPool::onLinkAnswered(const LinkAnswered &Event) {
  auto Found = m_Links.find(Event.Link);
  if (Found == m_Links.end() || Found->second.Number == 0)
    return;
  std::uint64_t Number = Found->second.Number;
  if (m_Pending.at(Number).Id != Event.Statement)
    return;
  TargetId Target = Found->second.Target;
  Found->second.Number = 0;
  complete(Number, Event);
  dispatch(Target);
}

} // namespace bergamotstage
