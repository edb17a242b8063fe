#include "bergamotstage/session/SessionToken.h"

#include "bergamotstage/core/Digest.h"
#include "bergamotstage/core/Parse.h"

#include <cstddef>

namespace bergamotstage {
namespace {

constexpr std::size_t TagBytes = 16;
constexpr std::string_view TokenVersion = "t2";
constexpr std::string_view UncertainMark = "u";
constexpr std::string_view IncompleteMark = "p";

std::string authenticationTag(std::string_view Body, const AccountId &Account,
                              std::string_view Secret) {
  std::string Input = Account.value();
  Input += '\0';
  Input += Body;
  return toHex(hmacSha256(Secret, Input).substr(0, TagBytes));
}

/// @brief Removes and returns the text up to a separator.
std::optional<std::string_view> consumeUntil(std::string_view &Text, char End) {
  std::size_t At = Text.find(End);
  if (At == std::string_view::npos)
    return std::nullopt;
  std::string_view Field = Text.substr(0, At);
  Text.remove_prefix(At + 1);
  return Field;
}

/// @brief Decodes `database:term:position:marks:replica`, names in hexadecimal.
bool decodeEntry(std::string_view Entry, SessionToken &Token) {
  auto Name = consumeUntil(Entry, ':');
  auto TermText = consumeUntil(Entry, ':');
  auto PositionText = consumeUntil(Entry, ':');
  auto Marks = consumeUntil(Entry, ':');
  if (!Name || !TermText || !PositionText || !Marks)
    return false;
  auto Database = fromHex(*Name);
  auto TermValue = parseCount(*TermText);
  auto Position = parseCount(*PositionText);
  auto Replica = fromHex(Entry);
  if (!Database || !TermValue || !Position || !Replica)
    return false;
  DatabaseId Id(*Database);
  Token.raise(Id, {Term(*TermValue), LogPosition(*Position)});
  if (*Marks == UncertainMark)
    Token.UncertainDatabases.insert(Id);
  if (!Replica->empty())
    Token.CoveringReplicas[Id] = TargetId(*Replica);
  return true;
}

/// @brief Decodes `session-id:marks`.
bool decodeHeader(std::string_view Header, SessionToken &Token) {
  auto IdText = consumeUntil(Header, ':');
  auto SessionId = IdText ? parseCount(*IdText) : std::nullopt;
  if (!SessionId)
    return false;
  Token.SessionId = *SessionId;
  Token.Complete = Header != IncompleteMark;
  return true;
}

std::string encodeEntry(const SessionToken &Token, const DatabaseId &Database,
                        const HistoryPoint &Point) {
  auto Replica = Token.CoveringReplicas.find(Database);
  std::string Entry = toHex(Database.value());
  Entry += ':' + std::to_string(Point.AtTerm.value());
  Entry += ':' + std::to_string(Point.Position.value()) + ':';
  if (Token.UncertainDatabases.count(Database) > 0)
    Entry += UncertainMark;
  Entry += ':';
  if (Replica != Token.CoveringReplicas.end())
    Entry += toHex(Replica->second.value());
  return Entry;
}

} // namespace

void SessionToken::raise(const DatabaseId &Database,
                         const HistoryPoint &Point) {
  HistoryPoint &RequiredPoint = Points[Database];
  if (!(RequiredPoint < Point))
    return;
  RequiredPoint = Point;
  CoveringReplicas.erase(Database);
}

void SessionToken::raise(const DatabaseId &Database, const HistoryPoint &Point,
                         const TargetId &Replica) {
  raise(Database, Point);
  bool HasReplica = !Replica.value().empty();
  if (HasReplica && Points[Database] == Point)
    CoveringReplicas[Database] = Replica;
}

void SessionToken::markUncertain(const DatabaseId &Database) {
  raise(Database, HistoryPoint());
  UncertainDatabases.insert(Database);
}

void SessionToken::clearUncertain(const DatabaseId &Database,
                                  const HistoryPoint &Point) {
  raise(Database, Point);
  UncertainDatabases.erase(Database);
}

bool SessionToken::coversAllWrites(const DatabaseId &Database) const {
  bool HasPoint = Points.count(Database) > 0;
  return (HasPoint || Complete) && UncertainDatabases.count(Database) == 0;
}

HistoryPoint SessionToken::requiredPoint(const DatabaseId &Database) const {
  auto Found = Points.find(Database);
  return Found == Points.end() ? HistoryPoint() : Found->second;
}

std::string encodeToken(const SessionToken &Token, const AccountId &Account,
                        std::string_view Secret) {
  std::string Body(TokenVersion);
  Body += '.' + std::to_string(Token.SessionId) + ':';
  if (!Token.Complete)
    Body += IncompleteMark;
  for (const auto &[Database, Point] : Token.Points)
    Body += '.' + encodeEntry(Token, Database, Point);
  return Body + "." + authenticationTag(Body, Account, Secret);
}

std::optional<SessionToken> decodeToken(std::string_view Text,
                                        const AccountId &Account,
                                        std::string_view Secret) {
  std::size_t LastDot = Text.rfind('.');
  if (LastDot == std::string_view::npos)
    return std::nullopt;
  std::string_view Body = Text.substr(0, LastDot);
  std::string Expected = authenticationTag(Body, Account, Secret);
  if (!equalInConstantTime(Expected, Text.substr(LastDot + 1)))
    return std::nullopt;
  if (Body.substr(0, TokenVersion.size()) != TokenVersion)
    return std::nullopt;
  Body.remove_prefix(TokenVersion.size());
  SessionToken Token;
  bool HeaderRead = false;
  while (!Body.empty()) {
    Body.remove_prefix(1);
    std::string_view Entry = Body.substr(0, Body.find('.'));
    Body.remove_prefix(Entry.size());
    bool Valid =
        HeaderRead ? decodeEntry(Entry, Token) : decodeHeader(Entry, Token);
    if (!Valid)
      return std::nullopt;
    HeaderRead = true;
  }
  if (!HeaderRead)
    return std::nullopt;
  return Token;
}

} // namespace bergamotstage
