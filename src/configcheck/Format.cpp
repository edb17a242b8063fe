#include "bergamotstage/configcheck/Format.h"

#include <cstdio>

namespace bergamotstage::configcheck {

std::string formatNumber(double Value) {
  char Digits[40];
  std::snprintf(Digits, sizeof Digits, "%.12g", Value);
  return Digits;
}

std::string formatSpan(Duration Span) {
  return formatNumber(toMilliseconds(Span)) + " ms";
}

std::string formatCount(std::size_t Number, const std::string &Singular) {
  return std::to_string(Number) + " " + Singular + (Number == 1 ? "" : "s");
}

} // namespace bergamotstage::configcheck
