#include "bergamotstage/account/TokenCount.h"

#include <algorithm>

namespace bergamotstage {
namespace {

constexpr double MaxTokens = 4e6;
constexpr double MicroPerToken = 1e6;

} // namespace

TokenContract makeContract(double Rate, double Burst) {
  TokenContract Contract;
  Contract.Rate.MicroPerSecond =
      static_cast<std::int64_t>(std::min(Rate, MaxTokens) * MicroPerToken);
  Contract.Burst.Pico =
      static_cast<std::int64_t>(std::min(Burst, MaxTokens) *
                                static_cast<double>(TokenCount::PicoPerToken));
  return Contract;
}

} // namespace bergamotstage
