#ifndef BERGAMOTSTAGE_RATELIMIT_DETAIL_TOKENS_H
#define BERGAMOTSTAGE_RATELIMIT_DETAIL_TOKENS_H

#include "bergamotstage/account/TokenCount.h"

#include <algorithm>
#include <cstdint>

namespace bergamotstage::ratelimit::detail {

/// Loans are counted in thousandths of a token.
constexpr double MilliPerToken = 1000;
constexpr std::int64_t PicoPerMilli = TokenCount::PicoPerToken / 1000;

/// @brief Converts an amount of tokens; a negative one counts as zero.
inline TokenCount tokens(double Amount) {
  return {static_cast<std::int64_t>(
      std::max(0.0, Amount) * static_cast<double>(TokenCount::PicoPerToken))};
}

inline std::uint64_t toMilli(TokenCount Amount) {
  return static_cast<std::uint64_t>(Amount.Pico / PicoPerMilli);
}

inline TokenCount fromMilli(std::uint64_t Amount) {
  return {static_cast<std::int64_t>(Amount) * PicoPerMilli};
}

} // namespace bergamotstage::ratelimit::detail

#endif // BERGAMOTSTAGE_RATELIMIT_DETAIL_TOKENS_H
