#include "bergamotstage/rules/RuleValue.h"

#include "bergamotstage/core/Parse.h"

#include <arpa/inet.h>

#include <algorithm>
#include <cctype>
#include <cstddef>
#include <cstdint>

namespace bergamotstage {
namespace {

constexpr std::size_t MaxNameLength = 128;

/// @brief Lower-case text with each run of whitespace as one space, without
/// trailing spaces and semicolons.
std::string normalized(std::string_view Text) {
  std::string Out;
  for (unsigned char Character : Text) {
    bool Blank = std::isspace(Character) != 0;
    if (Blank && (Out.empty() || Out.back() == ' '))
      continue;
    Out += Blank ? ' ' : static_cast<char>(std::tolower(Character));
  }
  while (!Out.empty() && (Out.back() == ' ' || Out.back() == ';'))
    Out.pop_back();
  return Out;
}

bool matches(std::string_view Pattern, std::string_view Text) {
  std::size_t InPattern = 0;
  std::size_t InText = 0;
  std::size_t Star = std::string_view::npos;
  std::size_t StarText = 0;
  while (InText < Text.size()) {
    if (InPattern < Pattern.size() && Pattern[InPattern] == '*') {
      Star = InPattern++;
      StarText = InText;
    } else if (InPattern < Pattern.size() &&
               Pattern[InPattern] == Text[InText]) {
      ++InPattern;
      ++InText;
    } else if (Star != std::string_view::npos) {
      InPattern = Star + 1;
      InText = ++StarText;
    } else {
      return false;
    }
  }
  return Pattern.find_first_not_of('*', InPattern) == std::string_view::npos;
}

} // namespace

bool isAddress(const std::string &Text) {
  constexpr std::uint64_t MaxPort = 65535;
  std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return false;
  auto Port = parseCount(std::string_view(Text).substr(Colon + 1));
  if (!Port || *Port == 0 || *Port > MaxPort)
    return false;
  std::string Host = Text.substr(0, Colon);
  in6_addr Parsed{};
  bool Bracketed = Host.size() > 2 && Host.front() == '[' && Host.back() == ']';
  if (Bracketed)
    return inet_pton(AF_INET6, Host.substr(1, Host.size() - 2).c_str(),
                     &Parsed) == 1;
  return inet_pton(AF_INET, Host.c_str(), &Parsed) == 1;
}

bool isName(std::string_view Text) {
  auto Allowed = [](unsigned char Character) {
    return std::isalnum(Character) != 0 || Character == '-' ||
           Character == '_' || Character == '.';
  };
  return !Text.empty() && Text.size() <= MaxNameLength &&
         std::all_of(Text.begin(), Text.end(), Allowed);
}

std::optional<double> parsePercent(std::string_view Text) {
  constexpr double MaxPercent = 100;
  if (Text.empty() || Text.back() != '%')
    return std::nullopt;
  auto Value = parseNumber(Text.substr(0, Text.size() - 1));
  if (!Value || *Value <= 0 || *Value > MaxPercent)
    return std::nullopt;
  return Value;
}

bool matchesPattern(std::string_view Pattern, std::string_view Statement) {
  return matches(normalized(Pattern), normalized(Statement));
}

} // namespace bergamotstage
