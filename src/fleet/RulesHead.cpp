#include "bergamotstage/fleet/RulesHead.h"

#include "bergamotstage/core/Digest.h"
#include "bergamotstage/core/Parse.h"

#include <sstream>

namespace bergamotstage {

std::string rulesObjectName(const std::string &Text) {
  return "rules/" + toHex(sha256(Text));
}

std::string encodeHead(const RulesHead &Head) {
  return std::to_string(Head.Number.value()) + " " + Head.Object + " " +
         Head.EditId;
}

std::optional<RulesHead> decodeHead(const std::string &Value) {
  std::istringstream In(Value);
  std::string Number;
  RulesHead Head;
  In >> Number >> Head.Object >> std::ws;
  std::getline(In, Head.EditId);
  auto Parsed = parseCount(Number);
  if (!Parsed || *Parsed == 0 || Head.Object.empty())
    return std::nullopt;
  Head.Number = Revision(*Parsed);
  return Head;
}

std::string rulesHistoryKey(Revision Number) {
  constexpr std::size_t Digits = 12;
  std::string Text = std::to_string(Number.value());
  std::string Padding(Text.size() < Digits ? Digits - Text.size() : 0, '0');
  return RulesHistoryPrefix + Padding + Text;
}

ConditionalWrite makeHeadWrite(const RulesHead &Head,
                               std::uint64_t HeadVersion) {
  ConditionalWrite Write;
  Write.WriteId = "rules-edit/" + Head.EditId;
  Write.Conditions.push_back({RulesHeadKey, HeadVersion});
  Write.Changes.push_back({RulesHeadKey, encodeHead(Head)});
  Write.Changes.push_back({rulesHistoryKey(Head.Number), encodeHead(Head)});
  if (Head.Number.value() > RulesHistoryLength) {
    Revision Oldest(Head.Number.value() - RulesHistoryLength);
    Write.Changes.push_back({rulesHistoryKey(Oldest), std::nullopt});
  }
  return Write;
}

InitialRules initialRules(const std::string &Text) {
  std::string Object = rulesObjectName(Text);
  RulesHead Head{Revision(1), Object, "first-rules"};
  return {{Object, Text}, makeHeadWrite(Head, 0)};
}

} // namespace bergamotstage
