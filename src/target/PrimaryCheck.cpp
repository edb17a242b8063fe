#include "bergamotstage/target/PrimaryCheck.h"

#include "bergamotstage/target/Confirmation.h"

#include <utility>

namespace bergamotstage {
namespace {

constexpr Duration CheckTimeout = seconds(1);

} // namespace

void PrimaryCheck::verify(const GroupState &Group, Callback Done) {
  Round &At = m_Rounds[Group.Database];
  At.Next.push_back(std::move(Done));
  At.Group = Group;
  if (At.Number == 0)
    start(Group.Database);
}

void PrimaryCheck::start(const DatabaseId &Database) {
  Round &At = m_Rounds[Database];
  std::uint64_t Number = ++m_LastRound;
  At.Number = Number;
  At.Running.swap(At.Next);
  At.Next.clear();
  At.Open = At.Group.Targets.size();
  At.Needed = At.Open / 2 + 1;
  HistoryPoint Start{At.Group.CurrentTerm, LogPosition(0)};
  std::vector<TargetId> Targets;
  for (const TargetState &Target : At.Group.Targets)
    Targets.push_back(Target.Id);
  for (const TargetId &Target : Targets)
    m_Links.run(
        Target, confirmText(Start), CheckTimeout, MonitorLinks::Choice::Any,
        [this, Database, Number](const LinkResult &Result) {
          answered(Database, Number, Result && Result->ErrorSqlState.empty());
        });
}

void PrimaryCheck::answered(const DatabaseId &Database, std::uint64_t Number,
                            bool Confirmed) {
  Round &At = m_Rounds[Database];
  if (At.Number != Number)
    return;
  --At.Open;
  if (Confirmed)
    --At.Needed;
  if (At.Needed == 0)
    return finish(Database, true);
  if (At.Open < At.Needed)
    finish(Database, false);
}

void PrimaryCheck::finish(const DatabaseId &Database, bool Verified) {
  Round &At = m_Rounds[Database];
  At.Number = 0;
  std::vector<Callback> Done;
  Done.swap(At.Running);
  if (!At.Next.empty())
    start(Database);
  for (Callback &Call : Done)
    Call(Verified);
}

} // namespace bergamotstage
