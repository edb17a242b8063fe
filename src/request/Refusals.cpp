#include "bergamotstage/request/Refusals.h"

#include <utility>

namespace bergamotstage {

Refusal makeRefusal(const char *SqlState, RunState State, std::string Message) {
  Refusal Reason;
  Reason.SqlState = SqlState;
  Reason.State = State;
  Reason.Message = std::move(Message);
  return Reason;
}

Refusal makeRetryableRefusal(const char *SqlState, std::string Message,
                             Duration After) {
  Refusal Reason = makeRefusal(SqlState, RunState::NotRun, std::move(Message));
  Reason.RetryAfter = After;
  return Reason;
}

Refusal makeClosingRefusal(const char *SqlState, std::string Message) {
  Refusal Reason = makeRefusal(SqlState, RunState::NotRun, std::move(Message));
  Reason.CloseConnection = true;
  return Reason;
}

} // namespace bergamotstage
