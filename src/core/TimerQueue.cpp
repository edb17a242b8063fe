#include "bergamotstage/core/TimerQueue.h"

#include <utility>

namespace bergamotstage {

TimerId TimerQueue::schedule(Instant Time, Callback Action) {
  ++m_LastNumber;
  m_Pending.emplace(TimerKey{Time, m_LastNumber}, std::move(Action));
  m_Times.emplace(m_LastNumber, Time);
  return TimerId(m_LastNumber);
}

void TimerQueue::cancel(TimerId Timer) {
  auto Found = m_Times.find(Timer.value());
  if (Found == m_Times.end())
    return;
  m_Pending.erase(TimerKey{Found->second, Timer.value()});
  m_Times.erase(Found);
}

void TimerQueue::runDue(Instant Now) {
  while (!m_Pending.empty() && m_Pending.begin()->first.Time <= Now) {
    auto First = m_Pending.begin();
    Callback Action = std::move(First->second);
    m_Times.erase(First->first.Number);
    m_Pending.erase(First);
    Action();
  }
}

std::optional<Instant> TimerQueue::next() const {
  if (m_Pending.empty())
    return std::nullopt;
  return m_Pending.begin()->first.Time;
}

} // namespace bergamotstage
