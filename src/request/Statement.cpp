#include "bergamotstage/request/Statement.h"

#include <algorithm>
#include <cctype>
#include <cstddef>

namespace bergamotstage {
namespace {

bool isSpace(char Character) {
  return std::isspace(static_cast<unsigned char>(Character)) != 0;
}

bool isWordCharacter(char Character) {
  return std::isalnum(static_cast<unsigned char>(Character)) != 0 ||
         Character == '_' || Character == '.';
}

/// @brief Length of the comment or quoted part that starts at a position, or 0.
std::size_t quotedOrCommentLength(std::string_view Text, std::size_t Position) {
  std::string_view Rest = Text.substr(Position);
  if (Rest.substr(0, 2) == "--") {
    std::size_t End = Rest.find('\n');
    return End == std::string_view::npos ? Rest.size() : End + 1;
  }
  if (Rest.substr(0, 2) == "/*") {
    std::size_t End = Rest.find("*/", 2);
    return End == std::string_view::npos ? Rest.size() : End + 2;
  }
  if (Rest.front() == '\'' || Rest.front() == '"') {
    std::size_t End = Rest.find(Rest.front(), 1);
    return End == std::string_view::npos ? Rest.size() : End + 1;
  }
  return 0;
}

/// @brief Converts a statement to lower case with one space between words;
/// replaces quoted text by `?` and removes comments and final semicolons.
std::string normalize(std::string_view Text) {
  std::string Normalized;
  std::size_t Position = 0;
  while (Position < Text.size()) {
    std::size_t Skipped = quotedOrCommentLength(Text, Position);
    if (Skipped > 0) {
      bool Quoted = Text[Position] == '\'' || Text[Position] == '"';
      Normalized += Quoted ? "?" : " ";
      Position += Skipped;
      continue;
    }
    char Character = Text[Position++];
    if (!isSpace(Character)) {
      Normalized += static_cast<char>(
          std::tolower(static_cast<unsigned char>(Character)));
    } else if (!Normalized.empty() && Normalized.back() != ' ') {
      Normalized += ' ';
    }
  }
  while (!Normalized.empty() &&
         (Normalized.back() == ' ' || Normalized.back() == ';'))
    Normalized.pop_back();
  Normalized.erase(0, Normalized.find_first_not_of(' ') == std::string::npos
                          ? Normalized.size()
                          : Normalized.find_first_not_of(' '));
  return Normalized;
}

bool hasWord(const std::string &Normalized, const std::string &Word) {
  std::size_t Position = Normalized.find(Word);
  while (Position != std::string::npos) {
    bool StartsWord =
        Position == 0 || !isWordCharacter(Normalized[Position - 1]);
    std::size_t End = Position + Word.size();
    bool EndsWord =
        End == Normalized.size() || !isWordCharacter(Normalized[End]);
    if (StartsWord && EndsWord)
      return true;
    Position = Normalized.find(Word, Position + 1);
  }
  return false;
}

std::string wordBefore(const std::string &Normalized, std::size_t Paren) {
  std::size_t End = Paren;
  while (End > 0 && Normalized[End - 1] == ' ')
    --End;
  std::size_t Start = End;
  while (Start > 0 && isWordCharacter(Normalized[Start - 1]))
    --Start;
  return Normalized.substr(Start, End - Start);
}

/// @brief Whether the statement calls only functions that are known to change
/// nothing.
bool callsOnlyPureFunctions(const std::string &Normalized) {
  static const char *const PureFunctions[] = {
      "",     "count", "sum",   "min",    "max",      "avg",    "coalesce",
      "from", "where", "in",    "and",    "or",       "not",    "on",
      "as",   "lower", "upper", "exists", "pg_sleep", "length", "values",
      "any",  "all",   "over",  "using",  "by",       "select", "round"};
  std::size_t Paren = Normalized.find('(');
  while (Paren != std::string::npos) {
    std::string Word = wordBefore(Normalized, Paren);
    bool IsPure =
        std::any_of(std::begin(PureFunctions), std::end(PureFunctions),
                    [&](const char *Name) { return Word == Name; });
    if (!IsPure)
      return false;
    Paren = Normalized.find('(', Paren + 1);
  }
  return true;
}

bool isPureSelect(const std::string &Normalized) {
  static const char *const WritingWords[] = {"into",    "insert", "update",
                                             "delete",  "share",  "merge",
                                             "nextval", "call"};
  for (const char *Word : WritingWords)
    if (hasWord(Normalized, Word))
      return false;
  return callsOnlyPureFunctions(Normalized);
}

/// @brief Whether the text uses quoting that normalize() does not parse:
/// backslash escapes or dollar quotes.
bool hasUnsupportedQuoting(std::string_view Text) {
  if (Text.find('\\') != std::string_view::npos)
    return true;
  for (std::size_t Position = Text.find('$');
       Position != std::string_view::npos;
       Position = Text.find('$', Position + 1)) {
    bool Numbered =
        Position + 1 < Text.size() &&
        std::isdigit(static_cast<unsigned char>(Text[Position + 1])) != 0;
    if (!Numbered)
      return true;
  }
  return false;
}

} // namespace

const char *statementKindName(StatementKind Kind) {
  switch (Kind) {
  case StatementKind::Read:
    return "read";
  case StatementKind::Write:
    return "write";
  case StatementKind::Begin:
    return "begin";
  case StatementKind::Commit:
    return "commit";
  case StatementKind::Rollback:
    return "rollback";
  case StatementKind::Setting:
    return "setting";
  case StatementKind::Unsupported:
    return "unsupported";
  case StatementKind::Empty:
    return "empty";
  }
  return "invalid";
}

StatementKind classifyStatement(std::string_view Text) {
  std::string Normalized = normalize(Text);
  if (Normalized.empty())
    return StatementKind::Empty;
  if (Normalized.find(';') != std::string::npos)
    return StatementKind::Unsupported;
  std::string First = Normalized.substr(0, Normalized.find(' '));
  if (hasUnsupportedQuoting(Text))
    return Text.find(';') == std::string_view::npos
               ? StatementKind::Write
               : StatementKind::Unsupported;
  if (First == "select" || First == "with" || First == "show" ||
      First == "values")
    return isPureSelect(Normalized) ? StatementKind::Read
                                    : StatementKind::Write;
  if (First == "begin" || Normalized.rfind("start transaction", 0) == 0)
    return StatementKind::Begin;
  if (First == "commit" || First == "end")
    return StatementKind::Commit;
  if (First == "rollback" || First == "abort")
    return hasWord(Normalized, "to") ? StatementKind::Write
                                     : StatementKind::Rollback;
  if (First == "set" || First == "reset") {
    bool ProxySetting = Normalized.find(" bergamotstage.") != std::string::npos;
    return ProxySetting ? StatementKind::Setting : StatementKind::Unsupported;
  }
  static const char *const UnsupportedWords[] = {
      "copy",    "listen",     "unlisten", "notify", "prepare",
      "execute", "declare",    "fetch",    "close",  "discard",
      "load",    "deallocate", "confirm",  "fence",  "lock"};
  for (const char *Word : UnsupportedWords)
    if (First == Word)
      return StatementKind::Unsupported;
  return StatementKind::Write;
}

StatementKind statementKind(const StatementBody &Body) {
  return Body.DescribeOnly ? StatementKind::Read : classifyStatement(Body.Text);
}

SettingChange parseSetting(std::string_view Text) {
  std::size_t Start = Text.find("bergamotstage.");
  if (Start == std::string_view::npos)
    return {};
  std::size_t End = Start;
  while (End < Text.size() && isWordCharacter(Text[End]))
    ++End;
  SettingChange Change;
  Change.Name = std::string(Text.substr(Start, End - Start));
  std::transform(
      Change.Name.begin(), Change.Name.end(), Change.Name.begin(),
      [](unsigned char Character) { return std::tolower(Character); });
  std::string_view Rest = Text.substr(End);
  while (!Rest.empty() && (isSpace(Rest.front()) || Rest.front() == '='))
    Rest.remove_prefix(1);
  if (Rest.substr(0, 3) == "to " || Rest.substr(0, 3) == "TO ")
    Rest.remove_prefix(3);
  while (!Rest.empty() && (isSpace(Rest.back()) || Rest.back() == ';'))
    Rest.remove_suffix(1);
  if (Rest.size() >= 2 && Rest.front() == '\'' && Rest.back() == '\'')
    Rest = Rest.substr(1, Rest.size() - 2);
  Change.Value = std::string(Rest);
  return Change;
}

} // namespace bergamotstage
