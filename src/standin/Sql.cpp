#include "standin/Sql.h"

#include "bergamotstage/core/Parse.h"

#include <cctype>
#include <cstddef>

namespace bergamotstage::standin {
namespace {

struct Token {
  std::string Text; ///< Keywords and names are in lower case.
  bool Literal = false;
};

using Tokens = std::vector<Token>;
using Parameters = std::vector<std::optional<std::string>>;
using Parsed = tl::expected<Sql, std::string>;

bool isWord(char Letter) {
  return std::isalnum(static_cast<unsigned char>(Letter)) != 0 ||
         Letter == '_' || Letter == '.' || Letter == '-';
}

Token readQuoted(std::string_view Text, std::size_t &Offset) {
  Token Quoted{"", true};
  for (++Offset; Offset < Text.size(); ++Offset) {
    if (Text[Offset] == '\'') {
      bool Doubled = Offset + 1 < Text.size() && Text[Offset + 1] == '\'';
      if (!Doubled)
        break;
      ++Offset;
    }
    Quoted.Text += Text[Offset];
  }
  ++Offset;
  return Quoted;
}

Token readWord(std::string_view Text, std::size_t &Offset) {
  Token Word;
  bool Number = std::isdigit(static_cast<unsigned char>(Text[Offset])) != 0;
  Word.Literal = Number;
  while (Offset < Text.size() && isWord(Text[Offset]))
    Word.Text += static_cast<char>(
        std::tolower(static_cast<unsigned char>(Text[Offset++])));
  return Word;
}

Token readParameter(std::string_view Text, std::size_t &Offset,
                    const Parameters &Values) {
  std::size_t Start = ++Offset;
  while (Offset < Text.size() &&
         std::isdigit(static_cast<unsigned char>(Text[Offset])) != 0)
    ++Offset;
  std::size_t Index =
      parseCount(Text.substr(Start, Offset - Start)).value_or(0);
  bool Given = Index >= 1 && Index <= Values.size();
  return {Given ? Values[Index - 1].value_or("") : "", true};
}

Tokens tokenize(std::string_view Text, const Parameters &Values) {
  Tokens TokenList;
  std::size_t Offset = 0;
  while (Offset < Text.size()) {
    char Letter = Text[Offset];
    if (std::isspace(static_cast<unsigned char>(Letter)) != 0 ||
        Letter == ';') {
      ++Offset;
    } else if (Letter == '\'') {
      TokenList.push_back(readQuoted(Text, Offset));
    } else if (Letter == '$') {
      TokenList.push_back(readParameter(Text, Offset, Values));
    } else if (isWord(Letter)) {
      TokenList.push_back(readWord(Text, Offset));
    } else {
      TokenList.push_back({std::string(1, Letter), false});
      ++Offset;
    }
  }
  return TokenList;
}

/// @brief Reads the tokens of one statement in order.
class TokenCursor {
public:
  explicit TokenCursor(const Tokens &TokenList) : m_List(TokenList) {}

  bool atEnd() const { return m_Next >= m_List.size(); }
  bool accept(std::string_view Word) {
    if (atEnd() || m_List[m_Next].Literal || m_List[m_Next].Text != Word)
      return false;
    ++m_Next;
    return true;
  }
  /// @brief Consumes all the given words or none of them.
  bool acceptAll(std::initializer_list<std::string_view> Words) {
    std::size_t Start = m_Next;
    for (std::string_view Word : Words) {
      if (!accept(Word)) {
        m_Next = Start;
        return false;
      }
    }
    return true;
  }
  std::optional<std::string> acceptLiteral() {
    if (atEnd() || !m_List[m_Next].Literal)
      return std::nullopt;
    return m_List[m_Next++].Text;
  }
  std::string next() { return atEnd() ? "" : m_List[m_Next++].Text; }

private:
  const Tokens &m_List;
  std::size_t m_Next = 0;
};

std::optional<std::string> acceptWhereKey(TokenCursor &Cursor) {
  if (!Cursor.acceptAll({"where", "key", "="}))
    return std::nullopt;
  return Cursor.acceptLiteral();
}

tl::unexpected<std::string> unsupportedStatement() {
  return tl::make_unexpected(
      std::string("the stand-in does not support this statement"));
}

Parsed finishStatement(TokenCursor &Cursor, Sql Statement) {
  if (!Cursor.atEnd())
    return unsupportedStatement();
  return Statement;
}

Parsed parseInsert(TokenCursor &Cursor) {
  Insert Statement;
  Statement.Table = Cursor.next();
  if (!Cursor.acceptAll({"values", "("}))
    return unsupportedStatement();
  do {
    std::optional<std::string> Cell = Cursor.acceptLiteral();
    if (!Cell)
      return unsupportedStatement();
    Statement.Cells.push_back(*Cell);
  } while (Cursor.accept(","));
  if (!Cursor.accept(")"))
    return unsupportedStatement();
  Statement.IgnoreConflict =
      Cursor.acceptAll({"on", "conflict", "do", "nothing"});
  return finishStatement(Cursor, Statement);
}

Parsed parseUpdate(TokenCursor &Cursor) {
  Update Statement;
  Statement.Table = Cursor.next();
  if (!Cursor.acceptAll({"set", "value", "="}))
    return unsupportedStatement();
  Statement.Add = Cursor.acceptAll({"value", "+"});
  Statement.Value = Cursor.acceptLiteral().value_or("");
  Statement.Key = acceptWhereKey(Cursor).value_or("");
  return finishStatement(Cursor, Statement);
}

Parsed parseDelete(TokenCursor &Cursor) {
  Delete Statement;
  Statement.Table = Cursor.next();
  Statement.Key = acceptWhereKey(Cursor);
  return finishStatement(Cursor, Statement);
}

Parsed parseSelect(TokenCursor &Cursor) {
  if (std::optional<std::string> Value = Cursor.acceptLiteral())
    return finishStatement(Cursor, SelectLiteral{*Value});
  if (Cursor.acceptAll({"pg_sleep", "("})) {
    Sleep Statement{
        parseNumber(Cursor.acceptLiteral().value_or("")).value_or(0)};
    Cursor.accept(")");
    return finishStatement(Cursor, Statement);
  }
  if (Cursor.acceptAll({"generate_series", "("})) {
    Cursor.acceptLiteral();
    Cursor.accept(",");
    Series Statement{
        parseCount(Cursor.acceptLiteral().value_or("")).value_or(0)};
    Cursor.accept(")");
    return finishStatement(Cursor, Statement);
  }
  Select Statement;
  Statement.Projection = Cursor.next();
  if (Statement.Projection == "count" && !Cursor.acceptAll({"(", "*", ")"}))
    return unsupportedStatement();
  if (!Cursor.accept("from"))
    return unsupportedStatement();
  Statement.Table = Cursor.next();
  Statement.Key = acceptWhereKey(Cursor);
  return finishStatement(Cursor, Statement);
}

Parsed parseFence(TokenCursor &Cursor) {
  Fence Statement;
  Statement.Term = parseCount(Cursor.acceptLiteral().value_or("")).value_or(0);
  Statement.Order = Cursor.next();
  return finishStatement(Cursor, Statement);
}

Parsed parseConfirm(TokenCursor &Cursor) {
  Confirm Statement;
  Statement.Term = parseCount(Cursor.acceptLiteral().value_or("")).value_or(0);
  Statement.Position =
      parseCount(Cursor.acceptLiteral().value_or("")).value_or(0);
  return finishStatement(Cursor, Statement);
}

} // namespace

Parsed parseSql(std::string_view Text, const Parameters &Values) {
  Tokens TokenList = tokenize(Text, Values);
  TokenCursor Cursor(TokenList);
  if (Cursor.acceptAll({"insert", "into"}))
    return parseInsert(Cursor);
  if (Cursor.accept("update"))
    return parseUpdate(Cursor);
  if (Cursor.acceptAll({"delete", "from"}))
    return parseDelete(Cursor);
  if (Cursor.accept("select"))
    return parseSelect(Cursor);
  if (Cursor.accept("confirm"))
    return parseConfirm(Cursor);
  if (Cursor.accept("fence"))
    return parseFence(Cursor);
  if (Cursor.accept("begin"))
    return Control{Control::Kind::Begin};
  if (Cursor.accept("commit") || Cursor.accept("end"))
    return Control{Control::Kind::Commit};
  if (Cursor.accept("rollback"))
    return Control{Control::Kind::Rollback};
  if (Cursor.accept("discard"))
    return Control{Control::Kind::Discard};
  if (Cursor.accept("set"))
    return Control{Control::Kind::Set};
  return unsupportedStatement();
}

} // namespace bergamotstage::standin
