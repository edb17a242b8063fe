#include "bergamotstage/wire/Backend.h"

#include <cstddef>

namespace bergamotstage::wire {
namespace {

/// @brief Appends one message; the destructor writes its length.
class MessageBuilder {
public:
  MessageBuilder(std::string &Out, char Type) : m_Out(Out) {
    m_Out += Type;
    m_LengthAt = m_Out.size();
    int32(0);
  }
  ~MessageBuilder() {
    auto Length = static_cast<std::uint32_t>(m_Out.size() - m_LengthAt);
    for (unsigned Byte = 0; Byte < 4; ++Byte)
      m_Out[m_LengthAt + Byte] =
          static_cast<char>((Length >> (24U - 8U * Byte)) & 0xFFU);
  }
  MessageBuilder(const MessageBuilder &) = delete;
  MessageBuilder &operator=(const MessageBuilder &) = delete;

  void int32(std::uint32_t Value) {
    for (unsigned Byte = 0; Byte < 4; ++Byte)
      m_Out += static_cast<char>((Value >> (24U - 8U * Byte)) & 0xFFU);
  }
  void int16(std::uint16_t Value) {
    m_Out += static_cast<char>(Value >> 8U);
    m_Out += static_cast<char>(Value & 0xFFU);
  }
  void byte(char Value) { m_Out += Value; }
  void bytes(std::string_view Value) { m_Out.append(Value); }
  void string(std::string_view Value) {
    m_Out.append(Value.substr(0, Value.find('\0')));
    m_Out += '\0';
  }

private:
  std::string &m_Out;
  std::size_t m_LengthAt;
};

void writeFields(MessageBuilder &Message, const ErrorFields &Fields) {
  auto Field = [&](char Type, const std::string &Value) {
    if (Value.empty())
      return;
    Message.byte(Type);
    Message.string(Value);
  };
  Field('S', Fields.Severity);
  Field('V', Fields.Severity);
  Field('C', Fields.SqlState);
  Field('M', Fields.Message);
  Field('D', Fields.Detail);
  Field('H', Fields.Hint);
  Message.byte('\0');
}

} // namespace

void BackendWriter::authenticationOk() { MessageBuilder(m_Out, 'R').int32(0); }

void BackendWriter::authenticationCleartextPassword() {
  MessageBuilder(m_Out, 'R').int32(3);
}

void BackendWriter::parameterStatus(std::string_view Name,
                                    std::string_view Value) {
  MessageBuilder Message(m_Out, 'S');
  Message.string(Name);
  Message.string(Value);
}

void BackendWriter::backendKeyData(std::uint32_t ProcessId,
                                   std::uint32_t Secret) {
  MessageBuilder Message(m_Out, 'K');
  Message.int32(ProcessId);
  Message.int32(Secret);
}

void BackendWriter::readyForQuery(TransactionStatus Status) {
  MessageBuilder(m_Out, 'Z').byte(static_cast<char>(Status));
}

void BackendWriter::rowDescription(const std::vector<Column> &Columns) {
  MessageBuilder Message(m_Out, 'T');
  Message.int16(static_cast<std::uint16_t>(Columns.size()));
  for (const Column &Entry : Columns) {
    Message.string(Entry.Name);
    Message.int32(0);
    Message.int16(0);
    Message.int32(Entry.TypeId);
    Message.int16(static_cast<std::uint16_t>(Entry.TypeSize));
    Message.int32(static_cast<std::uint32_t>(Entry.TypeModifier));
    Message.int16(static_cast<std::uint16_t>(Entry.Format));
  }
}

void BackendWriter::dataRow(
    const std::vector<std::optional<std::string_view>> &Cells) {
  constexpr std::uint32_t Null = 0xFFFFFFFF;
  MessageBuilder Message(m_Out, 'D');
  Message.int16(static_cast<std::uint16_t>(Cells.size()));
  for (const auto &Cell : Cells) {
    Message.int32(Cell ? static_cast<std::uint32_t>(Cell->size()) : Null);
    if (Cell)
      Message.bytes(*Cell);
  }
}

void BackendWriter::commandComplete(std::string_view Tag) {
  MessageBuilder(m_Out, 'C').string(Tag);
}

void BackendWriter::emptyQueryResponse() { MessageBuilder(m_Out, 'I'); }
void BackendWriter::parseComplete() { MessageBuilder(m_Out, '1'); }
void BackendWriter::bindComplete() { MessageBuilder(m_Out, '2'); }
void BackendWriter::closeComplete() { MessageBuilder(m_Out, '3'); }
void BackendWriter::noData() { MessageBuilder(m_Out, 'n'); }
void BackendWriter::portalSuspended() { MessageBuilder(m_Out, 's'); }

void BackendWriter::parameterDescription(
    const std::vector<std::uint32_t> &Types) {
  MessageBuilder Message(m_Out, 't');
  Message.int16(static_cast<std::uint16_t>(Types.size()));
  for (std::uint32_t Type : Types)
    Message.int32(Type);
}

void BackendWriter::error(const ErrorFields &Fields) {
  MessageBuilder Message(m_Out, 'E');
  writeFields(Message, Fields);
}

void BackendWriter::notice(const ErrorFields &Fields) {
  MessageBuilder Message(m_Out, 'N');
  writeFields(Message, Fields);
}

} // namespace bergamotstage::wire
