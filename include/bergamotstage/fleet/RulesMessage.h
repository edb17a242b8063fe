#ifndef BERGAMOTSTAGE_FLEET_RULESMESSAGE_H
#define BERGAMOTSTAGE_FLEET_RULESMESSAGE_H

#include "bergamotstage/core/Ids.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace bergamotstage {

/// @brief Announces a revision and requests a RulesConfirm.
struct RulesAnnounce {
  Revision Number;
  std::string Object;
};

/// @brief Confirms that the sender no longer serves under an older revision.
struct RulesConfirm {
  Revision Number;
};

/// @brief Requests a text that could not be read from the store.
struct RulesTextRequest {
  std::string Object;
};

/// @brief A rules text; the receiver checks it against the object's name.
struct RulesText {
  std::string Object;
  std::string Body;
};

/// @brief Payload of a peer message for PeerChannel::Rules.
using RulesMessage =
    std::variant<RulesAnnounce, RulesConfirm, RulesTextRequest, RulesText>;

/// @brief Encodes a message. Complexity: linear in its size.
std::string encodeRulesMessage(const RulesMessage &Message);

/// @brief Decodes a message; empty if the bytes are malformed.
std::optional<RulesMessage> decodeRulesMessage(std::string_view Bytes);

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_FLEET_RULESMESSAGE_H
