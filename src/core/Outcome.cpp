#include "bergamotstage/core/Outcome.h"

namespace bergamotstage {

const char *runStateName(RunState State) {
  switch (State) {
  case RunState::Completed:
    return "completed";
  case RunState::Failed:
    return "failed";
  case RunState::NotRun:
    return "not run";
  case RunState::Unknown:
    return "outcome unknown";
  }
  return "invalid";
}

} // namespace bergamotstage
