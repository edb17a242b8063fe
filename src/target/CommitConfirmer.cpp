#include "bergamotstage/target/CommitConfirmer.h"

#include "bergamotstage/core/Invariant.h"
#include "bergamotstage/rules/PolicyChoice.h"

#include <string>
#include <utility>

namespace bergamotstage {
namespace {

constexpr Duration RetryDelay = milliseconds(50);

bool covers(const HistoryPoint &Point, const HistoryPoint &Commit) {
  return Point.AtTerm == Commit.AtTerm && Point.Position >= Commit.Position;
}

bool isImmediate(const RuleSet &Rules) {
  return choosePolicy(Rules, "acknowledge", "confirmed", 0).Choice ==
         "immediate";
}

} // namespace

std::string confirmStatement(const HistoryPoint &Point) {
  return "CONFIRM " + std::to_string(Point.AtTerm.value()) + " " +
         std::to_string(Point.Position.value());
}

void CommitConfirmer::confirm(const GroupState &Group,
                              const TargetId &ExecutedOn,
                              const HistoryPoint &Commit, Callback OnResult) {
  if (isImmediate(m_Context.rules()))
    return OnResult(ConfirmationResult::Unchecked);
  if (ExecutedOn.value().empty())
    return OnResult(ConfirmationResult::TimedOut);
  std::size_t NeededHolders = Group.Targets.size() / 2;
  if (NeededHolders == 0)
    return OnResult(ConfirmationResult::Durable);
  std::uint64_t Number = ++m_LastNumber;
  DatabaseId Database = Group.Database;
  PendingCommit Pending;
  Pending.Commit = Commit;
  Pending.ExecutedOn = ExecutedOn;
  Pending.OtherTargetCount = Group.Targets.size() - 1;
  Pending.NeededHolders = NeededHolders;
  Pending.OnResult = std::move(OnResult);
  Pending.Timer = m_Context.timers().schedule(
      m_Context.now() + m_Context.settings().ConfirmTimeout,
      [this, Database, Number] {
        complete(Database, Number, ConfirmationResult::TimedOut);
      });
  m_Pending[Database].emplace(Number, std::move(Pending));
  std::vector<TargetId> OtherTargets;
  for (const TargetState &Target : Group.Targets)
    if (Target.Id != ExecutedOn)
      OtherTargets.push_back(Target.Id);
  for (const TargetId &Target : OtherTargets)
    sendConfirm(Database, Target);
}

const CommitConfirmer::PendingCommit *
CommitConfirmer::earliestUnconfirmed(const DatabaseId &Database,
                                     const TargetId &Target) const {
  auto Commits = m_Pending.find(Database);
  if (Commits == m_Pending.end())
    return nullptr;
  const PendingCommit *Earliest = nullptr;
  for (const auto &[Number, Pending] : Commits->second) {
    bool Unconfirmed = Pending.ExecutedOn != Target &&
                       Pending.Holders.count(Target) == 0 &&
                       Pending.RefusedBy.count(Target) == 0;
    if (Unconfirmed &&
        (Earliest == nullptr || Pending.Commit < Earliest->Commit))
      Earliest = &Pending;
  }
  return Earliest;
}

void CommitConfirmer::sendConfirm(const DatabaseId &Database,
                                  const TargetId &Target) {
  const PendingCommit *Earliest = earliestUnconfirmed(Database, Target);
  if (Earliest == nullptr || !m_ConfirmRunning.insert(Target).second)
    return;
  HistoryPoint Point = Earliest->Commit;
  m_Links.run(Target, confirmStatement(Point),
              m_Context.settings().ConfirmTimeout,
              MonitorLinkPool::Selection::WaitForFree,
              [this, Database, Target, Point](const LinkResult &Result) {
                onConfirmAnswer(Database, Target, Point, Result);
              });
}

void CommitConfirmer::onConfirmAnswer(const DatabaseId &Database,
                                      const TargetId &Target,
                                      const HistoryPoint &Point,
                                      const LinkResult &Result) {
  m_ConfirmRunning.erase(Target);
  bool Success = Result && Result->ErrorSqlState.empty();
  bool Fenced = Result && Result->ErrorSqlState == LaterTermSqlState;
  if (Success)
    onPosition(Database, Target, Point);
  if (Fenced)
    onTermRefused(Database, Target, Point.AtTerm);
  Duration Delay = Success ? Duration(0) : RetryDelay;
  m_Context.timers().schedule(
      m_Context.now() + Delay,
      [this, Database, Target] { sendConfirm(Database, Target); });
}

void CommitConfirmer::onPosition(const DatabaseId &Database,
                                 const TargetId &Target,
                                 const HistoryPoint &Point) {
  auto Commits = m_Pending.find(Database);
  if (Commits == m_Pending.end())
    return;
  std::vector<std::uint64_t> Durable;
  for (auto &[Number, Pending] : Commits->second) {
    if (Pending.ExecutedOn == Target || !covers(Point, Pending.Commit))
      continue;
    Pending.Holders.insert(Target);
    if (Pending.Holders.size() >= Pending.NeededHolders)
      Durable.push_back(Number);
  }
  for (std::uint64_t Number : Durable)
    complete(Database, Number, ConfirmationResult::Durable);
}

void CommitConfirmer::onTermRefused(const DatabaseId &Database,
                                    const TargetId &Target, Term RefusedTerm) {
  std::vector<std::uint64_t> Superseded;
  for (auto &[Number, Pending] : m_Pending[Database]) {
    bool Affected = Pending.Commit.AtTerm <= RefusedTerm &&
                    Pending.ExecutedOn != Target &&
                    Pending.Holders.count(Target) == 0;
    if (!Affected)
      continue;
    Pending.RefusedBy.insert(Target);
    if (Pending.OtherTargetCount - Pending.RefusedBy.size() <
        Pending.NeededHolders)
      Superseded.push_back(Number);
  }
  for (std::uint64_t Number : Superseded)
    complete(Database, Number, ConfirmationResult::Superseded);
  if (m_FencedHook)
    m_FencedHook(Database, RefusedTerm);
}

void CommitConfirmer::complete(const DatabaseId &Database, std::uint64_t Number,
                               ConfirmationResult Result) {
  auto &Commits = m_Pending[Database];
  auto Found = Commits.find(Number);
  if (Found == Commits.end())
    return;
  PendingCommit Completed = std::move(Found->second);
  Commits.erase(Found);
  m_Context.timers().cancel(Completed.Timer);
  bool HasMajority = Completed.Holders.size() >= Completed.NeededHolders &&
                     Completed.Holders.count(Completed.ExecutedOn) == 0;
  BERGAMOTSTAGE_INVARIANT(Result != ConfirmationResult::Durable || HasMajority,
                          "a commit is durable once a majority holds it");
  Completed.OnResult(Result);
}

std::size_t CommitConfirmer::pendingCount() const {
  std::size_t Count = 0;
  for (const auto &[Database, Commits] : m_Pending)
    Count += Commits.size();
  return Count;
}

} // namespace bergamotstage
