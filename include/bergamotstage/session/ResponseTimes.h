#ifndef BERGAMOTSTAGE_SESSION_RESPONSETIMES_H
#define BERGAMOTSTAGE_SESSION_RESPONSETIMES_H

#include "bergamotstage/core/Ids.h"
#include "bergamotstage/core/Time.h"

#include <map>

namespace bergamotstage {

/// @brief Tracks response times and in-flight reads of targets.
///
/// Covers only reads of this VM and is updated from their answers, without
/// messages of its own.
class ResponseTimes {
public:
  /// @brief Records that a read was queued for a target.
  void onStarted(const TargetId &Target);

  /// @brief Records that a started read ended without an answer.
  void onUnanswered(const TargetId &Target);

  /// @brief Records that a started read was answered.
  /// @param Elapsed time since it was sent on its link
  void onAnswered(const TargetId &Target, Duration Elapsed, Instant Now);

  /// @brief Expected time until a read that is queued now is answered: the time
  /// of the read itself plus that of the reads in flight, divided by the slots.
  /// @param Slots number of statements that this VM may run there concurrently
  /// @param DefaultTime time of one read if there is no recent measurement
  Duration expectedTime(const TargetId &Target, unsigned Slots,
                        Duration DefaultTime, Instant Now) const;

private:
  struct Times {
    unsigned InFlight = 0;
    Duration Average{}; ///< Exponential moving average.
    Instant UpdatedAt{};
    bool Measured = false;
  };

  std::map<TargetId, Times> m_Targets;
};

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_SESSION_RESPONSETIMES_H
