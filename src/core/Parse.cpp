#include "bergamotstage/core/Parse.h"

#include <openssl/evp.h>

#include <charconv>
#include <cmath>
#include <cstddef>

namespace bergamotstage {
namespace {

struct Unit {
  std::string_view Suffix;
  double Microseconds;
};

constexpr Unit Units[] = {
    {"us", 1}, {"ms", 1e3}, {"s", 1e6}, {"m", 60e6}, {"h", 3600e6}};

constexpr double MaxSeconds = 3650.0 * 24 * 3600;

int hexValue(char Digit) {
  if (Digit >= '0' && Digit <= '9')
    return Digit - '0';
  if (Digit >= 'a' && Digit <= 'f')
    return Digit - 'a' + 10;
  return -1;
}

} // namespace

std::optional<std::uint64_t> parseCount(std::string_view Text) {
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  auto [ParsedEnd, Error] = std::from_chars(Text.data(), End, Value);
  if (Text.empty() || Error != std::errc() || ParsedEnd != End)
    return std::nullopt;
  return Value;
}

std::optional<double> parseNumber(std::string_view Text) {
  double Value = 0;
  const char *End = Text.data() + Text.size();
  auto [ParsedEnd, Error] = std::from_chars(Text.data(), End, Value);
  bool FillsText = !Text.empty() && Error == std::errc() && ParsedEnd == End;
  if (!FillsText || !std::isfinite(Value) || Value < 0)
    return std::nullopt;
  return Value;
}

std::optional<Duration> parseDuration(std::string_view Text) {
  std::size_t SuffixStart = Text.find_first_not_of("0123456789.");
  if (SuffixStart == std::string_view::npos)
    return std::nullopt;
  std::optional<double> Value = parseNumber(Text.substr(0, SuffixStart));
  if (!Value)
    return std::nullopt;
  for (const Unit &Candidate : Units) {
    if (Candidate.Suffix != Text.substr(SuffixStart))
      continue;
    double Microseconds = *Value * Candidate.Microseconds;
    if (Microseconds > MaxSeconds * 1e6)
      return std::nullopt;
    return Duration(std::llround(Microseconds));
  }
  return std::nullopt;
}

std::string toHex(std::string_view Bytes) {
  static const char Digits[] = "0123456789abcdef";
  std::string Text;
  Text.reserve(Bytes.size() * 2);
  for (unsigned char Byte : Bytes) {
    Text += Digits[Byte >> 4U];
    Text += Digits[Byte & 15U];
  }
  return Text;
}

std::optional<std::string> fromHex(std::string_view Digits) {
  if (Digits.size() % 2 != 0)
    return std::nullopt;
  std::string Bytes;
  Bytes.reserve(Digits.size() / 2);
  for (std::size_t Offset = 0; Offset < Digits.size(); Offset += 2) {
    int High = hexValue(Digits[Offset]);
    int Low = hexValue(Digits[Offset + 1]);
    if (High < 0 || Low < 0)
      return std::nullopt;
    Bytes += static_cast<char>(High * 16 + Low);
  }
  return Bytes;
}

std::string toBase64(std::string_view Bytes) {
  std::string Out((Bytes.size() + 2) / 3 * 4 + 1, '\0');
  int Size =
      EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Out.data()),
                      reinterpret_cast<const unsigned char *>(Bytes.data()),
                      static_cast<int>(Bytes.size()));
  Out.resize(static_cast<std::size_t>(Size));
  return Out;
}

std::optional<std::string> fromBase64(std::string_view Text) {
  if (Text.empty())
    return std::string();
  if (Text.size() % 4 != 0)
    return std::nullopt;
  std::string Out(Text.size() / 4 * 3, '\0');
  int Size =
      EVP_DecodeBlock(reinterpret_cast<unsigned char *>(Out.data()),
                      reinterpret_cast<const unsigned char *>(Text.data()),
                      static_cast<int>(Text.size()));
  if (Size < 0)
    return std::nullopt;
  // EVP_DecodeBlock() counts the padding as decoded bytes.
  std::size_t Padding = Text[Text.size() - 2] == '=' ? 2
                        : Text.back() == '='         ? 1
                                                     : 0;
  Out.resize(static_cast<std::size_t>(Size) - Padding);
  return Out;
}

} // namespace bergamotstage
