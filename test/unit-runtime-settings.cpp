#include "runtime/Settings.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace bergamotstage;
using namespace bergamotstage::runtime;

namespace {

std::string settingsWith(const std::string &Members) {
  return R"({"vm": "vm-a", "data_centre": "hoan-kiem",
             "listen": "127.0.0.1:6431", "peer_address": "127.0.0.1:7101",
             "platform": "127.0.0.1:7100",
             "token_secret": "a secret for demonstrations",
             "target_user": "bergamotstage")" +
         Members + "}";
}

/// @brief Whether exactly the member of that path is at fault.
bool isOnlyFault(const std::string &Members, const std::string &Path) {
  auto Read = parseSettings(settingsWith(Members));
  return !Read && Read.error().size() == 1 && Read.error()[0].Path == Path;
}

} // namespace

TEST_GROUP(RuntimeSettings){};

TEST(RuntimeSettings, DefaultsLeaveTlsOff) {
  auto Read = parseSettings(settingsWith(""));
  CHECK(Read.has_value());
  CHECK(Read->CallerTls == TlsMode::Off);
  CHECK(!Read->PeerTls);
}

TEST(RuntimeSettings, TlsIsRequiredUnlessAllowed) {
  const char *Files = R"("certificate": "vm.crt", "key": "vm.key"})";
  auto Strict =
      parseSettings(settingsWith(R"(, "caller_tls": {)" + std::string(Files)));
  CHECK(Strict.has_value());
  CHECK(Strict->CallerTls == TlsMode::Required);
  auto Lenient = parseSettings(settingsWith(
      R"(, "caller_tls": {"mode": "allowed", )" + std::string(Files)));
  CHECK(Lenient.has_value());
  CHECK(Lenient->CallerTls == TlsMode::Allowed);
}

TEST(RuntimeSettings, EachFaultNamesItsMember) {
  CHECK(isOnlyFault(R"(, "limit": {})", "limit"));
  CHECK(isOnlyFault(R"(, "limits": {"logins": "1s"})", "limits.logins"));
  CHECK(isOnlyFault(R"(, "limits": {"login": 30})", "limits.login"));
  CHECK(isOnlyFault(R"(, "limits": {"login": "2h"})", "limits.login"));
  CHECK(isOnlyFault(R"(, "limits": {"connections": 0})", "limits.connections"));
  CHECK(isOnlyFault(R"(, "limits": 5)", "limits"));
  CHECK(isOnlyFault(R"(, "caller_tls": {"certificate": "vm.crt"})",
                    "caller_tls.key"));
  CHECK(isOnlyFault(
      R"(, "peer_tls": {"certificate": "a", "key": "b", "authority": 1})",
      "peer_tls.authority"));
}
