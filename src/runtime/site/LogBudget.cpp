#include "runtime/site/LogBudget.h"

namespace bergamotstage::runtime {
namespace {

constexpr Duration Window = seconds(1);

} // namespace

bool LogBudget::admit(const std::string &EventName, Instant Now,
                      std::vector<WriteLog> &Summaries) {
  if (Now - m_WindowStart >= Window) {
    for (const auto &[Name, Counter] : m_Counts)
      if (Counter.Suppressed > 0)
        Summaries.push_back(
            {WriteLog::Level::Warning,
             "log_lines_left_out",
             {{"of", Name}, {"count", std::to_string(Counter.Suppressed)}}});
    m_Counts.clear();
    m_WindowStart = Now;
  }
  LineCount &EventCount = m_Counts[EventName];
  if (EventCount.Written < MaxLinesPerEvent) {
    ++EventCount.Written;
    return true;
  }
  ++EventCount.Suppressed;
  return false;
}

} // namespace bergamotstage::runtime
