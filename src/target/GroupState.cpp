#include "bergamotstage/target/GroupState.h"

namespace bergamotstage {

TargetState *GroupState::find(const TargetId &Id) {
  for (TargetState &Target : Targets)
    if (Target.Id == Id)
      return &Target;
  return nullptr;
}

const TargetState *GroupState::find(const TargetId &Id) const {
  for (const TargetState &Target : Targets)
    if (Target.Id == Id)
      return &Target;
  return nullptr;
}

} // namespace bergamotstage
