#ifndef BERGAMOTSTAGE_TARGET_GROUPSTATE_H
#define BERGAMOTSTAGE_TARGET_GROUPSTATE_H

#include "bergamotstage/core/HistoryPoint.h"
#include "bergamotstage/core/Ids.h"
#include "bergamotstage/core/Time.h"

#include <string>
#include <vector>

namespace bergamotstage {

/// @brief What this VM knows of one target.
struct TargetState {
  TargetId Id;
  DataCentreId DataCentre;
  std::string Address;
  HistoryPoint Replayed; ///< Highest that the target itself reported.
  Instant ReportedAt{};  ///< When that report arrived.
  unsigned Slots = 1;
  unsigned Running = 0;
  unsigned Queued = 0;
  bool Leaving = false;
  bool Suspected = false; ///< It last failed to answer.
};

/// @brief What this VM knows of one database group.
struct GroupState {
  DatabaseId Database;
  Term CurrentTerm;
  TargetId Primary; ///< Empty while none is known.
  std::vector<TargetState> Targets;

  /// @brief The target of the given name, or null. Complexity: linear.
  TargetState *find(const TargetId &Id);
  const TargetState *find(const TargetId &Id) const;
};

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_TARGET_GROUPSTATE_H
