#ifndef BERGAMOTSTAGE_RUNTIME_SITE_LOGBUDGET_H
#define BERGAMOTSTAGE_RUNTIME_SITE_LOGBUDGET_H

#include "bergamotstage/core/Time.h"
#include "bergamotstage/node/Action.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bergamotstage::runtime {

/// @brief Limits the log lines per event name and second.
///
/// Suppressed lines are counted and reported in one line after the second ends.
class LogBudget {
public:
  /// Enough to trace single requests at a negligible cost.
  static constexpr unsigned MaxLinesPerEvent = 25;

  /// @brief Returns whether a line may be written now.
  /// @param Summaries receives lines that report suppressed lines
  bool admit(const std::string &EventName, Instant Now,
             std::vector<WriteLog> &Summaries);

private:
  struct LineCount {
    unsigned Written = 0;
    std::uint64_t Suppressed = 0;
  };
  Instant m_WindowStart{};
  std::map<std::string, LineCount> m_Counts;
};

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_SITE_LOGBUDGET_H
