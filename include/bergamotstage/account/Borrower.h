#ifndef BERGAMOTSTAGE_ACCOUNT_BORROWER_H
#define BERGAMOTSTAGE_ACCOUNT_BORROWER_H

#include "bergamotstage/account/AllocationMessage.h"
#include "bergamotstage/account/TokenCount.h"
#include "bergamotstage/core/Ids.h"
#include "bergamotstage/core/Time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace bergamotstage {

/// @brief Loans that one VM has taken for one client account.
///
/// A grant is credited once and only while its request is open, so that neither
/// a duplicate nor a late message creates tokens.
class Borrower {
public:
  using SendHook = std::function<void(const VmId &, const AllocationBody &)>;

  /// @brief Time after which unspent tokens are returned.
  static constexpr Duration LoanLifetime = milliseconds(250);
  /// @brief Time within which a grant is expected.
  static constexpr Duration GrantTimeout = milliseconds(20);

  explicit Borrower(SendHook Send) : m_Send(std::move(Send)) {}

  /// @brief Requests a loan from one VM.
  void requestLoan(const VmId &Lender, TokenCount Wanted, Instant Now);
  /// @brief Whether a grant is still expected.
  bool isRequestPending(Instant Now) const;
  /// @return whether the grant was credited and brought tokens
  bool onGrant(const VmId &From, const LoanGrant &Grant, Instant Now);

  /// @brief Unspent tokens of all loans.
  TokenCount available() const;
  /// @brief Spends available tokens, from the oldest loan first.
  void spend(TokenCount Amount);

  /// @brief Closes expired loans and notifies the lenders of closed ones.
  void settle(Instant Now);
  /// @brief Whether a loan is open or a lender has yet to be notified.
  bool hasUnsettledLoans() const {
    return !m_Open.empty() || !m_CloseNotices.empty();
  }

private:
  struct Loan {
    VmId Lender;
    Instant RequestedAt;
    bool Granted = false;
    TokenCount Remaining;
  };

  std::uint64_t openFrom(const VmId &Lender) const;
  void close(std::uint64_t Id, TokenCount Returned);

  SendHook m_Send;
  std::uint64_t m_LastLoan = 0;
  std::map<std::uint64_t, Loan> m_Open;
  /// Lenders to notify of closed loans, with the remaining repetitions.
  std::map<VmId, unsigned> m_CloseNotices;
};

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_ACCOUNT_BORROWER_H
