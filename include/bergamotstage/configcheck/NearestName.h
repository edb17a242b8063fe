#ifndef BERGAMOTSTAGE_CONFIGCHECK_NEARESTNAME_H
#define BERGAMOTSTAGE_CONFIGCHECK_NEARESTNAME_H

#include <string>
#include <string_view>
#include <vector>

namespace bergamotstage::configcheck {

/// @brief Finds the known name that a misspelled name most resembles.
/// @return the known name if at most two characters differ (one for names of
///   up to five), or an empty string
std::string nearestName(std::string_view Name,
                        const std::vector<std::string> &Known);

} // namespace bergamotstage::configcheck

#endif // BERGAMOTSTAGE_CONFIGCHECK_NEARESTNAME_H
