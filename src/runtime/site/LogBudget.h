#ifndef BERGAMOTSTAGE_RUNTIME_SITE_LOGBUDGET_H
#define BERGAMOTSTAGE_RUNTIME_SITE_LOGBUDGET_H

#include "bergamotstage/core/Time.h"
#include "bergamotstage/node/Action.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bergamotstage::runtime {

/// @brief Bounds the lines of the log: so many of one event a second.
///
/// What is left out is counted, and told in one line once the second is over.
class LogBudget {
public:
  /// Enough to follow single requests, few enough to cost next to nothing.
  static constexpr unsigned LinesPerEvent = 25;

  /// @brief Whether a line may be written now.
  /// @param Told gets lines on what was left out
  bool admit(const std::string &EventName, Instant Now,
             std::vector<WriteLog> &Told);

private:
  struct Count {
    unsigned Written = 0;
    std::uint64_t LeftOut = 0;
  };
  Instant m_Since{};
  std::map<std::string, Count> m_Counts;
};

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_SITE_LOGBUDGET_H
