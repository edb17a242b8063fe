#include "bergamotstage/rules/RuleLine.h"

#include <cstddef>

namespace bergamotstage {
namespace {

std::string_view trim(std::string_view Text) {
  const char *Whitespace = " \t\r";
  std::size_t Start = Text.find_first_not_of(Whitespace);
  if (Start == std::string_view::npos)
    return {};
  std::size_t End = Text.find_last_not_of(Whitespace);
  return Text.substr(Start, End - Start + 1);
}

/// @brief Position of the first `#` outside quotes, or npos.
std::size_t findComment(std::string_view Text) {
  bool Quoted = false;
  for (std::size_t At = 0; At < Text.size(); ++At) {
    if (Text[At] == '"')
      Quoted = !Quoted;
    if (Text[At] == '#' && !Quoted)
      return At;
  }
  return std::string_view::npos;
}

/// @brief Extracts the next word without its quotes.
std::string extractWord(std::string_view &Remaining) {
  std::string Word;
  bool Quoted = false;
  std::size_t At = 0;
  for (; At < Remaining.size(); ++At) {
    if (Remaining[At] == '"') {
      Quoted = !Quoted;
      continue;
    }
    if (!Quoted && (Remaining[At] == ' ' || Remaining[At] == '\t'))
      break;
    Word += Remaining[At];
  }
  Remaining = trim(Remaining.substr(At));
  return Word;
}

} // namespace

tl::expected<RuleLine, RuleError> parseRuleLine(unsigned Line,
                                                std::string_view Text) {
  RuleLine Rule;
  Rule.Line = Line;
  std::size_t Comment = findComment(Text);
  if (Comment == std::string_view::npos)
    return tl::make_unexpected(
        RuleError{Line, "no comment that names the author of the rule"});
  Rule.Author = std::string(trim(Text.substr(Comment + 1)));
  if (Rule.Author.empty())
    return tl::make_unexpected(
        RuleError{Line, "the comment does not name the author of the rule"});
  std::string_view Remaining = trim(Text.substr(0, Comment));
  Rule.Kind = extractWord(Remaining);
  while (!Remaining.empty()) {
    std::string Word = extractWord(Remaining);
    std::size_t Equals = Word.find('=');
    if (Equals == std::string::npos) {
      Rule.Arguments.push_back(Word);
      continue;
    }
    std::string Name = Word.substr(0, Equals);
    if (!Rule.Options.emplace(Name, Word.substr(Equals + 1)).second)
      return tl::make_unexpected(
          RuleError{Line, "option '" + Name + "' is given twice"});
  }
  return Rule;
}

} // namespace bergamotstage
