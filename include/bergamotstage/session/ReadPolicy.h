#ifndef BERGAMOTSTAGE_SESSION_READPOLICY_H
#define BERGAMOTSTAGE_SESSION_READPOLICY_H

#include "bergamotstage/core/HistoryPoint.h"
#include "bergamotstage/core/Ids.h"
#include "bergamotstage/core/Time.h"
#include "bergamotstage/session/PositionHistory.h"
#include "bergamotstage/session/ResponseTimes.h"
#include "bergamotstage/target/GroupState.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace bergamotstage {

/// @brief Requirements of a read and the data for choosing its target.
struct ReadRequest {
  DataCentreId ProxyCentre;           ///< Data centre of this VM.
  HistoryPoint RequiredPoint;         ///< Point that the target must cover.
  std::optional<Duration> MaxAge;     ///< Accepted staleness, if set.
  std::set<TargetId> ExcludedTargets; ///< Targets that failed this read.
  std::uint64_t RandomValue = 0;      ///< For policies with a random choice.
  const PositionHistory *Positions = nullptr; ///< Source of age bounds.
  const ResponseTimes *Times = nullptr;       ///< Source of time estimates.
};

/// @brief Why no replica can serve a read.
enum class ReadShortfall : std::uint8_t {
  None,
  Behind,    ///< No replica is known to cover the required point.
  AgeUnknown ///< Some cover it, but none is known to be fresh enough.
};

/// @brief The target chosen for a read.
struct ReadChoice {
  TargetId Target;    ///< Empty if no target can serve it now.
  std::string Reason; ///< Short text for logs and explain.
  ReadShortfall Shortfall = ReadShortfall::None;
};

/// @brief Chooses the target of a read. A pure function.
using ReadPolicy =
    std::function<ReadChoice(const ReadRequest &, const GroupState &, Instant)>;

/// @brief Whether a target's data cover a point of a session's token.
///
/// Terms are compared first. A target in a later term covers every point of an
/// earlier one: a promotion keeps all acknowledged writes, and a write of
/// unknown outcome that it loses is never visible again.
bool covers(const HistoryPoint &Replayed, const HistoryPoint &Required);

/// @brief Upper bound of the age of the data that a target would return.
/// @return the bound, or nothing if it is unknown
std::optional<Duration> ageBound(const TargetState &Target,
                                 const ReadRequest &Request,
                                 const GroupState &Group, Instant Now);

/// @brief Creates the read policy with the given name.
/// @param Name `primary-only`, `nearest-covered`, `earliest-finish` or
/// `random-replica`
/// @param Parameters `primary-cost` of `earliest-finish`: how much slower a
/// replica may be than the primary and still be preferred
/// @return the policy, or an empty function for an unknown name
ReadPolicy
makeReadPolicy(const std::string &Name,
               const std::map<std::string, std::string> &Parameters = {});

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_SESSION_READPOLICY_H
