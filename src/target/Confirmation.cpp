#include "bergamotstage/target/Confirmation.h"

#include <string>
#include <utility>

namespace bergamotstage {
namespace {

constexpr Duration AskAgainDelay = milliseconds(50);
const char *const SupersededState = "55000";

std::string confirmText(const HistoryPoint &Point) {
  return "CONFIRM " + std::to_string(Point.AtTerm.value()) + " " +
         std::to_string(Point.Position.value());
}

} // namespace

void Confirmation::wait(const GroupState &Group, const HistoryPoint &Commit,
                        Callback Done) {
  std::uint64_t Number = ++m_LastNumber;
  DatabaseId Database = Group.Database;
  TimerId Timer = m_Context.timers().schedule(
      m_Context.now() + m_Context.settings().ConfirmTimeout,
      [this, Database, Number] {
        settle(Database, Number, Confirmed::TimedOut);
      });
  m_Pending[Database].emplace(Number, Pending{Commit, std::move(Done), Timer});
  for (const TargetState &Target : Group.Targets) {
    if (Target.Id == Group.Primary)
      continue;
    m_Replicas[Target.Id].Database = Database;
    ask(Database, Target.Id);
  }
}

void Confirmation::ask(const DatabaseId &Database, const TargetId &Target) {
  Replica &At = m_Replicas[Target];
  auto &Waiting = m_Pending[Database];
  if (At.Busy || Waiting.empty())
    return;
  At.Busy = true;
  Instant Deadline = m_Context.now() + m_Context.settings().ConfirmTimeout;
  m_Links.acquire(Target, AccountId(), Deadline,
                  [this, Database, Target](const LinkPool::Lent &Lent) {
                    auto &Commits = m_Pending[Database];
                    if (!Lent || Commits.empty()) {
                      m_Replicas[Target].Busy = false;
                      if (Lent)
                        m_Links.release(*Lent, true);
                      return;
                    }
                    HistoryPoint Highest;
                    for (const auto &[Number, Entry] : Commits)
                      if (Highest < Entry.Commit)
                        Highest = Entry.Commit;
                    LinkId Link = *Lent;
                    m_Links.runInternal(
                        Link, confirmText(Highest),
                        [this, Database, Target, Link,
                         Highest](const LinkPool::Answer &Answer) {
                          m_Links.release(Link, Answer.has_value());
                          answered(Database, Target, Highest, Answer);
                        });
                  });
}

void Confirmation::answered(const DatabaseId &Database, const TargetId &Target,
                            const HistoryPoint &Asked,
                            const LinkPool::Answer &Answer) {
  m_Replicas[Target].Busy = false;
  bool Success = Answer && Answer->ErrorSqlState.empty();
  bool Refused = Answer && Answer->ErrorSqlState == SupersededState;
  std::vector<std::uint64_t> Settled;
  if (Success || Refused)
    for (const auto &[Number, Entry] : m_Pending[Database])
      if (Entry.Commit.AtTerm == Asked.AtTerm &&
          (Refused || !(Asked < Entry.Commit)))
        Settled.push_back(Number);
  for (std::uint64_t Number : Settled)
    settle(Database, Number,
           Success ? Confirmed::Durable : Confirmed::Superseded);
  Duration Delay = Success ? Duration(0) : AskAgainDelay;
  m_Context.timers().schedule(
      m_Context.now() + Delay,
      [this, Database, Target] { ask(Database, Target); });
}

void Confirmation::settle(const DatabaseId &Database, std::uint64_t Number,
                          Confirmed Result) {
  auto &Waiting = m_Pending[Database];
  auto Found = Waiting.find(Number);
  if (Found == Waiting.end())
    return;
  Pending Entry = std::move(Found->second);
  Waiting.erase(Found);
  m_Context.timers().cancel(Entry.Timer);
  Entry.Done(Result);
}

} // namespace bergamotstage
