#include "bergamotstage/pooling/TargetChoice.h"

#include <algorithm>

namespace bergamotstage::pooling {
namespace {

/// A follower that lacked a position is left alone for so long.
constexpr Duration BehindPause = milliseconds(150);
/// A target that an owner could not reach is not chosen for reads so long.
constexpr Duration UnreachablePause = milliseconds(400);
/// What an answer said of a queue is believed for so long.
constexpr Duration QueueKnowledge = milliseconds(300);
/// Costs in milliseconds. A statement takes about StatementCost of one slot;
/// another data centre adds a round trip and bytes that are paid for; the
/// primary is spared for the work that only it can do.
constexpr double StatementCost = 15;
constexpr double FarCost = 6;
constexpr double PrimaryCost = 12;

} // namespace

void TargetChoice::learnLoad(const TargetId &Target, unsigned Queued) {
  Known &Of = m_Known[Target];
  Of.Queued = Queued;
  Of.QueuedAt = m_Context.now();
}

void TargetChoice::learnBehind(const TargetId &Target) {
  m_Known[Target].BehindUntil = m_Context.now() + BehindPause;
}

void TargetChoice::learnUnreachable(const TargetId &Target) {
  m_Known[Target].UnreachableUntil = m_Context.now() + UnreachablePause;
}

std::optional<VmId> TargetChoice::ownerOf(const TargetId &Target,
                                          const Operation &Op) const {
  for (const VmId &Vm : m_Owners(Target))
    if (Op.Avoid.count({Vm, Target}) == 0)
      return Vm;
  return std::nullopt;
}

TargetChoice::Choice TargetChoice::leader(const Operation &Op) const {
  Choice Made;
  Made.How = isTransaction(Op.How) ? Access::LeaderTransaction : Access::Leader;
  auto Primary = m_Targets.primary(Op.Route.Group);
  if (!Primary || !m_Targets.mayStillLead(*Primary, m_Context.now()))
    return Made;
  auto Owner = ownerOf(*Primary, Op);
  Made.Target = *Primary;
  Made.What = Owner ? Choice::Kind::Chosen : Choice::Kind::NoOwner;
  if (Owner)
    Made.Owner = *Owner;
  return Made;
}

/// @brief Position that a follower must hold; nothing if no proof is young
/// enough. A proof of a later term covers what is left of the session's own
/// commits of earlier terms.
std::optional<HistoryPoint>
TargetChoice::requiredPosition(const Session &Of, const Operation &Op) const {
  auto Proofs = m_Proofs.find(Op.Route.Group);
  if (Proofs == m_Proofs.end())
    return std::nullopt;
  auto Required =
      Proofs->second.oldestSince(Op.Arrived - Op.Route.MaxStaleness);
  if (!Required)
    return std::nullopt;
  bool Own = Op.Route.Reads == Consistency::ReadYourWrites && Of.LastCommit &&
             Of.LastCommitGroup == Op.Route.Group;
  if (!Own || Of.LastCommit->AtTerm < Proofs->second.highestTerm())
    return Required;
  return std::max(*Required, *Of.LastCommit);
}

double TargetChoice::costOf(const TargetEntry &Target, bool Leads) const {
  double Cost = StatementCost;
  auto Found = m_Known.find(Target.Id);
  if (Found != m_Known.end()) {
    bool Fresh = Found->second.QueuedAt + QueueKnowledge > m_Context.now();
    if (Fresh)
      Cost += StatementCost * Found->second.Queued / Target.Slots;
  }
  if (Target.DataCentre != m_Context.dataCentre())
    Cost += FarCost;
  if (Leads)
    Cost += PrimaryCost;
  return Cost;
}

TargetChoice::Choice TargetChoice::choose(const Session &Of,
                                          const Operation &Op) const {
  if (!Op.AnyTarget || Op.LeaderOnly)
    return leader(Op);
  auto Required = requiredPosition(Of, Op);
  if (!Required) {
    Choice Made;
    Made.What = Choice::Kind::NoPosition;
    return Made;
  }
  auto Primary = m_Targets.primary(Op.Route.Group);
  Choice Best = leader(Op);
  bool Found = Best.What == Choice::Kind::Chosen &&
               m_Targets.takesWork(Best.Target) &&
               Op.AvoidTargets.count(Best.Target) == 0;
  double BestCost = Found ? costOf(*m_Targets.find(Best.Target), true) : 0;
  for (const TargetId &Id : m_Targets.groupMembers(Op.Route.Group)) {
    bool Usable = Primary != Id && m_Targets.takesWork(Id) &&
                  Op.AvoidTargets.count(Id) == 0;
    if (!Usable)
      continue;
    auto Known = m_Known.find(Id);
    bool Paused = Known != m_Known.end() &&
                  (Known->second.BehindUntil > m_Context.now() ||
                   Known->second.UnreachableUntil > m_Context.now());
    if (Paused)
      continue;
    double Cost = costOf(*m_Targets.find(Id), false);
    auto Owner = ownerOf(Id, Op);
    if (!Owner || (Found && Cost >= BestCost))
      continue;
    Found = true;
    BestCost = Cost;
    Best.What = Choice::Kind::Chosen;
    Best.Target = Id;
    Best.Owner = *Owner;
    Best.How =
        isTransaction(Op.How) ? Access::FollowerTransaction : Access::Follower;
    Best.After = Required;
  }
  return Best;
}

} // namespace bergamotstage::pooling
