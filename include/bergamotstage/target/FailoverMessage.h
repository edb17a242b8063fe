#ifndef BERGAMOTSTAGE_TARGET_FAILOVERMESSAGE_H
#define BERGAMOTSTAGE_TARGET_FAILOVERMESSAGE_H

#include "bergamotstage/core/Ids.h"

#include <optional>
#include <string>

namespace bergamotstage {

/// @brief A message between VMs about the primary of a database.
struct FailoverMessage {
  enum class Kind : std::uint8_t {
    Probe,          ///< Asks the receiver to probe the target.
    ProbeSucceeded, ///< Answers a probe: the target answered.
    ProbeFailed,    ///< Answers a probe: the target did not answer.
    AttemptStarted, ///< The sender has started a failover attempt.
    AttemptBlocked, ///< The sender cannot replace the primary for now.
    Promoted        ///< The target is the primary of the term.
  };
  Kind Type = Kind::Probe;
  DatabaseId Database;
  TargetId Target;
  Term AtTerm;
  std::uint64_t Round = 0; ///< Number of the vote at the VM that started it.
};

/// @brief Encodes a message as JSON.
std::string encodeFailoverMessage(const FailoverMessage &Message);

/// @brief Decodes a message; returns nothing if it is malformed.
std::optional<FailoverMessage>
decodeFailoverMessage(const std::string &Payload);

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_TARGET_FAILOVERMESSAGE_H
