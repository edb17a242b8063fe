#ifndef BERGAMOTSTAGE_FLEET_LINEDIFF_H
#define BERGAMOTSTAGE_FLEET_LINEDIFF_H

#include <string>
#include <string_view>

namespace bergamotstage {

/// @brief Lines that lead from one text to another.
/// @return one line for each that was removed ("-") or added ("+"), each with
/// its number in its own text; empty for equal texts
/// Complexity: product of the numbers of lines between the first and the last
/// difference; where that exceeds a bound, these lines are given as removed and
/// added without matching any.
std::string lineDiff(std::string_view From, std::string_view To);

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_FLEET_LINEDIFF_H
