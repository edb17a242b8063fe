#include "bergamotstage/wire/Frontend.h"

#include <utility>

namespace bergamotstage::wire {
namespace {

constexpr std::uint32_t ProtocolVersion3 = 196608;
constexpr std::uint32_t SslRequestCode = 80877103;
constexpr std::uint32_t GssRequestCode = 80877104;
constexpr std::uint32_t CancelRequestCode = 80877102;
/// @brief Room that a reader keeps between messages.
constexpr std::size_t KeptBufferBytes = 4096;
constexpr std::size_t LengthBytes = 4;
constexpr std::size_t TypeBytes = 1;

/// @brief Reads fields of a message body; a read past the end sets a flag.
class FieldReader {
public:
  explicit FieldReader(std::string_view Body) : m_Rest(Body) {}

  std::uint32_t int32() { return integer(4); }
  std::int16_t int16() { return static_cast<std::int16_t>(integer(2)); }
  char byte() { return static_cast<char>(integer(1)); }

  std::string bytes(std::size_t Count) {
    if (m_Rest.size() < Count) {
      m_Failed = true;
      return {};
    }
    std::string Taken(m_Rest.substr(0, Count));
    m_Rest.remove_prefix(Count);
    return Taken;
  }

  std::string string() {
    std::size_t End = m_Rest.find('\0');
    if (End == std::string_view::npos) {
      m_Failed = true;
      return {};
    }
    std::string Taken(m_Rest.substr(0, End));
    m_Rest.remove_prefix(End + 1);
    return Taken;
  }

  /// @brief A count of items; too many set the failure flag.
  std::size_t count(std::size_t Most) {
    auto Value = static_cast<std::uint16_t>(int16());
    if (Value > Most)
      m_Failed = true;
    return m_Failed ? 0 : Value;
  }

  bool failed() const { return m_Failed; }
  bool finished() const { return !m_Failed && m_Rest.empty(); }
  bool atEnd() const { return m_Rest.empty(); }

private:
  std::uint32_t integer(std::size_t Count) {
    if (m_Rest.size() < Count) {
      m_Failed = true;
      return 0;
    }
    std::uint32_t Value = 0;
    for (std::size_t At = 0; At < Count; ++At)
      Value = (Value << 8U) | static_cast<unsigned char>(m_Rest[At]);
    m_Rest.remove_prefix(Count);
    return Value;
  }

  std::string_view m_Rest;
  bool m_Failed = false;
};

Parse readParse(FieldReader &Fields) {
  Parse Message;
  Message.Name = Fields.string();
  Message.Text = Fields.string();
  std::size_t Types = Fields.count(MaxParameters);
  for (std::size_t At = 0; At < Types && !Fields.failed(); ++At)
    Message.ParameterTypes.push_back(Fields.int32());
  return Message;
}

std::optional<std::string> readValue(FieldReader &Fields) {
  constexpr std::uint32_t Null = 0xFFFFFFFF;
  std::uint32_t Length = Fields.int32();
  if (Length == Null)
    return std::nullopt;
  return Fields.bytes(Length);
}

Bind readBind(FieldReader &Fields) {
  Bind Message;
  Message.Portal = Fields.string();
  Message.Statement = Fields.string();
  std::size_t Formats = Fields.count(MaxParameters);
  for (std::size_t At = 0; At < Formats && !Fields.failed(); ++At)
    Message.ParameterFormats.push_back(Fields.int16());
  std::size_t Values = Fields.count(MaxParameters);
  for (std::size_t At = 0; At < Values && !Fields.failed(); ++At)
    Message.Values.push_back(readValue(Fields));
  std::size_t Results = Fields.count(MaxParameters);
  for (std::size_t At = 0; At < Results && !Fields.failed(); ++At)
    Message.ResultFormats.push_back(Fields.int16());
  return Message;
}

template <class Message> Message readNamed(FieldReader &Fields) {
  Message Named;
  Named.Kind = Fields.byte();
  Named.Name = Fields.string();
  return Named;
}

FrontendMessage readBody(char Type, FieldReader &Fields) {
  switch (Type) {
  case 'p':
    return Password{Fields.string()};
  case 'Q':
    return Query{Fields.string()};
  case 'P':
    return readParse(Fields);
  case 'B':
    return readBind(Fields);
  case 'D':
    return readNamed<Describe>(Fields);
  case 'E': {
    Execute Message;
    Message.Portal = Fields.string();
    Message.MaxRows = Fields.int32();
    return Message;
  }
  case 'C':
    return readNamed<Close>(Fields);
  case 'S':
    return Sync{};
  case 'H':
    return Flush{};
  case 'X':
    return Terminate{};
  default:
    return Unsupported{Type};
  }
}

tl::unexpected<WireError> wireError(std::string Reason) {
  return tl::make_unexpected(WireError{std::move(Reason)});
}

tl::expected<FrontendMessage, WireError> readStartup(FieldReader &Fields) {
  std::uint32_t Code = Fields.int32();
  if (Code == SslRequestCode)
    return SslRequest{};
  if (Code == GssRequestCode)
    return GssRequest{};
  if (Code == CancelRequestCode) {
    CancelRequest Message;
    Message.ProcessId = Fields.int32();
    Message.Secret = Fields.int32();
    if (!Fields.finished())
      return wireError("malformed cancel request");
    return Message;
  }
  constexpr std::uint32_t MajorShift = 16;
  if (Code >> MajorShift != ProtocolVersion3 >> MajorShift)
    return wireError("unsupported protocol version");
  Startup Message;
  std::string Name = Fields.string();
  while (!Name.empty() && !Fields.failed()) {
    Message.Parameters[Name] = Fields.string();
    Name = Fields.string();
  }
  if (!Fields.finished())
    return wireError("malformed start-up packet");
  return Message;
}

std::uint32_t lengthAt(std::string_view Bytes) {
  return FieldReader(Bytes).int32();
}

} // namespace

void FrontendReader::feed(std::string_view Bytes) {
  if (m_Taken == m_Buffer.size()) {
    m_Buffer.clear();
    m_Taken = 0;
  }
  m_Buffer.append(Bytes);
}

tl::expected<std::optional<FrontendMessage>, WireError>
FrontendReader::nextStartup() {
  std::string_view Held = std::string_view(m_Buffer).substr(m_Taken);
  if (Held.size() < LengthBytes)
    return std::nullopt;
  std::uint32_t Length = lengthAt(Held);
  if (Length < 2 * LengthBytes || Length > MaxStartupBytes)
    return wireError("start-up packet of invalid length");
  if (Held.size() < Length)
    return std::nullopt;
  FieldReader Fields(Held.substr(LengthBytes, Length - LengthBytes));
  auto Message = readStartup(Fields);
  if (!Message)
    return tl::make_unexpected(Message.error());
  m_Taken += Length;
  m_Started = std::holds_alternative<Startup>(*Message);
  return std::optional<FrontendMessage>(std::move(*Message));
}

tl::expected<std::optional<FrontendMessage>, WireError> FrontendReader::next() {
  if (!m_Started)
    return nextStartup();
  std::string_view Held = std::string_view(m_Buffer).substr(m_Taken);
  if (Held.size() < TypeBytes + LengthBytes)
    return std::nullopt;
  char Type = Held.front();
  std::uint32_t Length = lengthAt(Held.substr(TypeBytes));
  if (Length < LengthBytes || Length > MaxMessageBytes)
    return wireError("message of invalid length");
  if (Held.size() < TypeBytes + Length)
    return std::nullopt;
  FieldReader Fields(
      Held.substr(TypeBytes + LengthBytes, Length - LengthBytes));
  FrontendMessage Message = readBody(Type, Fields);
  bool Known = !std::holds_alternative<Unsupported>(Message);
  if (Known && !Fields.finished())
    return wireError("malformed message");
  m_Taken += TypeBytes + Length;
  if (m_Taken == m_Buffer.size() && m_Buffer.capacity() > KeptBufferBytes) {
    m_Buffer = std::string();
    m_Taken = 0;
  }
  return std::optional<FrontendMessage>(std::move(Message));
}

} // namespace bergamotstage::wire
