// Encodes a session token, then decodes it for its own and another account.
#include "bergamotstage/session/SessionToken.h"

#include <iostream>

using namespace bergamotstage;

int main() {
  const char *Secret = "shared by all VMs";
  SessionToken Token;
  Token.raise(DatabaseId("waitlist-a"), {Term(4), LogPosition(120)});
  std::string Text = encodeToken(Token, AccountId("ward-1"), Secret);
  auto Same = decodeToken(Text, AccountId("ward-1"), Secret);
  auto Other = decodeToken(Text, AccountId("ward-2"), Secret);
  const HistoryPoint &Seen = Same->Points.at(DatabaseId("waitlist-a"));
  std::cout << "term " << Seen.AtTerm << " position " << Seen.Position << "\n"
            << "another account: " << (Other ? "accepted" : "refused") << "\n";
}
