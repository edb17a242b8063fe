#ifndef BERGAMOTSTAGE_SESSION_POSITIONHISTORY_H
#define BERGAMOTSTAGE_SESSION_POSITIONHISTORY_H

#include "bergamotstage/core/HistoryPoint.h"
#include "bergamotstage/core/Ids.h"
#include "bergamotstage/core/Time.h"

#include <deque>
#include <map>
#include <optional>

namespace bergamotstage {

/// @brief Samples of the log position of each database's primary over time.
///
/// All commits up to the time of a sample are at or before its point. The age
/// of data that cover the point is therefore at most the time since the sample.
/// The time of a sample is when the request was sent whose answer reported the
/// point; the primary must have been verified at or after that time.
class PositionHistory {
public:
  /// @brief Adds a sample. A sample too soon after the last one is ignored and
  /// old samples are thinned out, which bounds the memory.
  /// Complexity: amortized constant.
  void add(const DatabaseId &Database, Instant SentAt,
           const HistoryPoint &Point);

  /// @brief Upper bound of the age of data that are replayed up to a point.
  /// @return the bound, or nothing if the data cover no sample
  /// Complexity: linear in the samples of the database, at most MaxSamples.
  std::optional<Duration> ageBound(const DatabaseId &Database,
                                   const HistoryPoint &Replayed,
                                   Instant Now) const;

  /// @brief Time of the newest sample taken in a term.
  std::optional<Instant> newestSampleTime(const DatabaseId &Database,
                                          Term InTerm) const;

  static constexpr std::size_t MaxSamples = 64; ///< Limit per database.

private:
  struct Sample {
    Instant SentAt;
    HistoryPoint Point;
  };

  std::map<DatabaseId, std::deque<Sample>> m_Samples; ///< Oldest first.
};

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_SESSION_POSITIONHISTORY_H
