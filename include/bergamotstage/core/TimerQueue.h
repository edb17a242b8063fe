#ifndef BERGAMOTSTAGE_CORE_TIMERQUEUE_H
#define BERGAMOTSTAGE_CORE_TIMERQUEUE_H

#include "bergamotstage/core/Strong.h"
#include "bergamotstage/core/Time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>

namespace bergamotstage {

/// @brief Number of a pending timer, never reused.
using TimerId = Strong<struct TimerIdTag, std::uint64_t>;

/// @brief Runs callbacks at given times, on a clock that is passed in.
///
/// Callbacks may schedule and cancel timers. Timers for the same time run in
/// the order in which they were scheduled.
class TimerQueue {
public:
  using Callback = std::function<void()>;

  /// @brief Adds a callback. Complexity: logarithmic in the pending timers.
  TimerId schedule(Instant Time, Callback Action);

  /// @brief Cancels a timer; one that has run or was cancelled is ignored.
  void cancel(TimerId Timer);

  /// @brief Runs all callbacks whose time is not after @p Now.
  void runDue(Instant Now);

  /// @brief Time of the next callback, if there is one.
  std::optional<Instant> next() const;

private:
  struct TimerKey {
    Instant Time;
    std::uint64_t Number;
    friend bool operator<(const TimerKey &Left, const TimerKey &Right) {
      return Left.Time != Right.Time ? Left.Time < Right.Time
                                     : Left.Number < Right.Number;
    }
  };

  std::map<TimerKey, Callback> m_Pending;
  std::unordered_map<std::uint64_t, Instant> m_Times;
  std::uint64_t m_LastNumber = 0;
};

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_CORE_TIMERQUEUE_H
