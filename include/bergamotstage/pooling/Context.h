#ifndef BERGAMOTSTAGE_POOLING_CONTEXT_H
#define BERGAMOTSTAGE_POOLING_CONTEXT_H

#include "bergamotstage/core/Ids.h"
#include "bergamotstage/core/Time.h"
#include "bergamotstage/core/TimerQueue.h"
#include "bergamotstage/node/Action.h"

#include <functional>
#include <initializer_list>
#include <random>
#include <string>
#include <utility>

namespace bergamotstage::pooling {

/// @brief Clock, timers, random numbers and log shared by a VM's components.
///
/// The time and the seed are set from outside, which makes all decisions
/// reproducible from the same events.
class Context {
public:
  using LogHook = std::function<void(WriteLog &&)>;

  Context(VmId Self, DataCentreId DataCentre, std::uint64_t Seed)
      : m_Self(std::move(Self)), m_DataCentre(std::move(DataCentre)),
        m_Random(Seed) {}

  const VmId &self() const { return m_Self; }
  const DataCentreId &dataCentre() const { return m_DataCentre; }

  Instant now() const { return m_Now; }
  /// @brief Advances the clock; an earlier time is ignored.
  void setNow(Instant Now) { m_Now = Now > m_Now ? Now : m_Now; }

  TimerQueue &timers() { return m_Timers; }
  std::mt19937_64 &random() { return m_Random; }

  /// @brief Schedules a callback after a delay.
  TimerId scheduleAfter(Duration Span, TimerQueue::Callback OnExpiry) {
    return m_Timers.schedule(m_Now + Span, std::move(OnExpiry));
  }

  LinkId nextLinkId() { return LinkId(++m_LastLinkId); }

  void setLogHook(LogHook Hook) { m_LogHook = std::move(Hook); }
  /// @brief Logs one event. Pairs must not contain API keys or statement
  /// values.
  void log(WriteLog::Level Severity, std::string EventName,
           std::initializer_list<std::pair<std::string, std::string>> Pairs) {
    if (m_LogHook)
      m_LogHook(WriteLog{Severity, std::move(EventName), Pairs});
  }

private:
  VmId m_Self;
  DataCentreId m_DataCentre;
  Instant m_Now{};
  TimerQueue m_Timers;
  std::mt19937_64 m_Random;
  LogHook m_LogHook;
  std::uint64_t m_LastLinkId = 0;
};

/// @brief Formats a position for the log as term.position.
inline std::string formatPosition(const HistoryPoint &Point) {
  return std::to_string(Point.AtTerm.value()) + "." +
         std::to_string(Point.Position.value());
}

} // namespace bergamotstage::pooling

#endif // BERGAMOTSTAGE_POOLING_CONTEXT_H
