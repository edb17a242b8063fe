#include "bergamotstage/session/ReadPolicy.h"

namespace bergamotstage {
namespace {

ReadChoice choosePrimary(const ReadRequest &Request, const GroupState &Group,
                         Instant) {
  if (Group.CurrentTerm < Request.MustCover.AtTerm)
    return {TargetId(), "the session has seen a later term"};
  if (Group.Primary.value().empty())
    return {TargetId(), "no primary is known"};
  return {Group.Primary, "primary"};
}

bool mayServe(const TargetState &Target, const ReadRequest &Request,
              const GroupState &Group) {
  bool Known = Target.Replayed.AtTerm == Group.CurrentTerm;
  return Known && !Target.Leaving && !Request.TokenMissing &&
         covers(Target.Replayed, Request.MustCover);
}

ReadChoice chooseNearestCovered(const ReadRequest &Request,
                                const GroupState &Group, Instant Now) {
  const TargetState *Best = nullptr;
  for (const TargetState &Target : Group.Targets) {
    if (Target.Id == Group.Primary || !mayServe(Target, Request, Group))
      continue;
    bool Nearer = Target.DataCentre == Request.From;
    if (Best == nullptr || (Nearer && Best->DataCentre != Request.From))
      Best = &Target;
  }
  if (Best == nullptr)
    return choosePrimary(Request, Group, Now);
  return {Best->Id, "replica covers the token"};
}

} // namespace

bool covers(const HistoryPoint &Replayed, const HistoryPoint &Token) {
  return !(Replayed < Token);
}

ReadPolicy readPolicy(const std::string &Name) {
  if (Name == "primary-only")
    return choosePrimary;
  if (Name == "nearest-covered")
    return chooseNearestCovered;
  return {};
}

} // namespace bergamotstage
