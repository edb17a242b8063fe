#include "bergamotstage/request/Refusals.h"

#include <utility>

namespace bergamotstage {

Refusal refusal(const char *SqlState, RunState State, std::string Message) {
  Refusal Reason;
  Reason.SqlState = SqlState;
  Reason.State = State;
  Reason.Message = std::move(Message);
  return Reason;
}

Refusal notRunNow(const char *SqlState, std::string Message, Duration After) {
  Refusal Reason = refusal(SqlState, RunState::NotRun, std::move(Message));
  Reason.RetryAfter = After;
  return Reason;
}

Refusal closing(const char *SqlState, std::string Message) {
  Refusal Reason = refusal(SqlState, RunState::NotRun, std::move(Message));
  Reason.CloseConnection = true;
  return Reason;
}

} // namespace bergamotstage
