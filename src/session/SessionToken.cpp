#include "bergamotstage/session/SessionToken.h"

#include "bergamotstage/core/Digest.h"
#include "bergamotstage/core/Parse.h"

#include <cstddef>

namespace bergamotstage {
namespace {

constexpr std::size_t TagBytes = 16;
constexpr std::string_view Version = "t1";

std::string authenticationTag(std::string_view Body, const AccountId &Account,
                              std::string_view Secret) {
  std::string Input = Account.value();
  Input += '\0';
  Input += Body;
  return toHex(hmacSha256(Secret, Input).substr(0, TagBytes));
}

/// @brief Cuts off the part of a text before a separator.
std::optional<std::string_view> takePart(std::string_view &Text, char End) {
  std::size_t At = Text.find(End);
  if (At == std::string_view::npos)
    return std::nullopt;
  std::string_view Part = Text.substr(0, At);
  Text.remove_prefix(At + 1);
  return Part;
}

bool decodeEntry(std::string_view Entry, SessionToken &Token) {
  auto Name = takePart(Entry, ':');
  auto TermText = takePart(Entry, ':');
  if (!Name || !TermText)
    return false;
  auto Database = fromHex(*Name);
  auto TermValue = parseCount(*TermText);
  auto Position = parseCount(Entry);
  if (!Database || !TermValue || !Position)
    return false;
  Token.raise(DatabaseId(*Database),
              {Term(*TermValue), LogPosition(*Position)});
  return true;
}

} // namespace

void SessionToken::raise(const DatabaseId &Database,
                         const HistoryPoint &Point) {
  HistoryPoint &Current = Seen[Database];
  if (Current < Point)
    Current = Point;
}

std::string encodeToken(const SessionToken &Token, const AccountId &Account,
                        std::string_view Secret) {
  std::string Body(Version);
  for (const auto &[Database, Point] : Token.Seen) {
    Body += '.' + toHex(Database.value());
    Body += ':' + std::to_string(Point.AtTerm.value());
    Body += ':' + std::to_string(Point.Position.value());
  }
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
  if (Body.substr(0, Version.size()) != Version)
    return std::nullopt;
  Body.remove_prefix(Version.size());
  SessionToken Token;
  while (!Body.empty()) {
    Body.remove_prefix(1);
    std::string_view Entry = Body.substr(0, Body.find('.'));
    Body.remove_prefix(Entry.size());
    if (!decodeEntry(Entry, Token))
      return std::nullopt;
  }
  return Token;
}

} // namespace bergamotstage
