#ifndef BERGAMOTSTAGE_POOLING_POOLLINK_H
#define BERGAMOTSTAGE_POOLING_POOLLINK_H

#include "bergamotstage/pooling/LinkMessage.h"
#include "bergamotstage/pooling/OperationRequest.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace bergamotstage::pooling {

/// @brief A connection to a target and the state of its session.
struct PoolLink {
  /// @brief A request in flight; replies arrive in the order of requests.
  struct InFlight {
    LinkRequest::Kind Type = LinkRequest::Kind::CallerStatement;
    Instant SentAt{};
    std::optional<OperationId> IssuedBy; ///< Operation that held the link.
    std::optional<std::uint64_t> ControlRequestId;
  };

  LinkId Id;
  AccountId Account;
  bool Open = false;
  bool HoldsSlot = false;
  std::optional<OperationId>
      ActiveOperation; ///< Operation that holds the link.
  std::optional<std::uint64_t> ControlRequestId;
  std::deque<InFlight> Unanswered;
  SharedValues Values; ///< Values set on the session; null if none.
  std::map<PreparedQuery, std::string> Prepared; ///< Names on the link.
  std::uint64_t LastPreparedNumber = 0;
  Instant OpenedAt{};
  Instant LastUsedAt{};

  /// @brief Time of the oldest request without a reply; opening a link is the
  /// first one.
  std::optional<Instant> awaitsReplySince() const {
    if (!Open)
      return OpenedAt;
    if (Unanswered.empty())
      return std::nullopt;
    return Unanswered.front().SentAt;
  }

  /// @brief Whether another operation of its account may use the link.
  bool isFree() const {
    return Open && !ActiveOperation && !ControlRequestId && Unanswered.empty();
  }
};

} // namespace bergamotstage::pooling

#endif // BERGAMOTSTAGE_POOLING_POOLLINK_H
