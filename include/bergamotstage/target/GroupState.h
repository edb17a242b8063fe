#ifndef BERGAMOTSTAGE_TARGET_GROUPSTATE_H
#define BERGAMOTSTAGE_TARGET_GROUPSTATE_H

#include "bergamotstage/core/HistoryPoint.h"
#include "bergamotstage/core/Ids.h"
#include "bergamotstage/core/Time.h"

#include <string>
#include <vector>

namespace bergamotstage {

/// @brief State of one target as known to this VM.
struct TargetState {
  TargetId Id;
  DataCentreId DataCentre;
  std::string Address;
  HistoryPoint Replayed; ///< Highest position the target reported.
  Instant ReportedAt{};  ///< Time of the latest report.
  unsigned Slots = 1;
  unsigned Running = 0;
  unsigned Queued = 0;
  bool Leaving = false;
  bool Suspected = false; ///< Its latest statement or connection failed.
};

/// @brief State of one database group as known to this VM.
struct GroupState {
  DatabaseId Database;
  Term CurrentTerm;
  TargetId Primary; ///< Empty if unknown.
  std::vector<TargetState> Targets;

  /// @brief Finds a target by its name; null if unknown. Complexity: linear.
  TargetState *find(const TargetId &Id);
  const TargetState *find(const TargetId &Id) const;
};

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_TARGET_GROUPSTATE_H
