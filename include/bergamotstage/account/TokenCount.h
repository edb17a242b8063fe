#ifndef BERGAMOTSTAGE_ACCOUNT_TOKENCOUNT_H
#define BERGAMOTSTAGE_ACCOUNT_TOKENCOUNT_H

#include <cstdint>

namespace bergamotstage {

/// @brief An exact amount of tokens; one statement costs one token.
///
/// Counted in units of 1e-12 tokens. A rate in 1e-6 tokens per second earns
/// whole units in each microsecond, so that refilling never rounds.
struct TokenCount {
  static constexpr std::int64_t PicoPerToken = 1'000'000'000'000;

  std::int64_t Pico = 0;

  friend TokenCount operator+(TokenCount Left, TokenCount Right) {
    return {Left.Pico + Right.Pico};
  }
  friend TokenCount operator-(TokenCount Left, TokenCount Right) {
    return {Left.Pico - Right.Pico};
  }
  friend bool operator<(TokenCount Left, TokenCount Right) {
    return Left.Pico < Right.Pico;
  }
  friend bool operator==(TokenCount Left, TokenCount Right) {
    return Left.Pico == Right.Pico;
  }
};

constexpr TokenCount OneToken{TokenCount::PicoPerToken};

/// @brief Tokens earned per second, in units of 1e-6 tokens.
struct TokenRate {
  std::int64_t MicroPerSecond = 0;
};

/// @brief Rate and burst of one client account or of a share of it.
struct TokenContract {
  TokenRate Rate;
  TokenCount Burst;
};

/// @brief Converts a rate and a burst of the rules, rounding down.
///
/// Values above four million count as four million.
/// @param Rate tokens per second
/// @param Burst tokens
TokenContract makeContract(double Rate, double Burst);

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_ACCOUNT_TOKENCOUNT_H
