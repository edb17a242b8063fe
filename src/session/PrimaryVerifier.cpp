#include "bergamotstage/session/PrimaryVerifier.h"

#include <string>
#include <utility>

namespace bergamotstage {
namespace {

constexpr Duration RoundTimeout = seconds(1);

std::string confirmText(Term CheckedTerm) {
  return "CONFIRM " + std::to_string(CheckedTerm.value()) + " 0";
}

} // namespace

void PrimaryVerifier::verify(const GroupState &Group, Callback OnVerified) {
  Round &Current = m_Rounds[Group.Database];
  Current.NextWaiting.push_back(std::move(OnVerified));
  Current.NextGroup = Group;
  if (Current.Number == 0)
    startRound(Group);
}

void PrimaryVerifier::startRound(const GroupState &Group) {
  DatabaseId Database = Group.Database;
  Round &Current = m_Rounds[Database];
  std::vector<Callback> Waiting = std::move(Current.NextWaiting);
  Current = Round();
  Current.Number = ++m_LastRound;
  Current.Waiting = std::move(Waiting);
  Current.StartedAt = m_Context.now();
  Current.CheckedTerm = Group.CurrentTerm;
  Current.Primary = Group.Primary;
  Current.Targets = Group.Targets.size();
  std::uint64_t Number = Current.Number;
  Current.Timer = m_Context.timers().schedule(
      m_Context.now() + RoundTimeout, [this, Database, Number] {
        if (m_Rounds[Database].Number == Number)
          finishRound(Database, false);
      });
  std::vector<TargetId> TargetIds;
  for (const TargetState &Target : Group.Targets)
    TargetIds.push_back(Target.Id);
  for (const TargetId &Id : TargetIds)
    if (m_Rounds[Database].Number == Number)
      sendConfirm(Database, Id);
}

void PrimaryVerifier::sendConfirm(const DatabaseId &Database,
                                  const TargetId &Target) {
  const Round &Current = m_Rounds[Database];
  m_Links.run(Target, confirmText(Current.CheckedTerm), RoundTimeout,
              MonitorLinkPool::Selection::WaitForFree,
              [this, Database, Target,
               Number = Current.Number](const LinkResult &Result) {
                onAnswer(Database, Target, Number, Result);
              });
}

void PrimaryVerifier::onAnswer(const DatabaseId &Database,
                               const TargetId &Target, std::uint64_t Number,
                               const LinkResult &Result) {
  Round &Current = m_Rounds[Database];
  if (Current.Number != Number)
    return;
  if (Result && Result->ErrorSqlState.empty())
    recordConfirmation(Current, Target, *Result);
  else
    ++Current.Failures;
  evaluateRound(Database);
}

void PrimaryVerifier::recordConfirmation(Round &Current, const TargetId &Target,
                                         const LinkAnswered &Answer) {
  if (Target != Current.Primary) {
    ++Current.Confirmations;
    return;
  }
  bool InCheckedTerm = Answer.Reported.AtTerm == Current.CheckedTerm;
  if (!InCheckedTerm) {
    ++Current.Failures;
    return;
  }
  ++Current.Confirmations;
  Current.PrimaryConfirmed = true;
  Current.PrimaryPoint = Answer.Reported;
}

void PrimaryVerifier::evaluateRound(const DatabaseId &Database) {
  const Round &Current = m_Rounds[Database];
  std::size_t Majority = Current.Targets / 2 + 1;
  if (Current.PrimaryConfirmed && Current.Confirmations >= Majority)
    return finishRound(Database, true);
  bool MajorityPossible = Current.Targets - Current.Failures >= Majority;
  bool AnswersPending =
      Current.Confirmations + Current.Failures < Current.Targets;
  if (!MajorityPossible || !AnswersPending)
    finishRound(Database, false);
}

void PrimaryVerifier::finishRound(const DatabaseId &Database, bool Verified) {
  Round &Current = m_Rounds[Database];
  m_Context.timers().cancel(Current.Timer);
  if (Verified)
    m_Positions.add(Database, Current.StartedAt, Current.PrimaryPoint);
  Result Verification;
  Verification.Verified = Verified;
  if (Verified)
    Verification.Primary = Current.Primary;
  Current.Number = 0;
  std::vector<Callback> Waiting = std::move(Current.Waiting);
  Current.Waiting.clear();
  if (!Current.NextWaiting.empty()) {
    GroupState Group = Current.NextGroup;
    startRound(Group);
  }
  for (const Callback &OnVerified : Waiting)
    OnVerified(Verification);
}

} // namespace bergamotstage
