#include "bergamotstage/fleet/RulesMessage.h"

#include "bergamotstage/fleet/detail/ByteCodec.h"

#include <cstdint>

namespace bergamotstage {
namespace {

using detail::ByteReader;
using detail::ByteWriter;

enum class Kind : std::uint8_t { Announce = 1, Confirm, TextRequest, Text };

void writeKind(ByteWriter &Out, Kind Value) {
  Out.byte(static_cast<std::uint8_t>(Value));
}

void write(ByteWriter &Out, const RulesAnnounce &Message) {
  writeKind(Out, Kind::Announce);
  Out.varint(Message.Number.value());
  Out.text(Message.Object);
}

void write(ByteWriter &Out, const RulesConfirm &Message) {
  writeKind(Out, Kind::Confirm);
  Out.varint(Message.Number.value());
}

void write(ByteWriter &Out, const RulesTextRequest &Message) {
  writeKind(Out, Kind::TextRequest);
  Out.text(Message.Object);
}

void write(ByteWriter &Out, const RulesText &Message) {
  writeKind(Out, Kind::Text);
  Out.text(Message.Object);
  Out.text(Message.Body);
}

RulesMessage readAnnounce(ByteReader &In) {
  RulesAnnounce Message;
  Message.Number = Revision(In.varint());
  Message.Object = In.text();
  return Message;
}

RulesMessage readText(ByteReader &In) {
  RulesText Message;
  Message.Object = In.text();
  Message.Body = In.text();
  return Message;
}

std::optional<RulesMessage> readMessage(ByteReader &In) {
  switch (static_cast<Kind>(In.byte())) {
  case Kind::Announce:
    return readAnnounce(In);
  case Kind::Confirm:
    return RulesConfirm{Revision(In.varint())};
  case Kind::TextRequest:
    return RulesTextRequest{In.text()};
  case Kind::Text:
    return readText(In);
  }
  return std::nullopt;
}

} // namespace

std::string encodeRulesMessage(const RulesMessage &Message) {
  ByteWriter Out;
  std::visit([&Out](const auto &Alternative) { write(Out, Alternative); },
             Message);
  return Out.release();
}

std::optional<RulesMessage> decodeRulesMessage(std::string_view Bytes) {
  ByteReader In(Bytes);
  std::optional<RulesMessage> Message = readMessage(In);
  return In.isComplete() ? Message : std::nullopt;
}

} // namespace bergamotstage
