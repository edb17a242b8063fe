#ifndef BERGAMOTSTAGE_RATELIMIT_DETAIL_LIMITS_H
#define BERGAMOTSTAGE_RATELIMIT_DETAIL_LIMITS_H

#include "bergamotstage/core/Time.h"

#include <cstddef>

namespace bergamotstage::ratelimit::detail {

/// Operations of one account that wait at one VM.
constexpr std::size_t MaxPending = 256;
/// Minimum wait of an operation for a loan: a few round trips.
constexpr Duration LoanWait = milliseconds(40);
/// Time after the answer to a request is due at which it is considered lost.
constexpr Duration LoanRequestTimeout = milliseconds(120);
constexpr Duration MinRetryAfter = milliseconds(20);
/// Contracts are measured over this period; a longer wait gains nothing.
constexpr Duration MaxRetryAfter = seconds(5);
/// Operations per second below which tokens are not prefetched, since most
/// would expire unused.
constexpr double MinPrefetchDemand = 4;
/// Seconds of demand that a borrower requests in advance.
constexpr double BorrowedDemandSeconds = 0.3;

} // namespace bergamotstage::ratelimit::detail

#endif // BERGAMOTSTAGE_RATELIMIT_DETAIL_LIMITS_H
