#include "bergamotstage/session/ReadPolicy.h"

#include "bergamotstage/core/Parse.h"

#include <algorithm>
#include <vector>

namespace bergamotstage {
namespace {

/// @brief Estimated read times of targets without recent measurements.
constexpr Duration DefaultTimeInCentre = milliseconds(2);
constexpr Duration DefaultTimeAcrossCentres = milliseconds(5);
constexpr Duration DefaultPrimaryCost = milliseconds(5);

ReadChoice choosePrimary(const ReadRequest &Request, const GroupState &Group,
                         Instant) {
  if (Group.CurrentTerm < Request.RequiredPoint.AtTerm)
    return {TargetId(), "the session has seen a later term than this VM"};
  if (Group.Primary.value().empty())
    return {TargetId(), "no primary is known"};
  if (Request.ExcludedTargets.count(Group.Primary) > 0)
    return {TargetId(), "no target is available"};
  return {Group.Primary, "primary"};
}

/// @brief The replicas that can serve a read, or why there are none.
struct Candidates {
  std::vector<const TargetState *> Replicas;
  ReadShortfall Shortfall = ReadShortfall::Behind;
};

bool isFreshEnough(const TargetState &Target, const ReadRequest &Request,
                   const GroupState &Group, Instant Now) {
  if (!Request.MaxAge)
    return true;
  std::optional<Duration> Age = ageBound(Target, Request, Group, Now);
  return Age && *Age <= *Request.MaxAge;
}

Candidates findCandidates(const ReadRequest &Request, const GroupState &Group,
                          Instant Now) {
  Candidates Found;
  for (const TargetState &Target : Group.Targets) {
    bool Usable = Target.Id != Group.Primary && !Target.Leaving &&
                  Request.ExcludedTargets.count(Target.Id) == 0;
    bool InCurrentTerm = Target.Replayed.AtTerm >= Group.CurrentTerm;
    if (!Usable || !InCurrentTerm ||
        !covers(Target.Replayed, Request.RequiredPoint))
      continue;
    if (isFreshEnough(Target, Request, Group, Now))
      Found.Replicas.push_back(&Target);
    else
      Found.Shortfall = ReadShortfall::AgeUnknown;
  }
  return Found;
}

ReadChoice fallBackToPrimary(const Candidates &Found,
                             const ReadRequest &Request,
                             const GroupState &Group, Instant Now) {
  ReadChoice Choice = choosePrimary(Request, Group, Now);
  Choice.Shortfall = Found.Shortfall;
  return Choice;
}

ReadChoice chooseNearestCovered(const ReadRequest &Request,
                                const GroupState &Group, Instant Now) {
  Candidates Found = findCandidates(Request, Group, Now);
  const TargetState *Best = nullptr;
  for (const TargetState *Target : Found.Replicas) {
    bool InProxyCentre = Target->DataCentre == Request.ProxyCentre;
    if (Best == nullptr ||
        (InProxyCentre && Best->DataCentre != Request.ProxyCentre))
      Best = Target;
  }
  if (Best == nullptr)
    return fallBackToPrimary(Found, Request, Group, Now);
  return {Best->Id, "replica covers the token"};
}

Duration expectedFinish(const TargetState &Target, const ReadRequest &Request,
                        Instant Now) {
  bool InProxyCentre = Target.DataCentre == Request.ProxyCentre;
  Duration DefaultTime =
      InProxyCentre ? DefaultTimeInCentre : DefaultTimeAcrossCentres;
  if (Request.Times == nullptr)
    return DefaultTime;
  return Request.Times->expectedTime(Target.Id, Target.Slots, DefaultTime, Now);
}

ReadChoice chooseEarliestFinish(const ReadRequest &Request,
                                const GroupState &Group, Instant Now,
                                Duration PrimaryCost) {
  Candidates Found = findCandidates(Request, Group, Now);
  ReadChoice Primary = fallBackToPrimary(Found, Request, Group, Now);
  auto FinishesSooner = [&](const TargetState *Left, const TargetState *Right) {
    return expectedFinish(*Left, Request, Now) <
           expectedFinish(*Right, Request, Now);
  };
  auto Best = std::min_element(Found.Replicas.begin(), Found.Replicas.end(),
                               FinishesSooner);
  if (Best == Found.Replicas.end())
    return Primary;
  const TargetState *PrimaryState = Group.find(Primary.Target);
  bool PrimaryIsSooner =
      PrimaryState != nullptr &&
      expectedFinish(*PrimaryState, Request, Now) + PrimaryCost <
          expectedFinish(**Best, Request, Now);
  bool PrimaryIsFresh = PrimaryState != nullptr &&
                        isFreshEnough(*PrimaryState, Request, Group, Now);
  if (PrimaryIsSooner && PrimaryIsFresh)
    return {Primary.Target, "the primary would finish earlier"};
  return {(*Best)->Id, "replica would finish earliest"};
}

ReadChoice chooseRandomReplica(const ReadRequest &Request,
                               const GroupState &Group, Instant Now) {
  Candidates Found = findCandidates(Request, Group, Now);
  std::vector<const TargetState *> Replicas;
  for (const TargetState &Target : Group.Targets)
    if (Target.Id != Group.Primary && !Target.Leaving)
      Replicas.push_back(&Target);
  if (Replicas.empty())
    return fallBackToPrimary(Found, Request, Group, Now);
  const TargetState *Selected = Replicas[Request.RandomValue % Replicas.size()];
  bool IsCandidate = std::find(Found.Replicas.begin(), Found.Replicas.end(),
                               Selected) != Found.Replicas.end();
  if (!IsCandidate)
    return fallBackToPrimary(Found, Request, Group, Now);
  return {Selected->Id, "replica chosen at random"};
}

} // namespace

bool covers(const HistoryPoint &Replayed, const HistoryPoint &Required) {
  return !(Replayed < Required);
}

std::optional<Duration> ageBound(const TargetState &Target,
                                 const ReadRequest &Request,
                                 const GroupState &Group, Instant Now) {
  if (Request.Positions == nullptr)
    return std::nullopt;
  if (Target.Id != Group.Primary)
    return Request.Positions->ageBound(Group.Database, Target.Replayed, Now);
  auto VerifiedAt =
      Request.Positions->newestSampleTime(Group.Database, Group.CurrentTerm);
  if (!VerifiedAt)
    return std::nullopt;
  return Now - *VerifiedAt;
}

ReadPolicy
makeReadPolicy(const std::string &Name,
               const std::map<std::string, std::string> &Parameters) {
  if (Name == "primary-only")
    return choosePrimary;
  if (Name == "nearest-covered")
    return chooseNearestCovered;
  if (Name == "random-replica")
    return chooseRandomReplica;
  if (Name != "earliest-finish")
    return {};
  auto Configured = Parameters.find("primary-cost");
  Duration Cost = DefaultPrimaryCost;
  if (Configured != Parameters.end())
    Cost = parseDuration(Configured->second).value_or(DefaultPrimaryCost);
  return
      [Cost](const ReadRequest &Request, const GroupState &Group, Instant Now) {
        return chooseEarliestFinish(Request, Group, Now, Cost);
      };
}

} // namespace bergamotstage
