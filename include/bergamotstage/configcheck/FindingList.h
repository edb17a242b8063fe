#ifndef BERGAMOTSTAGE_CONFIGCHECK_FINDINGLIST_H
#define BERGAMOTSTAGE_CONFIGCHECK_FINDINGLIST_H

#include "bergamotstage/configcheck/Finding.h"

#include <cstddef>
#include <string>
#include <vector>

namespace bergamotstage::configcheck {

/// @brief Findings of one configuration in the order in which they were found.
///
/// All are counted, but only the first MaxStored of each severity are kept. A
/// file of 1 MiB can have several hundred thousand faults.
class FindingList {
public:
  static constexpr std::size_t MaxStored = 500;

  void add(Finding Found);
  /// @brief Whether a further finding would only be counted.
  bool isFull(Severity Level) const;
  /// @brief Counts a finding that is not kept.
  void countOnly(Severity Level);
  void addError(std::string Path, std::string Reason);
  void addWarning(std::string Path, std::string Reason);

  const std::vector<Finding> &errors() const { return m_Errors; }
  const std::vector<Finding> &warnings() const { return m_Warnings; }
  /// @brief Number of errors, including those that were not kept.
  std::size_t errorCount() const { return m_ErrorCount; }
  /// @brief Number of warnings, including those that were not kept.
  std::size_t warningCount() const { return m_WarningCount; }

private:
  std::vector<Finding> m_Errors;
  std::vector<Finding> m_Warnings;
  std::size_t m_ErrorCount = 0;
  std::size_t m_WarningCount = 0;
};

} // namespace bergamotstage::configcheck

#endif // BERGAMOTSTAGE_CONFIGCHECK_FINDINGLIST_H
