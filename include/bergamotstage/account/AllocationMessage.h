#ifndef BERGAMOTSTAGE_ACCOUNT_ALLOCATIONMESSAGE_H
#define BERGAMOTSTAGE_ACCOUNT_ALLOCATIONMESSAGE_H

#include "bergamotstage/account/TokenCount.h"
#include "bergamotstage/core/Ids.h"
#include "bergamotstage/core/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace bergamotstage {

/// @brief Requests a loan of tokens and reports which loans are closed.
struct LoanRequest {
  std::uint64_t Loan = 0;     ///< Increases with each request of a process.
  std::uint64_t OpenFrom = 0; ///< All loans below it are closed.
  TokenCount Wanted;
};

/// @brief Grants tokens that the lender has already debited.
struct LoanGrant {
  std::uint64_t Loan = 0;
  TokenCount Amount;    ///< Zero if there was nothing to lend.
  TokenCount Remaining; ///< Tokens that the lender still has.
  Duration NextToken{}; ///< Time until the lender has one more token.
};

/// @brief Closes loans and returns the unspent tokens of one of them.
struct LoanSettlement {
  std::uint64_t OpenFrom = 0;
  std::uint64_t Loan = 0; ///< Loan of the returned tokens; 0: none.
  TokenCount Returned;
};

/// @brief Asks the successor to grant or renew the lease of a share.
struct ShareLeaseRequest {
  std::uint64_t RequestId = 0;
};

/// @brief Grants a lease, which starts when its request was sent.
struct ShareLeaseGrant {
  std::uint64_t RequestId = 0;
};

/// @brief Asks the holder of a share for half of it.
struct ShareRequest {};

/// @brief All messages between VMs about one client account.
using AllocationBody =
    std::variant<LoanRequest, LoanGrant, LoanSettlement, ShareLeaseRequest,
                 ShareLeaseGrant, ShareRequest>;

/// @brief One message about the tokens of one client account.
struct AllocationMessage {
  AccountId Account;
  AllocationBody Body;
};

/// @brief Encodes a message as MessagePack.
std::string encodeAllocationMessage(const AllocationMessage &Message);
/// @return the message, or nothing if the bytes are malformed
std::optional<AllocationMessage>
decodeAllocationMessage(std::string_view Bytes);

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_ACCOUNT_ALLOCATIONMESSAGE_H
