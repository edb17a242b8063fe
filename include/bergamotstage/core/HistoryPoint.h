#ifndef BERGAMOTSTAGE_CORE_HISTORYPOINT_H
#define BERGAMOTSTAGE_CORE_HISTORYPOINT_H

#include "bergamotstage/core/Ids.h"

namespace bergamotstage {

/// @brief A log position together with the term in which it was written.
///
/// Points are ordered by term, then by position: positions of different terms
/// cannot be compared directly.
struct HistoryPoint {
  Term AtTerm;
  LogPosition Position;

  friend bool operator==(const HistoryPoint &Left, const HistoryPoint &Right) {
    return Left.AtTerm == Right.AtTerm && Left.Position == Right.Position;
  }
  friend bool operator!=(const HistoryPoint &Left, const HistoryPoint &Right) {
    return !(Left == Right);
  }
  friend bool operator<(const HistoryPoint &Left, const HistoryPoint &Right) {
    if (Left.AtTerm != Right.AtTerm)
      return Left.AtTerm < Right.AtTerm;
    return Left.Position < Right.Position;
  }
};

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_CORE_HISTORYPOINT_H
