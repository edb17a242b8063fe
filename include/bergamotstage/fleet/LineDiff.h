#ifndef BERGAMOTSTAGE_FLEET_LINEDIFF_H
#define BERGAMOTSTAGE_FLEET_LINEDIFF_H

#include <string>
#include <string_view>

namespace bergamotstage {

/// @brief Line-by-line difference of two texts.
/// @return one line for each removed ("-") or added ("+") line, with its number
/// in its own text; empty for equal texts
/// Complexity: product of the numbers of lines between the first and the last
/// difference. Above a bound, all of these lines are reported as removed and
/// added instead of being matched.
std::string lineDiff(std::string_view From, std::string_view To);

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_FLEET_LINEDIFF_H
