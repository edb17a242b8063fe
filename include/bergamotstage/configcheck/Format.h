#ifndef BERGAMOTSTAGE_CONFIGCHECK_FORMAT_H
#define BERGAMOTSTAGE_CONFIGCHECK_FORMAT_H

#include "bergamotstage/core/Time.h"

#include <cstddef>
#include <string>

namespace bergamotstage::configcheck {

/// @brief Formats a number without trailing zeros.
std::string formatNumber(double Value);

/// @brief Formats a duration, such as `800 ms`.
std::string formatSpan(Duration Span);

/// @brief Formats a number of things, such as `1 key` or `2 keys`.
std::string formatCount(std::size_t Number, const std::string &Singular);

} // namespace bergamotstage::configcheck

#endif // BERGAMOTSTAGE_CONFIGCHECK_FORMAT_H
