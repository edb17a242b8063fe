#ifndef BERGAMOTSTAGE_TEST_CONTEXTTIME_H
#define BERGAMOTSTAGE_TEST_CONTEXTTIME_H

#include "bergamotstage/pooling/Context.h"

namespace bergamotstage::pooling {

/// @brief Lets virtual time pass and runs the timers that become due.
inline void advanceTime(Context &Shared, Duration Span) {
  Instant End = Shared.now() + Span;
  while (true) {
    auto Next = Shared.timers().next();
    if (!Next || *Next > End)
      break;
    Shared.setNow(*Next);
    Shared.timers().runDue(*Next);
  }
  Shared.setNow(End);
}

} // namespace bergamotstage::pooling

#endif // BERGAMOTSTAGE_TEST_CONTEXTTIME_H
