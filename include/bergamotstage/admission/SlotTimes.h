#ifndef BERGAMOTSTAGE_ADMISSION_SLOTTIMES_H
#define BERGAMOTSTAGE_ADMISSION_SLOTTIMES_H

#include "bergamotstage/core/Ids.h"
#include "bergamotstage/core/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

namespace bergamotstage::admission {

/// @brief Part of an operation, by the work that it causes at a target.
enum class WorkClass : std::uint8_t { Read, Write, Commit };

/// @brief Statements that take about the same time at a target.
struct WorkKind {
  RouteId Route;
  WorkClass Class = WorkClass::Read;

  friend bool operator<(const WorkKind &Left, const WorkKind &Right) {
    return std::tie(Left.Route, Left.Class) <
           std::tie(Right.Route, Right.Class);
  }
};

const char *workClassName(WorkClass Class);

/// @brief Time for which a statement of each kind holds a slot of one target.
class SlotTimes {
public:
  /// @brief Mean slot time.
  struct Estimate {
    double Seconds = 0;
    std::uint64_t Samples = 0;
  };

  /// @brief Adds a measured slot time.
  void record(const WorkKind &Kind, Duration Held);

  /// @brief Expected slot time in seconds: of the kind, else of all statements,
  /// else 20 ms.
  double expected(const WorkKind &Kind) const;

  const std::map<WorkKind, Estimate> &estimates() const { return m_Kinds; }

private:
  std::map<WorkKind, Estimate> m_Kinds;
  Estimate m_All;
};

} // namespace bergamotstage::admission

#endif // BERGAMOTSTAGE_ADMISSION_SLOTTIMES_H
