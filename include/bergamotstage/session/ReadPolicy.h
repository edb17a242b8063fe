#ifndef BERGAMOTSTAGE_SESSION_READPOLICY_H
#define BERGAMOTSTAGE_SESSION_READPOLICY_H

#include "bergamotstage/core/HistoryPoint.h"
#include "bergamotstage/core/Ids.h"
#include "bergamotstage/core/Time.h"
#include "bergamotstage/target/GroupState.h"

#include <functional>
#include <optional>
#include <string>

namespace bergamotstage {

/// @brief What one read asks for.
struct ReadRequest {
  DataCentreId From;              ///< Where the proxy runs.
  HistoryPoint MustCover;         ///< The session's token for the database.
  std::optional<Duration> MaxAge; ///< Accepted staleness, if the caller said.
  bool TokenMissing = false;      ///< A named session came without its token.
};

/// @brief Where a read goes.
struct ReadChoice {
  TargetId Target;    ///< Empty: no target may serve it now.
  std::string Reason; ///< Short, for logs and explain.
};

/// @brief Chooses the target of a read; pure.
using ReadPolicy =
    std::function<ReadChoice(const ReadRequest &, const GroupState &, Instant)>;

/// @brief Whether a target's data cover a session's token.
///
/// Terms are compared first. A target of a later term covers a token of an
/// earlier one, because only acknowledged writes raise tokens and every
/// promotion keeps those.
bool covers(const HistoryPoint &Replayed, const HistoryPoint &Token);

/// @brief The policy of the given name.
/// @param Name `primary-only` or `nearest-covered`
/// @return the policy, or an empty function for an unknown name
ReadPolicy readPolicy(const std::string &Name);

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_SESSION_READPOLICY_H
