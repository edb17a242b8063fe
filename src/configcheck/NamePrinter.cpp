#include "bergamotstage/configcheck/NamePrinter.h"

#include <cstdio>

namespace bergamotstage::configcheck {
namespace {

/// Longer names are cut. Names in use have at most some 40 bytes.
constexpr std::size_t MaxNameBytes = 80;

/// @brief Length of a prefix of at most MaxNameBytes that ends between two
/// characters of UTF-8.
std::size_t cutLength(const std::string &Name) {
  constexpr unsigned char ContinuationMask = 0xC0;
  constexpr unsigned char Continuation = 0x80;
  std::size_t Length = MaxNameBytes;
  while (Length > 0 && (static_cast<unsigned char>(Name[Length]) &
                        ContinuationMask) == Continuation)
    --Length;
  return Length;
}

/// @brief Escapes what a terminal would interpret.
std::string escaped(const std::string &Text) {
  constexpr unsigned char FirstPrintable = 0x20;
  constexpr unsigned char Delete = 0x7F;
  std::string Escaped;
  for (char Byte : Text) {
    auto Code = static_cast<unsigned char>(Byte);
    if (Code >= FirstPrintable && Code != Delete) {
      Escaped += Byte;
      continue;
    }
    char Digits[5];
    std::snprintf(Digits, sizeof Digits, "\\x%02x", Code);
    Escaped += Digits;
  }
  return Escaped;
}

} // namespace

void NamePrinter::hideKeysOf(const Draft &Config) {
  for (const Draft::Account &Account : Config.Accounts)
    m_Keys.insert(Account.Keys.begin(), Account.Keys.end());
}

std::string NamePrinter::plain(const std::string &Name) const {
  if (!Name.empty() && m_Keys.count(Name) > 0)
    return "(a key)";
  return Name.size() > MaxNameBytes
             ? escaped(Name.substr(0, cutLength(Name))) + "..."
             : escaped(Name);
}

std::string NamePrinter::operator()(const std::string &Name) const {
  return "\"" + plain(Name) + "\"";
}

} // namespace bergamotstage::configcheck
