#include "bergamotstage/explain/LogLine.h"

#include <algorithm>
#include <cstdio>
#include <ctime>

namespace bergamotstage::explain {
namespace {

using std::chrono::milliseconds;
using std::chrono::system_clock;

constexpr std::string_view TimeKey = "time=";

/// @brief Extracts the next value, which may be in double quotes.
std::string extractValue(std::string_view &Remaining) {
  std::string Value;
  bool Quoted = !Remaining.empty() && Remaining.front() == '"';
  if (Quoted)
    Remaining.remove_prefix(1);
  while (!Remaining.empty()) {
    char Character = Remaining.front();
    bool AtEnd = Quoted ? Character == '"' : Character == ' ';
    if (AtEnd)
      break;
    bool Escaped = Quoted && Character == '\\' && Remaining.size() > 1;
    if (Escaped)
      Remaining.remove_prefix(1);
    Value += Remaining.front();
    Remaining.remove_prefix(1);
  }
  if (Quoted && !Remaining.empty())
    Remaining.remove_prefix(1);
  return Value;
}

std::optional<system_clock::time_point> parseTime(const std::string &Text) {
  std::tm Parts{};
  const char *FractionText =
      strptime(Text.c_str(), "%Y-%m-%dT%H:%M:%S", &Parts);
  unsigned Fraction = 0;
  if (FractionText == nullptr ||
      std::sscanf(FractionText, ".%3u", &Fraction) != 1)
    return std::nullopt;
  return system_clock::from_time_t(timegm(&Parts)) + milliseconds(Fraction);
}

/// @brief The last word of a text without a trailing colon or `|`.
std::string lastWord(std::string_view Text) {
  std::size_t End = Text.find_last_not_of(" \t:|");
  if (End == std::string_view::npos)
    return {};
  Text = Text.substr(0, End + 1);
  std::size_t Before = Text.find_last_of(" \t");
  return std::string(
      Before == std::string_view::npos ? Text : Text.substr(Before + 1));
}

} // namespace

std::string LogLine::value(const std::string &Name) const {
  for (const auto &[Key, Value] : Fields)
    if (Key == Name)
      return Value;
  return {};
}

std::optional<LogLine> parseLogLine(std::string_view Text,
                                    const std::string &Source) {
  std::size_t Start = Text.find(TimeKey);
  if (Start == std::string_view::npos)
    return std::nullopt;
  LogLine Line;
  Line.Source = lastWord(Text.substr(0, Start));
  if (Line.Source.empty())
    Line.Source = Source;
  std::string_view Remaining = Text.substr(Start);
  bool HasTime = false;
  while (!Remaining.empty()) {
    std::size_t Equals = Remaining.find('=');
    if (Equals == std::string_view::npos)
      break;
    std::string Key(Remaining.substr(0, Equals));
    Remaining.remove_prefix(Equals + 1);
    std::string Value = extractValue(Remaining);
    Remaining.remove_prefix(
        std::min(Remaining.find_first_not_of(" \r\n"), Remaining.size()));
    if (Key == "time") {
      auto Time = parseTime(Value);
      HasTime = Time.has_value();
      Line.Time = Time.value_or(Line.Time);
    } else if (Key == "event") {
      Line.Event = std::move(Value);
    } else {
      Line.Fields.emplace_back(std::move(Key), std::move(Value));
    }
  }
  if (!HasTime || Line.Event.empty())
    return std::nullopt;
  return Line;
}

std::string timeText(system_clock::time_point Time) {
  auto WholeSeconds = std::chrono::floor<std::chrono::seconds>(Time);
  std::time_t Seconds = system_clock::to_time_t(WholeSeconds);
  std::tm Parts{};
  gmtime_r(&Seconds, &Parts);
  char Text[sizeof "HH:MM:SS"];
  std::strftime(Text, sizeof Text, "%H:%M:%S", &Parts);
  auto Milliseconds =
      std::chrono::duration_cast<milliseconds>(Time - WholeSeconds).count();
  std::string Fraction = std::to_string(Milliseconds);
  return std::string(Text) + "." + std::string(3 - Fraction.size(), '0') +
         Fraction;
}

} // namespace bergamotstage::explain
