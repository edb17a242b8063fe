#ifndef BERGAMOTSTAGE_CONFIGCHECK_REPORT_H
#define BERGAMOTSTAGE_CONFIGCHECK_REPORT_H

#include "bergamotstage/configcheck/Change.h"
#include "bergamotstage/configcheck/Draft.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bergamotstage::configcheck {

/// @brief Result of the check of one configuration.
struct Report {
  bool Readable = false; ///< Whether the file has the form of a configuration.
  std::uint64_t Version = 0;
  std::size_t Routes = 0;
  std::size_t Services = 0;
  std::size_t Accounts = 0;
  std::size_t Keys = 0;
  FindingList Findings;
  /// Version in force, if it was given and could be read.
  std::optional<std::uint64_t> InForce;
  std::vector<Change> Changes; ///< From the version in force.
};

/// @brief Checks a configuration.
/// @param InForce configuration to compare with; may be null
Report check(const Draft &Config, const Draft *InForce);

/// @brief Exit code of the command.
/// @param Strict whether warnings count
/// @return 0, 1 for warnings if Strict, 2 for errors
int exitCode(const Report &Of, bool Strict);

/// @brief Renders a report for people, one finding or change on each line.
/// @param File name of the checked file
std::string renderText(const Report &Of, const std::string &File);

/// @brief Renders a report as one JSON object.
std::string renderJson(const Report &Of, const std::string &File, bool Strict);

} // namespace bergamotstage::configcheck

#endif // BERGAMOTSTAGE_CONFIGCHECK_REPORT_H
