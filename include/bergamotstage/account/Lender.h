#ifndef BERGAMOTSTAGE_ACCOUNT_LENDER_H
#define BERGAMOTSTAGE_ACCOUNT_LENDER_H

#include "bergamotstage/account/AllocationMessage.h"
#include "bergamotstage/account/TokenBucket.h"
#include "bergamotstage/core/Ids.h"

#include <cstdint>
#include <map>

namespace bergamotstage {

/// @brief Loans that one VM has given for one client account.
///
/// Tokens are debited before the grant is sent. A repeated request gets the
/// same grant again, and a loan is settled once.
class Lender {
public:
  explicit Lender(TokenBucket &Bucket) : m_Bucket(Bucket) {}

  /// @brief Grants a loan request, in full or in part.
  /// @param Limit most tokens that may be lent now
  LoanGrant grant(const VmId &From, Incarnation Start,
                  const LoanRequest &Request, TokenCount Limit, Instant Now);
  void settle(const VmId &From, Incarnation Start,
              const LoanSettlement &Settlement, Instant Now);

private:
  /// @brief Loans of one process of a VM.
  struct BorrowerLoans {
    Incarnation Start;
    std::uint64_t OpenFrom = 0;
    std::map<std::uint64_t, TokenCount> Open;
  };

  BorrowerLoans *findBorrower(const VmId &From, Incarnation Start, Instant Now);
  void closeBelow(BorrowerLoans &Loans, std::uint64_t OpenFrom, Instant Now);

  TokenBucket &m_Bucket;
  std::map<VmId, BorrowerLoans> m_Borrowers;
};

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_ACCOUNT_LENDER_H
