#include "bergamotstage/target/FailoverAttempt.h"

#include "bergamotstage/core/Invariant.h"
#include "bergamotstage/core/Parse.h"
#include "bergamotstage/target/CommitConfirmer.h"

#include <utility>
#include <variant>

namespace bergamotstage {
namespace {

/// @brief Time after which the attempt continues without its row.
constexpr Duration RowTimeout = milliseconds(100);
constexpr Duration FenceTimeout = milliseconds(300);
constexpr Duration PromoteRetryDelay = milliseconds(100);
constexpr unsigned MaxPromoteCalls = 20;
/// @brief Time after which the attempt stops waiting for the platform.
constexpr Duration PromoteTimeout = seconds(4);

std::string fenceStatement(Term NewTerm, const std::string &AttemptId) {
  return "FENCE " + std::to_string(NewTerm.value()) + " '" + AttemptId + "'";
}

HistoryPoint pointOf(const LinkAnswered &Answer) {
  if (Answer.Cells.size() < 2)
    return Answer.Reported;
  return {Term(parseCount(Answer.Cells[0]).value_or(0)),
          LogPosition(parseCount(Answer.Cells[1]).value_or(0))};
}

} // namespace

std::string groupRowKey(const DatabaseId &Database) {
  return "group/" + Database.value();
}

FailoverAttempt::FailoverAttempt(NodeContext &Context, MonitorLinkPool &Links,
                                 const GroupState &Group, Term NewTerm,
                                 std::string AttemptId, EndCallback OnEnd)
    : m_Context(Context), m_Links(Links), m_Group(Group), m_NewTerm(NewTerm),
      m_AttemptId(std::move(AttemptId)), m_OnEnd(std::move(OnEnd)),
      m_Start(Context.now()) {}

void FailoverAttempt::start(NodeContext &Context, MonitorLinkPool &Links,
                            const GroupState &Group, Term NewTerm,
                            std::string AttemptId, EndCallback OnEnd) {
  std::shared_ptr<FailoverAttempt> Attempt(new FailoverAttempt(
      Context, Links, Group, NewTerm, std::move(AttemptId), std::move(OnEnd)));
  Attempt->readRow();
}

void FailoverAttempt::readRow() {
  auto Self = shared_from_this();
  m_Context.timers().schedule(m_Context.now() + RowTimeout,
                              [Self] { Self->fenceTargets(); });
  m_Context.callPlatform(
      ReadRows{groupRowKey(m_Group.Database)},
      [Self](const PlatformAnswer &Answer) { Self->onRowRead(Answer); });
}

void FailoverAttempt::onRowRead(const PlatformAnswer &Answer) {
  const auto *Read = std::get_if<RowsRead>(&Answer);
  if (Read == nullptr || m_Fencing)
    return fenceTargets();
  std::string Key = groupRowKey(m_Group.Database);
  std::uint64_t Version = 0;
  for (const TableRow &Row : Read->Rows) {
    if (Row.Key != Key)
      continue;
    Version = Row.Version;
    Term RecordedTerm(
        parseCount(Row.Value.substr(0, Row.Value.find(' '))).value_or(0));
    if (RecordedTerm >= m_NewTerm)
      return finish(FailoverResult::Kind::Conflict, RecordedTerm);
  }
  ConditionalWrite Write;
  Write.WriteId = m_AttemptId;
  Write.Conditions.push_back({Key, Version});
  Write.Changes.push_back(
      {Key, std::to_string(m_NewTerm.value()) + " " + m_AttemptId});
  auto Self = shared_from_this();
  m_Context.callPlatform(
      std::move(Write), [Self](const PlatformAnswer &WriteAnswer) {
        const auto *Decided = std::get_if<WriteDecided>(&WriteAnswer);
        bool Refused = Decided != nullptr && !Decided->Applied;
        if (Refused && !Self->m_Fencing)
          return Self->finish(FailoverResult::Kind::Conflict, Self->m_NewTerm);
        Self->fenceTargets();
      });
}

void FailoverAttempt::fenceTargets() {
  if (m_Fencing || m_Ended)
    return;
  m_Fencing = true;
  for (const TargetState &Target : m_Group.Targets)
    m_Unanswered.insert(Target.Id);
  std::set<TargetId> Targets = m_Unanswered;
  auto Self = shared_from_this();
  for (const TargetId &Target : Targets)
    m_Links.run(Target, fenceStatement(m_NewTerm, m_AttemptId), FenceTimeout,
                MonitorLinkPool::Selection::FreeOrNew,
                [Self, Target](const LinkResult &Result) {
                  Self->onFenceAnswer(Target, Result);
                });
}

bool FailoverAttempt::isSuspected(const TargetId &Target) const {
  const TargetState *State = m_Group.find(Target);
  return State != nullptr && State->Suspected;
}

void FailoverAttempt::onFenceAnswer(const TargetId &Target,
                                    const LinkResult &Result) {
  if (m_Ended || m_Promoting)
    return;
  m_Unanswered.erase(Target);
  if (Result && Result->ErrorSqlState.empty())
    m_FencedPoints[Target] = pointOf(*Result);
  else if (Result && Result->ErrorSqlState == LaterTermSqlState)
    m_SawLaterTerm = true;
  std::size_t Majority = m_Group.Targets.size() / 2 + 1;
  bool HasMajority = m_FencedPoints.size() >= Majority;
  bool AwaitsHealthyTarget = false;
  for (const TargetId &Unanswered : m_Unanswered)
    AwaitsHealthyTarget = AwaitsHealthyTarget || !isSuspected(Unanswered);
  if (HasMajority && !AwaitsHealthyTarget)
    return selectCandidate();
  if (!m_Unanswered.empty())
    return;
  if (HasMajority)
    return selectCandidate();
  finish(m_SawLaterTerm ? FailoverResult::Kind::Conflict
                        : FailoverResult::Kind::NoMajority,
         m_NewTerm);
}

void FailoverAttempt::selectCandidate() {
  m_Promoting = true;
  m_FencedAt = m_Context.now();
  HistoryPoint Best;
  for (const auto &[Target, Point] : m_FencedPoints) {
    bool Better = m_Candidate.value().empty() || Best < Point ||
                  (Best == Point && isSuspected(m_Candidate));
    if (!Better)
      continue;
    m_Candidate = Target;
    Best = Point;
  }
  BERGAMOTSTAGE_INVARIANT(2 * m_FencedPoints.size() > m_Group.Targets.size(),
                          "a promotion follows the fencing of a majority");
  for (const auto &[Target, Point] : m_FencedPoints)
    BERGAMOTSTAGE_INVARIANT(!(Best < Point),
                            "the candidate holds the highest point");
  requestPromotion();
}

void FailoverAttempt::requestPromotion() {
  bool TooLate = m_PromoteCalls >= MaxPromoteCalls ||
                 m_Context.now() > m_FencedAt + PromoteTimeout;
  if (TooLate)
    return finish(FailoverResult::Kind::PlatformTimeout, m_NewTerm);
  ++m_PromoteCalls;
  auto Self = shared_from_this();
  m_Context.callPlatform(
      Promote{m_Group.Database, m_Candidate, m_NewTerm, m_AttemptId},
      [Self](const PlatformAnswer &Answer) {
        Self->onPromotionAnswer(Answer);
      });
}

void FailoverAttempt::onPromotionAnswer(const PlatformAnswer &Answer) {
  if (m_Ended)
    return;
  if (const auto *Decided = std::get_if<PromotionDecided>(&Answer)) {
    if (Decided->Applied)
      return finish(FailoverResult::Kind::Promoted, m_NewTerm);
    return finish(FailoverResult::Kind::Conflict, Decided->CurrentTerm);
  }
  auto Self = shared_from_this();
  m_Context.timers().schedule(m_Context.now() + PromoteRetryDelay,
                              [Self] { Self->requestPromotion(); });
}

void FailoverAttempt::finish(FailoverResult::Kind Outcome, Term ResultTerm) {
  if (m_Ended)
    return;
  m_Ended = true;
  FailoverResult Result;
  Result.Outcome = Outcome;
  Result.NewTerm = ResultTerm;
  Result.Total = m_Context.now() - m_Start;
  if (m_Promoting)
    Result.UntilFenced = m_FencedAt - m_Start;
  if (Outcome == FailoverResult::Kind::Promoted)
    Result.Primary = m_Candidate;
  m_OnEnd(Result);
}

} // namespace bergamotstage
