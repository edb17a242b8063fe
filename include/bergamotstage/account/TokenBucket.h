#ifndef BERGAMOTSTAGE_ACCOUNT_TOKENBUCKET_H
#define BERGAMOTSTAGE_ACCOUNT_TOKENBUCKET_H

#include "bergamotstage/account/TokenCount.h"
#include "bergamotstage/core/Time.h"

namespace bergamotstage {

/// @brief An exact token bucket that takes the time as a parameter.
///
/// The available and the lent tokens together never exceed the burst, so that a
/// loan cannot make room for tokens beyond the contract. All operations have
/// constant complexity.
class TokenBucket {
public:
  /// @brief Changes rate and burst; tokens beyond the burst are dropped.
  void configure(const TokenContract &Contract, Instant Now);

  /// @brief Fills the bucket, as for a new contract.
  void fill(Instant Now);

  /// @brief Drops all available tokens; loans stay open.
  void clear(Instant Now);

  /// @brief Tokens that can be spent now.
  TokenCount available(Instant Now);

  /// @brief Takes tokens if there are enough.
  bool tryTake(TokenCount Amount, Instant Now);

  /// @brief Moves available tokens to the lent ones.
  void lend(TokenCount Amount, Instant Now);

  /// @brief Ends a loan: some of its tokens are returned, the rest was spent.
  void settle(TokenCount Lent, TokenCount Returned, Instant Now);

  /// @brief Returns tokens that were taken and not spent.
  void refund(TokenCount Amount, Instant Now);

  /// @brief Tokens that are lent and not settled.
  TokenCount lentTokens() const { return m_Lent; }

  const TokenContract &contract() const { return m_Contract; }

  /// @brief Time until the given amount is available; at most a day.
  Duration timeUntil(TokenCount Amount, Instant Now);

private:
  void refill(Instant Now);
  TokenCount capacity() const;

  TokenContract m_Contract;
  TokenCount m_Available;
  TokenCount m_Lent;
  Instant m_RefilledAt{};
};

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_ACCOUNT_TOKENBUCKET_H
