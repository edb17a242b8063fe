#include "bergamotstage/balancing/TargetSelector.h"

#include <algorithm>
#include <cstddef>

namespace bergamotstage::balancing {

using namespace pooling;

namespace {

/// A replica that lacked a position gets no reads for this time.
constexpr Duration BehindBackoff = milliseconds(150);
/// A target that an owner could not reach gets no reads for this time.
constexpr Duration UnreachableBackoff = milliseconds(400);
/// Validity of a reported queue length.
constexpr Duration QueueInfoLifetime = milliseconds(300);
/// Validity of a failure rate; then a read tries the target again.
constexpr Duration FailureInfoLifetime = seconds(3);
/// Validity of a reported pace. Losing an owner takes under two seconds to
/// notice; a target that was well so recently needs no careful start.
constexpr Duration PaceInfoLifetime = seconds(3);
/// Owners that an operation tries before the holder of the promotion lease,
/// which has to come before the limit of attempts.
constexpr std::size_t OwnersBeforeLeaseHolder = 3;
/// Slot time of one statement.
constexpr double StatementCostMs = 15;
/// Another data centre adds a round trip and paid traffic.
constexpr double RemoteCostMs = 6;
/// A failed read is retried elsewhere or by the caller; an unanswered one adds
/// its timeout.
constexpr double FailureCostMs = 200;
/// Exceeds the cost of any replica.
constexpr double LastResortCostMs = 1000;

const ReadRule &readRuleOf(const Operation &Op) {
  static const ReadRule Default;
  return Op.Reads ? *Op.Reads : Default;
}

} // namespace

void TargetSelector::recordLoad(const TargetId &Target,
                                const TargetLoad &Load) {
  m_States[Target].Estimate.recordReport(Load, m_Context.now());
}

unsigned TargetSelector::reportedPace(const TargetId &Target) const {
  const TargetEstimate &Estimate = estimateOf(Target);
  bool Valid = Estimate.reportAge(m_Context.now()) < PaceInfoLifetime;
  return Valid ? Estimate.report().Pace : 0;
}

void TargetSelector::recordOutcome(const TargetId &Target, bool Failed) {
  m_States[Target].Estimate.recordOutcome(Failed, m_Context.now());
}

void TargetSelector::markBehind(const TargetId &Target) {
  m_States[Target].BehindUntil = m_Context.now() + BehindBackoff;
}

void TargetSelector::markUnreachable(const TargetId &Target) {
  m_States[Target].UnreachableUntil = m_Context.now() + UnreachableBackoff;
}

std::optional<VmId> TargetSelector::selectOwner(const TargetId &Target,
                                                const Operation &Op) const {
  const std::vector<VmId> &Owners = m_Owners(Target);
  if (m_LeaseHolder && Op.ExcludedOwners.size() >= OwnersBeforeLeaseHolder &&
      m_Targets.primary(Op.Route.Group) == Target) {
    auto Holder = m_LeaseHolder(Op.Route.Group);
    bool Usable =
        Holder && mayOwn(*Holder, Target, Op) &&
        std::find(Owners.begin(), Owners.end(), *Holder) != Owners.end();
    if (Usable)
      return Holder;
  }
  for (const VmId &Vm : Owners)
    if (mayOwn(Vm, Target, Op))
      return Vm;
  return std::nullopt;
}

/// @brief Whether a VM has not failed an operation, and its home regions allow
/// the VM.
bool TargetSelector::mayOwn(const VmId &Vm, const TargetId &Target,
                            const Operation &Op) const {
  return Op.ExcludedOwners.count({Vm, Target}) == 0 && mayPass(Vm, Op);
}

/// @brief Whether the home regions of an operation include a target's.
bool TargetSelector::mayRunAt(const TargetId &Target,
                              const Operation &Op) const {
  const TargetEntry *Entry = m_Targets.find(Target);
  return Entry == nullptr ||
         m_Homes.mayRunIn(Entry->DataCentre, Op.Route.Homes, Op.AccountHomes);
}

bool TargetSelector::mayPass(const VmId &Vm, const Operation &Op) const {
  bool Restricted = !Op.Route.Homes.empty() || !Op.AccountHomes.empty();
  return !Restricted || !m_DataCentreOf || Vm == m_Context.self() ||
         m_Homes.mayPass(m_DataCentreOf(Vm), m_Context.dataCentre(),
                         Op.Route.Homes, Op.AccountHomes);
}

TargetSelector::Choice TargetSelector::notAllowed(const char *Reason) const {
  Choice Result;
  Result.Type = Choice::Kind::NotAllowed;
  Result.Reason = Reason;
  return Result;
}

TargetSelector::Choice
TargetSelector::selectPrimary(const Operation &Op) const {
  Choice Result;
  Result.AccessMode =
      isTransaction(Op.Mode) ? Access::PrimaryTransaction : Access::Primary;
  auto Primary = m_Targets.primary(Op.Route.Group);
  if (Primary && !mayRunAt(*Primary, Op))
    return notAllowed("the primary is outside of the home regions");
  bool Withdrawn = Primary && !m_Targets.maySend(*Primary, m_Context.now()) &&
                   m_Targets.isWhollyEvacuated(Op.Route.Group);
  if (Withdrawn)
    return notAllowed("the data centres of all targets are evacuated");
  if (!Primary || !m_Targets.mayServeAsPrimary(*Primary, m_Context.now()))
    return Result;
  auto Owner = selectOwner(*Primary, Op);
  Result.Target = *Primary;
  Result.Type = Owner ? Choice::Kind::Chosen : Choice::Kind::NoOwner;
  if (Owner)
    Result.Owner = *Owner;
  return Result;
}

/// @brief Position that a replica must have reached; empty if no proof is
/// recent enough. A proof of a later term than the session's last commit covers
/// that commit, unless it was lost in a promotion.
std::optional<HistoryPoint>
TargetSelector::requiredPosition(const Session &Caller,
                                 const Operation &Op) const {
  auto Proofs = m_Proofs.find(Op.Route.Group);
  if (Proofs == m_Proofs.end())
    return std::nullopt;
  auto Required =
      Proofs->second.oldestSince(Op.Arrived - Op.Route.MaxStaleness);
  if (!Required)
    return std::nullopt;
  auto OwnCommit = Caller.LastCommits.find(Op.Route.Group);
  bool MustBeSeen = Op.Route.Reads == Consistency::ReadYourWrites &&
                    OwnCommit != Caller.LastCommits.end() &&
                    !(OwnCommit->second.AtTerm < Proofs->second.highestTerm());
  return MustBeSeen ? std::max(*Required, OwnCommit->second) : Required;
}

double TargetSelector::estimateCost(const ReadRule &Rule,
                                    const TargetEntry &Target,
                                    bool IsPrimary) const {
  bool Remote = Target.DataCentre != m_Context.dataCentre();
  if (Rule.Type == ReadRule::Kind::RandomReplica)
    return std::uniform_real_distribution<double>(0, 1)(m_Context.random()) +
           (IsPrimary ? LastResortCostMs : 0);
  if (Rule.Type == ReadRule::Kind::NearestCovered)
    return (Remote ? RemoteCostMs : 0) + (IsPrimary ? LastResortCostMs : 0);
  double PlaceCost = (Remote ? RemoteCostMs : 0) +
                     (IsPrimary ? toMilliseconds(Rule.PrimaryCost) : 0);
  if (Rule.Type == ReadRule::Kind::LeastWait)
    return PlaceCost + expectedTimeMs(Target);
  double Cost = StatementCostMs;
  const TargetEstimate &Estimate = estimateOf(Target.Id);
  if (Estimate.reportAge(m_Context.now()) < QueueInfoLifetime)
    Cost += StatementCostMs * Estimate.report().Queued / Target.Slots;
  return Cost + failureCostMs(Estimate) + PlaceCost;
}

const TargetEstimate &TargetSelector::estimateOf(const TargetId &Target) const {
  static const TargetEstimate Unknown;
  auto Found = m_States.find(Target);
  return Found == m_States.end() ? Unknown : Found->second.Estimate;
}

double TargetSelector::failureCostMs(const TargetEstimate &Estimate) const {
  if (Estimate.reportAge(m_Context.now()) >= FailureInfoLifetime)
    return 0;
  return FailureCostMs * Estimate.report().FailedPermille /
         TargetLoad::Permille;
}

/// @brief Expected time at a target; one that fails comes last.
double TargetSelector::expectedTimeMs(const TargetEntry &Target) const {
  const TargetEstimate &Estimate = estimateOf(Target.Id);
  Instant Now = m_Context.now();
  double Cost = toMilliseconds(
      Estimate.expectedTime(Target.Slots, Now, m_Context.random()));
  return Cost + failureCostMs(Estimate) +
         (Estimate.isEjected(Now) ? LastResortCostMs : 0);
}

TargetSelector::Choice TargetSelector::select(const Session &Caller,
                                              const Operation &Op) const {
  const ReadRule &Rule = readRuleOf(Op);
  bool PrimaryOnly = Rule.Type == ReadRule::Kind::PrimaryOnly;
  if (!Op.ReplicaAllowed || Op.PrimaryRequired || PrimaryOnly)
    return selectPrimary(Op);
  auto Required = requiredPosition(Caller, Op);
  if (!Required) {
    Choice Result;
    Result.Type = Choice::Kind::NoPosition;
    return Result;
  }
  auto Primary = m_Targets.primary(Op.Route.Group);
  Choice Best = selectPrimary(Op);
  bool HasBest = Best.Type == Choice::Kind::Chosen &&
                 m_Targets.acceptsOperations(Best.Target) &&
                 Op.ExcludedTargets.count(Best.Target) == 0;
  double BestCost =
      HasBest ? estimateCost(Rule, *m_Targets.find(Best.Target), true) : 0;
  for (const TargetId &Id : m_Targets.groupMembers(Op.Route.Group)) {
    bool Usable = Primary != Id && m_Targets.acceptsOperations(Id) &&
                  Op.ExcludedTargets.count(Id) == 0 && mayRunAt(Id, Op);
    if (!Usable)
      continue;
    auto State = m_States.find(Id);
    bool InBackoff = State != m_States.end() &&
                     (State->second.BehindUntil > m_Context.now() ||
                      State->second.UnreachableUntil > m_Context.now());
    if (InBackoff)
      continue;
    double Cost = estimateCost(Rule, *m_Targets.find(Id), false);
    auto Owner = selectOwner(Id, Op);
    if (!Owner || (HasBest && Cost >= BestCost))
      continue;
    HasBest = true;
    BestCost = Cost;
    Best.Type = Choice::Kind::Chosen;
    Best.Target = Id;
    Best.Owner = *Owner;
    Best.AccessMode =
        isTransaction(Op.Mode) ? Access::ReplicaTransaction : Access::Replica;
    Best.After = Required;
  }
  return Best;
}

} // namespace bergamotstage::balancing
