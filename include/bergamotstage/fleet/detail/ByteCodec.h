#ifndef BERGAMOTSTAGE_FLEET_DETAIL_BYTECODEC_H
#define BERGAMOTSTAGE_FLEET_DETAIL_BYTECODEC_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace bergamotstage::detail {

/// @brief Encodes the values of a message between VMs.
class ByteWriter {
public:
  void byte(std::uint8_t Value) { m_Bytes += static_cast<char>(Value); }

  /// @brief Variable-length integer: seven bits per byte, low bits first.
  void varint(std::uint64_t Value) {
    constexpr std::uint64_t LowBits = 0x7F;
    constexpr unsigned GroupBits = 7;
    for (; Value > LowBits; Value >>= GroupBits)
      byte(static_cast<std::uint8_t>(Value | (LowBits + 1)));
    byte(static_cast<std::uint8_t>(Value));
  }

  /// @brief Length as a varint, then the bytes.
  void text(std::string_view Value) {
    varint(Value.size());
    m_Bytes.append(Value);
  }

  /// @brief Four bytes, least significant byte first.
  void fixed32(std::uint32_t Value) {
    constexpr unsigned ByteBits = 8;
    for (unsigned At = 0; At < sizeof(Value); ++At)
      byte(static_cast<std::uint8_t>(Value >> (At * ByteBits)));
  }

  std::string release() { return std::move(m_Bytes); }

private:
  std::string m_Bytes;
};

/// @brief Decodes the values that a ByteWriter encoded.
///
/// After a read past the end or a malformed varint, isValid() is false and
/// text() and varint() return empty values.
class ByteReader {
public:
  explicit ByteReader(std::string_view Bytes) : m_Rest(Bytes) {}

  std::uint8_t byte() {
    if (m_Rest.empty()) {
      m_Valid = false;
      return 0;
    }
    auto Value = static_cast<std::uint8_t>(m_Rest.front());
    m_Rest.remove_prefix(1);
    return Value;
  }

  std::uint64_t varint() {
    constexpr std::uint8_t LowBits = 0x7F;
    constexpr unsigned GroupBits = 7;
    constexpr unsigned TotalBits = 64;
    std::uint64_t Value = 0;
    for (unsigned Shift = 0; Shift < TotalBits; Shift += GroupBits) {
      std::uint8_t Byte = byte();
      Value |= std::uint64_t(Byte & LowBits) << Shift;
      if (Byte <= LowBits)
        return m_Valid ? Value : 0;
    }
    m_Valid = false;
    return 0;
  }

  std::string text() {
    std::uint64_t Size = varint();
    if (Size > m_Rest.size()) {
      m_Valid = false;
      m_Rest = {};
      return {};
    }
    std::string Value(m_Rest.substr(0, Size));
    m_Rest.remove_prefix(Size);
    return Value;
  }

  std::uint32_t fixed32() {
    constexpr unsigned ByteBits = 8;
    std::uint32_t Value = 0;
    for (unsigned At = 0; At < sizeof(Value); ++At)
      Value |= std::uint32_t(byte()) << (At * ByteBits);
    return Value;
  }

  /// @brief Marks the message as malformed, for a value that its type forbids.
  void invalidate() { m_Valid = false; }

  bool isValid() const { return m_Valid; }
  /// @brief Whether all bytes were read and all values were well formed.
  bool isComplete() const { return m_Valid && m_Rest.empty(); }
  std::size_t remaining() const { return m_Rest.size(); }

private:
  std::string_view m_Rest;
  bool m_Valid = true;
};

} // namespace bergamotstage::detail

#endif // BERGAMOTSTAGE_FLEET_DETAIL_BYTECODEC_H
