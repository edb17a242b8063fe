#include "bergamotstage/pooling/ErrorCode.h"
#include "bergamotstage/pooling/OperationRequest.h"
#include "bergamotstage/pooling/Statement.h"

namespace bergamotstage::pooling {

const char *verbName(Verb Kind) {
  switch (Kind) {
  case Verb::Begin:
    return "begin";
  case Verb::BeginReadOnly:
    return "begin-read-only";
  case Verb::Commit:
    return "commit";
  case Verb::Rollback:
    return "rollback";
  case Verb::Read:
    return "read";
  case Verb::Write:
    return "write";
  case Verb::SetValue:
    return "set";
  case Verb::Prepare:
    return "prepare";
  case Verb::Execute:
    return "execute";
  case Verb::Deallocate:
    return "deallocate";
  case Verb::Unknown:
    break;
  }
  return "unknown";
}

const char *errorName(ErrorCode Code) {
  switch (Code) {
  case ErrorCode::Busy:
    return "busy";
  case ErrorCode::Aborted:
    return "aborted";
  case ErrorCode::Behind:
    return "behind";
  case ErrorCode::ReadOnly:
    return "read-only";
  case ErrorCode::WrongTarget:
    return "wrong-target";
  case ErrorCode::TooManyLinks:
    return "too-many-links";
  case ErrorCode::NoSuchName:
    return "no-such-name";
  case ErrorCode::Failed:
    return "failed";
  case ErrorCode::Timeout:
    return "timeout";
  case ErrorCode::OutcomeUnknown:
    return "outcome-unknown";
  case ErrorCode::NoKey:
    return "no-key";
  case ErrorCode::NoDatabase:
    return "no-database";
  case ErrorCode::Malformed:
    return "malformed";
  case ErrorCode::Other:
    break;
  }
  return "other";
}

const char *notRunReasonName(NotRunReason Reason) {
  switch (Reason) {
  case NotRunReason::Overloaded:
    return "overloaded";
  case NotRunReason::TooLate:
    return "too-late";
  case NotRunReason::AccountLimit:
    return "account-limit";
  case NotRunReason::Unreachable:
    return "unreachable";
  case NotRunReason::Leaving:
    return "leaving";
  case NotRunReason::UnknownTarget:
    return "unknown-target";
  case NotRunReason::Withdrawn:
    return "withdrawn";
  }
  return "";
}

} // namespace bergamotstage::pooling
