#include "bergamotstage/wire/Frontend.h"

#include <utility>

namespace bergamotstage::wire {
namespace {

constexpr std::uint32_t ProtocolVersion3 = 196608;
constexpr std::uint32_t SslRequestCode = 80877103;
constexpr std::uint32_t GssRequestCode = 80877104;
constexpr std::uint32_t CancelRequestCode = 80877102;
/// @brief Larger buffers are freed when they are empty.
constexpr std::size_t RetainedBufferBytes = 4096;
constexpr std::size_t LengthBytes = 4;
constexpr std::size_t TypeBytes = 1;

/// @brief Reads the fields of a message body; a read past its end sets the
/// failure flag.
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
    std::string Value(m_Rest.substr(0, Count));
    m_Rest.remove_prefix(Count);
    return Value;
  }

  std::string string() {
    std::size_t End = m_Rest.find('\0');
    if (End == std::string_view::npos) {
      m_Failed = true;
      return {};
    }
    std::string Value(m_Rest.substr(0, End));
    m_Rest.remove_prefix(End + 1);
    return Value;
  }

  /// @brief Number of items that follow; more than Max set the failure flag.
  std::size_t count(std::size_t Max) {
    auto Value = static_cast<std::uint16_t>(int16());
    if (Value > Max)
      m_Failed = true;
    return m_Failed ? 0 : Value;
  }

  bool hasFailed() const { return m_Failed; }
  bool isComplete() const { return !m_Failed && m_Rest.empty(); }
  bool isAtEnd() const { return m_Rest.empty(); }

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
  for (std::size_t At = 0; At < Types && !Fields.hasFailed(); ++At)
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
  for (std::size_t At = 0; At < Formats && !Fields.hasFailed(); ++At)
    Message.ParameterFormats.push_back(Fields.int16());
  std::size_t Values = Fields.count(MaxParameters);
  for (std::size_t At = 0; At < Values && !Fields.hasFailed(); ++At)
    Message.Values.push_back(readValue(Fields));
  std::size_t Results = Fields.count(MaxParameters);
  for (std::size_t At = 0; At < Results && !Fields.hasFailed(); ++At)
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

tl::unexpected<WireError> makeError(std::string Reason) {
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
    if (!Fields.isComplete())
      return makeError("malformed cancel request");
    return Message;
  }
  constexpr std::uint32_t MajorShift = 16;
  if (Code >> MajorShift != ProtocolVersion3 >> MajorShift)
    return makeError(
        "unsupported protocol version " + std::to_string(Code >> MajorShift) +
        "; supported: " + std::to_string(ProtocolVersion3 >> MajorShift));
  Startup Message;
  std::string Name = Fields.string();
  while (!Name.empty() && !Fields.hasFailed()) {
    Message.Parameters[Name] = Fields.string();
    Name = Fields.string();
  }
  if (!Fields.isComplete())
    return makeError("malformed start-up packet");
  return Message;
}

std::uint32_t lengthAt(std::string_view Bytes) {
  return FieldReader(Bytes).int32();
}

} // namespace

void FrontendReader::feed(std::string_view Bytes) {
  if (m_Consumed == m_Buffer.size()) {
    m_Buffer.clear();
    m_Consumed = 0;
  }
  m_Buffer.append(Bytes);
}

tl::expected<std::optional<FrontendMessage>, WireError>
FrontendReader::nextStartup() {
  std::string_view Unread = std::string_view(m_Buffer).substr(m_Consumed);
  if (Unread.size() < LengthBytes)
    return std::nullopt;
  std::uint32_t Length = lengthAt(Unread);
  if (Length < 2 * LengthBytes || Length > MaxStartupBytes)
    return makeError("invalid start-up packet length " +
                     std::to_string(Length) + ", not between " +
                     std::to_string(2 * LengthBytes) + " and " +
                     std::to_string(MaxStartupBytes));
  if (Unread.size() < Length)
    return std::nullopt;
  FieldReader Fields(Unread.substr(LengthBytes, Length - LengthBytes));
  auto Message = readStartup(Fields);
  if (!Message)
    return tl::make_unexpected(Message.error());
  m_Consumed += Length;
  m_Started = std::holds_alternative<Startup>(*Message);
  return std::optional<FrontendMessage>(std::move(*Message));
}

tl::expected<std::optional<FrontendMessage>, WireError> FrontendReader::next() {
  if (!m_Started)
    return nextStartup();
  std::string_view Unread = std::string_view(m_Buffer).substr(m_Consumed);
  if (Unread.size() < TypeBytes + LengthBytes)
    return std::nullopt;
  char Type = Unread.front();
  std::uint32_t Length = lengthAt(Unread.substr(TypeBytes));
  if (Length < LengthBytes || Length > MaxMessageBytes)
    return makeError("invalid message length " + std::to_string(Length) +
                     ", not between " + std::to_string(LengthBytes) + " and " +
                     std::to_string(MaxMessageBytes));
  if (Unread.size() < TypeBytes + Length)
    return std::nullopt;
  FieldReader Fields(
      Unread.substr(TypeBytes + LengthBytes, Length - LengthBytes));
  FrontendMessage Message = readBody(Type, Fields);
  bool Supported = !std::holds_alternative<Unsupported>(Message);
  if (Supported && !Fields.isComplete())
    return makeError(std::string("malformed message of type '") + Type + "'");
  m_Consumed += TypeBytes + Length;
  if (m_Consumed == m_Buffer.size() &&
      m_Buffer.capacity() > RetainedBufferBytes) {
    m_Buffer = std::string();
    m_Consumed = 0;
  }
  return std::optional<FrontendMessage>(std::move(Message));
}

} // namespace bergamotstage::wire
