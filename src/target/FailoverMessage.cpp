#include "bergamotstage/target/FailoverMessage.h"

#include <nlohmann/json.hpp>

namespace bergamotstage {
namespace {

constexpr unsigned LastKind =
    static_cast<unsigned>(FailoverMessage::Kind::Promoted);

} // namespace

std::string encodeFailoverMessage(const FailoverMessage &Message) {
  nlohmann::json Fields = {static_cast<unsigned>(Message.Type),
                           Message.Database.value(), Message.Target.value(),
                           Message.AtTerm.value(), Message.Round};
  return Fields.dump();
}

std::optional<FailoverMessage>
decodeFailoverMessage(const std::string &Payload) {
  auto Fields = nlohmann::json::parse(Payload, nullptr, false);
  bool WellFormed = Fields.is_array() && Fields.size() == 5 &&
                    Fields[0].is_number_unsigned() && Fields[1].is_string() &&
                    Fields[2].is_string() && Fields[3].is_number_unsigned() &&
                    Fields[4].is_number_unsigned();
  if (!WellFormed || Fields[0].get<unsigned>() > LastKind)
    return std::nullopt;
  FailoverMessage Message;
  Message.Type = static_cast<FailoverMessage::Kind>(Fields[0].get<unsigned>());
  Message.Database = DatabaseId(Fields[1].get<std::string>());
  Message.Target = TargetId(Fields[2].get<std::string>());
  Message.AtTerm = Term(Fields[3].get<std::uint64_t>());
  Message.Round = Fields[4].get<std::uint64_t>();
  return Message;
}

} // namespace bergamotstage
