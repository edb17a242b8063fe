#include "standin/Sql.h"

#include "bergamotstage/core/Parse.h"

#include <cctype>
#include <cstddef>

namespace bergamotstage::standin {
namespace {

struct Token {
  std::string Text; ///< Words in lower case.
  bool Literal = false;
};

using Tokens = std::vector<Token>;
using Parameters = std::vector<std::optional<std::string>>;
using Parsed = tl::expected<Sql, std::string>;

bool isWord(char Letter) {
  return std::isalnum(static_cast<unsigned char>(Letter)) != 0 ||
         Letter == '_' || Letter == '.' || Letter == '-';
}

Token quoted(std::string_view Text, std::size_t &At) {
  Token Next{"", true};
  for (++At; At < Text.size(); ++At) {
    if (Text[At] == '\'') {
      bool Doubled = At + 1 < Text.size() && Text[At + 1] == '\'';
      if (!Doubled)
        break;
      ++At;
    }
    Next.Text += Text[At];
  }
  ++At;
  return Next;
}

Token word(std::string_view Text, std::size_t &At) {
  Token Next;
  bool Number = std::isdigit(static_cast<unsigned char>(Text[At])) != 0;
  Next.Literal = Number;
  while (At < Text.size() && isWord(Text[At]))
    Next.Text +=
        static_cast<char>(std::tolower(static_cast<unsigned char>(Text[At++])));
  return Next;
}

Token parameter(std::string_view Text, std::size_t &At,
                const Parameters &Values) {
  std::size_t Start = ++At;
  while (At < Text.size() &&
         std::isdigit(static_cast<unsigned char>(Text[At])) != 0)
    ++At;
  std::size_t Index = parseCount(Text.substr(Start, At - Start)).value_or(0);
  bool Given = Index >= 1 && Index <= Values.size();
  return {Given ? Values[Index - 1].value_or("") : "", true};
}

Tokens tokenize(std::string_view Text, const Parameters &Values) {
  Tokens List;
  std::size_t At = 0;
  while (At < Text.size()) {
    char Letter = Text[At];
    if (std::isspace(static_cast<unsigned char>(Letter)) != 0 ||
        Letter == ';') {
      ++At;
    } else if (Letter == '\'') {
      List.push_back(quoted(Text, At));
    } else if (Letter == '$') {
      List.push_back(parameter(Text, At, Values));
    } else if (isWord(Letter)) {
      List.push_back(word(Text, At));
    } else {
      List.push_back({std::string(1, Letter), false});
      ++At;
    }
  }
  return List;
}

/// @brief Walks over the tokens of one statement.
class Walker {
public:
  explicit Walker(const Tokens &List) : m_List(List) {}

  bool atEnd() const { return m_At >= m_List.size(); }
  bool take(std::string_view Word) {
    if (atEnd() || m_List[m_At].Literal || m_List[m_At].Text != Word)
      return false;
    ++m_At;
    return true;
  }
  /// @brief Takes all the given words or none.
  bool takeAll(std::initializer_list<std::string_view> Words) {
    std::size_t Start = m_At;
    for (std::string_view Word : Words) {
      if (!take(Word)) {
        m_At = Start;
        return false;
      }
    }
    return true;
  }
  std::optional<std::string> literal() {
    if (atEnd() || !m_List[m_At].Literal)
      return std::nullopt;
    return m_List[m_At++].Text;
  }
  std::string any() { return atEnd() ? "" : m_List[m_At++].Text; }

private:
  const Tokens &m_List;
  std::size_t m_At = 0;
};

std::optional<std::string> whereKey(Walker &Walk) {
  if (!Walk.takeAll({"where", "key", "="}))
    return std::nullopt;
  return Walk.literal();
}

tl::unexpected<std::string> unknown() {
  return tl::make_unexpected(
      std::string("the stand-in does not know this statement"));
}

Parsed finishAt(Walker &Walk, Sql Statement) {
  if (!Walk.atEnd())
    return unknown();
  return Statement;
}

Parsed parseInsert(Walker &Walk) {
  Insert Statement;
  Statement.Table = Walk.any();
  if (!Walk.takeAll({"values", "("}))
    return unknown();
  do {
    std::optional<std::string> Cell = Walk.literal();
    if (!Cell)
      return unknown();
    Statement.Cells.push_back(*Cell);
  } while (Walk.take(","));
  if (!Walk.take(")"))
    return unknown();
  Statement.IgnoreConflict = Walk.takeAll({"on", "conflict", "do", "nothing"});
  return finishAt(Walk, Statement);
}

Parsed parseUpdate(Walker &Walk) {
  Update Statement;
  Statement.Table = Walk.any();
  if (!Walk.takeAll({"set", "value", "="}))
    return unknown();
  Statement.Add = Walk.takeAll({"value", "+"});
  Statement.Value = Walk.literal().value_or("");
  Statement.Key = whereKey(Walk).value_or("");
  return finishAt(Walk, Statement);
}

Parsed parseDelete(Walker &Walk) {
  Delete Statement;
  Statement.Table = Walk.any();
  Statement.Key = whereKey(Walk);
  return finishAt(Walk, Statement);
}

Parsed parseSelect(Walker &Walk) {
  if (std::optional<std::string> Value = Walk.literal())
    return finishAt(Walk, SelectLiteral{*Value});
  if (Walk.takeAll({"pg_sleep", "("})) {
    Sleep Statement{parseNumber(Walk.literal().value_or("")).value_or(0)};
    Walk.take(")");
    return finishAt(Walk, Statement);
  }
  if (Walk.takeAll({"generate_series", "("})) {
    Walk.literal();
    Walk.take(",");
    Series Statement{parseCount(Walk.literal().value_or("")).value_or(0)};
    Walk.take(")");
    return finishAt(Walk, Statement);
  }
  Select Statement;
  Statement.What = Walk.any();
  if (Statement.What == "count" && !Walk.takeAll({"(", "*", ")"}))
    return unknown();
  if (!Walk.take("from"))
    return unknown();
  Statement.Table = Walk.any();
  Statement.Key = whereKey(Walk);
  return finishAt(Walk, Statement);
}

Parsed parseFence(Walker &Walk) {
  Fence Statement;
  Statement.Term = parseCount(Walk.literal().value_or("")).value_or(0);
  Statement.Order = Walk.any();
  return finishAt(Walk, Statement);
}

Parsed parseConfirm(Walker &Walk) {
  Confirm Statement;
  Statement.Term = parseCount(Walk.literal().value_or("")).value_or(0);
  Statement.Position = parseCount(Walk.literal().value_or("")).value_or(0);
  return finishAt(Walk, Statement);
}

} // namespace

Parsed parseSql(std::string_view Text, const Parameters &Values) {
  Tokens List = tokenize(Text, Values);
  Walker Walk(List);
  if (Walk.takeAll({"insert", "into"}))
    return parseInsert(Walk);
  if (Walk.take("update"))
    return parseUpdate(Walk);
  if (Walk.takeAll({"delete", "from"}))
    return parseDelete(Walk);
  if (Walk.take("select"))
    return parseSelect(Walk);
  if (Walk.take("confirm"))
    return parseConfirm(Walk);
  if (Walk.take("fence"))
    return parseFence(Walk);
  if (Walk.take("begin"))
    return Control{Control::Kind::Begin};
  if (Walk.take("commit") || Walk.take("end"))
    return Control{Control::Kind::Commit};
  if (Walk.take("rollback"))
    return Control{Control::Kind::Rollback};
  if (Walk.take("discard"))
    return Control{Control::Kind::Discard};
  if (Walk.take("set"))
    return Control{Control::Kind::Set};
  return unknown();
}

} // namespace bergamotstage::standin
