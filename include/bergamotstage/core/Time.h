#ifndef BERGAMOTSTAGE_CORE_TIME_H
#define BERGAMOTSTAGE_CORE_TIME_H

#include <chrono>
#include <cstdint>
#include <string>

namespace bergamotstage {

/// @brief Clock type of the monotonic times that decision logic is given.
///
/// It has no now(): decision logic never reads a clock, which makes it
/// deterministic.
struct MonotonicClock {
  using rep = std::int64_t;
  using period = std::micro;
  using duration = std::chrono::duration<rep, period>;
  using time_point = std::chrono::time_point<MonotonicClock, duration>;
  // NOLINTNEXTLINE(readability-identifier-naming): named by std::chrono.
  static constexpr bool is_steady = true;
};

/// @brief A span of time in microseconds.
using Duration = MonotonicClock::duration;
/// @brief A reading of this VM's monotonic clock. Not comparable across VMs.
using Instant = MonotonicClock::time_point;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// @brief Fractional milliseconds of a duration, for reports.
inline double toMilliseconds(Duration Span) {
  return std::chrono::duration<double, std::milli>(Span).count();
}

/// @brief Formats a duration for logs and errors in whole milliseconds.
inline std::string formatMilliseconds(Duration Span) {
  return std::to_string(std::chrono::duration_cast<milliseconds>(Span).count());
}

/// @brief A duration times a factor, truncated to whole microseconds.
inline Duration scaled(Duration Span, double Factor) {
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(Span.count()) * Factor));
}

/// @brief Fractional seconds of a duration, for rates.
inline double toSeconds(Duration Span) {
  return std::chrono::duration<double>(Span).count();
}

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_CORE_TIME_H
