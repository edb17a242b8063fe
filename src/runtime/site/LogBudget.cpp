#include "runtime/site/LogBudget.h"

namespace bergamotstage::runtime {
namespace {

constexpr Duration Window = seconds(1);

} // namespace

bool LogBudget::admit(const std::string &EventName, Instant Now,
                      std::vector<WriteLog> &Told) {
  if (Now - m_Since >= Window) {
    for (const auto &[Name, Counted] : m_Counts)
      if (Counted.LeftOut > 0)
        Told.push_back(
            {WriteLog::Level::Warning,
             "log_lines_left_out",
             {{"of", Name}, {"count", std::to_string(Counted.LeftOut)}}});
    m_Counts.clear();
    m_Since = Now;
  }
  Count &Of = m_Counts[EventName];
  if (Of.Written < LinesPerEvent) {
    ++Of.Written;
    return true;
  }
  ++Of.LeftOut;
  return false;
}

} // namespace bergamotstage::runtime
