#ifndef BERGAMOTSTAGE_REQUEST_REFUSALS_H
#define BERGAMOTSTAGE_REQUEST_REFUSALS_H

#include "bergamotstage/core/Outcome.h"

#include <string>

namespace bergamotstage {

/// @brief Creates a refusal of a statement; the connection stays open.
Refusal makeRefusal(const char *SqlState, RunState State, std::string Message);

/// @brief Creates a refusal of a statement that did not run and may be retried
/// after a delay.
Refusal makeRetryableRefusal(const char *SqlState, std::string Message,
                             Duration After);

/// @brief Creates a refusal that closes the connection; the statement did not
/// run.
Refusal makeClosingRefusal(const char *SqlState, std::string Message);

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_REQUEST_REFUSALS_H
