#include "ConfigCheckFiles.h"
#include "bergamotstage/configcheck/NearestName.h"
#include "bergamotstage/configcheck/Report.h"
#include "platform/Documents.h"

#include <nlohmann/json.hpp>

#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <random>

#include <sys/wait.h>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace bergamotstage;
using namespace bergamotstage::checktest;
using configcheck::Draft;
using configcheck::Report;

namespace {

Report checked(const std::string &Text) {
  return configcheck::check(platform::readConfigDraft(Text), nullptr);
}

Report compared(const std::string &Text, const std::string &InForce) {
  Draft Before = platform::readConfigDraft(InForce);
  return configcheck::check(platform::readConfigDraft(Text), &Before);
}

/// @brief Finding of a path, as `reason`, or an empty text.
std::string reasonAt(const std::vector<configcheck::Finding> &Findings,
                     const std::string &Path) {
  for (const configcheck::Finding &Found : Findings)
    if (Found.Path == Path)
      return Found.Reason;
  return "";
}

std::string errorAt(const std::string &Text, const std::string &Path) {
  return reasonAt(checked(Text).Findings.errors(), Path);
}

std::string warningAt(const std::string &Text, const std::string &Path) {
  return reasonAt(checked(Text).Findings.warnings(), Path);
}

std::string effectAt(const Report &Of, const std::string &Path) {
  for (const configcheck::Change &Next : Of.Changes)
    if (Next.Path == Path)
      return effectName(Next.Result);
  return "";
}

/// @brief The valid configuration as version 8, with one text replaced.
std::string next(const std::string &From, const std::string &To) {
  return replaced(replaced(validConfig(), "\"version\": 7", "\"version\": 8"),
                  From, To);
}

std::string effectOf(const std::string &From, const std::string &To,
                     const std::string &Path) {
  return effectAt(compared(next(From, To), validConfig()), Path);
}

void checkContains(const std::string &Text, const std::string &Part) {
  CHECK_TEXT(Text.find(Part) != std::string::npos,
             (Part + " is not in: " + Text).c_str());
}

/// @brief Whether an output has eight characters in a row of a key.
bool revealsKey(const std::string &Output) {
  constexpr std::size_t Length = 8;
  for (const std::string Key : {FirstKey, SecondKey, ThirdKey})
    for (std::size_t At = 0; At + Length <= Key.size(); ++At)
      if (Output.find(Key.substr(At, Length)) != std::string::npos)
        return true;
  return false;
}

std::string bothOutputs(const Report &Of) {
  return renderText(Of, "new.json") + renderJson(Of, "new.json", true);
}

} // namespace

TEST_GROUP(ConfigCheck){};

// Guards against false alarms on a configuration that VMs serve as intended.
TEST(ConfigCheck, ValidConfigurationHasNoFindings) {
  Report Result = checked(validConfig());
  LONGS_EQUAL(0, Result.Findings.errorCount());
  LONGS_EQUAL(0, Result.Findings.warningCount());
  LONGS_EQUAL(0, exitCode(Result, true));
  LONGS_EQUAL(3, Result.Keys);
}

// Guards against a check that stops at the first fault, as VMs do.
TEST(ConfigCheck, ReportsAllFaultsWithTheirPaths) {
  std::string Text = validConfig();
  Text = replaced(Text, "\"timeout_ms\": 2000", "\"timeout_ms\": \"2000\"");
  Text = replaced(Text, "\"bounded\"", "\"sometimes\"");
  Text = replaced(Text, "\"timeout_ms\": 800,", "");
  Text = replaced(Text, "\"rate_per_s\": 20", "\"rate_per_s\": -1");
  Report Result = checked(Text);
  LONGS_EQUAL(4, Result.Findings.errorCount());
  const auto &Errors = Result.Findings.errors();
  CHECK_EQUAL(std::string("is not a non-negative number"),
              reasonAt(Errors, "routes[0].timeout_ms"));
  checkContains(reasonAt(Errors, "routes[0].type"), "is not one of");
  CHECK_EQUAL(std::string("is missing"),
              reasonAt(Errors, "routes[1].timeout_ms"));
  CHECK_EQUAL(std::string("is not a non-negative number"),
              reasonAt(Errors, "tenants[1].rate_per_s"));
  LONGS_EQUAL(2, exitCode(Result, false));
}

// Guards against a check that accepts what VMs refuse.
TEST(ConfigCheck, WhatVmsRefuseIsAnError) {
  for (const char *Text :
       {"", "[]", "{}", "null", "{\"version\": 1}", "not json"}) {
    CHECK_FALSE(platform::parseConfig(Text).has_value());
    CHECK(checked(Text).Findings.errorCount() > 0);
  }
}

// Guards against a fault of the syntax that an operator can't find in a file of
// thousands of lines.
TEST(ConfigCheck, FaultOfTheSyntaxHasItsLine) {
  Report Result = checked(replaced(validConfig(), "\"service\": \"books\"",
                                   "\"service: \"books\""));
  LONGS_EQUAL(1, Result.Findings.errorCount());
  LONGS_EQUAL(4, Result.Findings.errors()[0].Line);
  checkContains(renderText(Result, "f"), "line 4: syntax error");
}

// Guards against a list or limit that another one of the same name replaces.
TEST(ConfigCheck, FieldGivenTwiceIsAnError) {
  checkContains(errorAt(replaced(validConfig(), "\"burst\": 50",
                                 "\"burst\": 50, \"burst\": 5000"),
                        "tenants[0]"),
                "burst is given twice");
  checkContains(errorAt(replaced(validConfig(), "\"limits\"",
                                 "\"routes\": [], \"limits\""),
                        ""),
                "routes is given twice");
}

// Guards against an optional field that a misspelling turns off silently.
TEST(ConfigCheck, MisspelledFieldIsAWarning) {
  checkContains(
      warningAt(replaced(validConfig(), "\"priority\"", "\"priorty\""),
                "routes[0].priority"),
      "similar name");
  CHECK_EQUAL(std::string(), configcheck::nearestName("prefix", {"priority"}));
  CHECK_EQUAL(std::string(), configcheck::nearestName("note", {"name"}));
}

// Guards against routes that no caller can reach or that refuse each of them.
TEST(ConfigCheck, RouteThatCannotMatchIsAnError) {
  checkContains(errorAt(replaced(validConfig(), "\"catalog\"", "\"ledger\""),
                        "routes[1].database"),
                "\"ledger\" is also given at routes[0]");
  checkContains(errorAt(replaced(validConfig(), "\"service\": \"books\"",
                                 "\"service\": \"boks\""),
                        "routes[0].service"),
                "service \"boks\" is missing");
  checkContains(errorAt(replaced(validConfig(), "\"ledger\"", "\"led ger\""),
                        "routes[0].database"),
                "white space");
}

// Guards against callers that count as another account, or need no key.
TEST(ConfigCheck, AmbiguousAndEmptyKeysAreErrors) {
  checkContains(errorAt(replaced(validConfig(), ThirdKey, SecondKey),
                        "tenants[1].api_keys[0]"),
                "also listed at tenants[0].api_keys[1]");
  checkContains(
      errorAt(replaced(validConfig(), ThirdKey, ""), "tenants[1].api_keys[0]"),
      "without a key are accepted");
  checkContains(errorAt(replaced(validConfig(), "\"south\"", "\"north\""),
                        "tenants[1].name"),
                "also given at tenants[0]");
  checkContains(warningAt(replaced(validConfig(), SecondKey, FirstKey),
                          "tenants[0].api_keys[1]"),
                "also listed at tenants[0].api_keys[0]");
}

// Guards against accounts and services that nothing can use.
TEST(ConfigCheck, UnusedEntriesAreWarnings) {
  std::string NoKey =
      replaced(validConfig(), "[\"" + std::string(ThirdKey) + "\"]", "[]");
  checkContains(warningAt(NoKey, "tenants[1].api_keys"), "has no key");
  checkContains(
      warningAt(replaced(NoKey, "\"public\": true", "\"public\": false"),
                "tenants[1].api_keys"),
      "no route is public");
  checkContains(warningAt(replaced(validConfig(), "\"services\": [",
                                   "\"services\": [{\"name\": \"spare\", "
                                   "\"max_connections\": 9}, "),
                          "services[0]"),
                "no route uses");
  std::string Apart =
      replaced(validConfig(), "\"public\": false",
               "\"public\": false, \"allowed_regions\": [\"alps\"]");
  Apart = replaced(Apart, "\"burst\": 50",
                   "\"burst\": 50, \"allowed_regions\": [\"coast\"]");
  Apart = replaced(Apart, "\"burst\": 5}",
                   "\"burst\": 5, \"allowed_regions\": [\"coast\"]}");
  checkContains(warningAt(Apart, "routes[0].allowed_regions"), "no account");
}

// Guards against limits of which one makes the other useless.
TEST(ConfigCheck, ContradictingLimitsAreWarnings) {
  auto Warned = [](const char *From, const char *To, const char *Path) {
    return warningAt(replaced(validConfig(), From, To), Path);
  };
  checkContains(Warned(": 2000", ": 400", "routes[0].timeout_ms"),
                "below the latency target");
  checkContains(Warned("\"rate_per_s\": 117", "\"rate_per_s\": 0",
                       "tenants[0].rate_per_s"),
                "with a burst of 50");
  checkContains(Warned(": 23", ": 200000", "services[0].max_connections"),
                "more than all VMs can open");
  checkContains(Warned(": 23", ": 3", "services[0].max_connections"),
                "below 4");
  checkContains(Warned(": 23", ": 1e300", "services[0].max_connections"),
                "above 4294967295");
  checkContains(
      Warned(": 23", ": 23, \"cold_start_s\": 9", "services[0].cold_per_s"),
      "no effect");
  checkContains(Warned(": 1500", ": 0", "routes[0].max_staleness_ms"),
                "no replica");
  checkContains(Warned("\"public\": true",
                       "\"public\": true, \"allowed_regions\": []",
                       "routes[1].allowed_regions"),
                "allows all regions");
  checkContains(Warned(": 2500", ": 0", "limits.tx_idle_ms"), "rolled back");
}

// Guards against warnings that fail a script, and errors that don't.
TEST(ConfigCheck, ExitCodeTellsWarningsFromErrors) {
  Report Warned = checked(replaced(validConfig(), ": 2000", ": 400"));
  LONGS_EQUAL(0, exitCode(Warned, false));
  LONGS_EQUAL(1, exitCode(Warned, true));
  LONGS_EQUAL(2, exitCode(checked("{"), false));
}

// Guards against a change whose effect on callers is not named.
TEST(ConfigCheck, ChangesHaveTheirEffects) {
  CHECK_EQUAL(std::string("timeout_lowered"),
              effectOf(": 2000", ": 1999", "routes[0].timeout_ms"));
  CHECK_EQUAL(std::string("timeout_raised"),
              effectOf(": 2000", ": 2001", "routes[0].timeout_ms"));
  CHECK_EQUAL(std::string("callers_refused"),
              effectOf("true", "false", "routes[1].public"));
  CHECK_EQUAL(std::string("callers_refused"),
              effectOf("\"catalog\"", "\"index\"", "in force: routes[1]"));
  CHECK_EQUAL(std::string("rate_lowered"),
              effectOf(": 117", ": 116", "tenants[0].rate_per_s"));
  CHECK_EQUAL(std::string("rate_lowered"),
              effectOf("\"burst\": 50", "\"burst\": 49", "tenants[0].burst"));
  CHECK_EQUAL(std::string("keys_withdrawn"),
              effectOf(FirstKey, "new-key", "tenants[0].api_keys"));
  CHECK_EQUAL(
      std::string("priority_lowered"),
      effectOf("\"priority\": 2", "\"priority\": 3", "routes[0].priority"));
  CHECK_EQUAL(std::string("reads_changed"),
              effectOf("bounded", "read_your_writes", "routes[0].type"));
  CHECK_EQUAL(std::string("connections_lowered"),
              effectOf(": 23", ": 22", "services[0].max_connections"));
  CHECK_EQUAL(std::string("durability_changed"),
              effectOf("\"sync_replicas\": 1", "\"sync_replicas\": 0",
                       "services[0].sync_replicas"));
  CHECK_EQUAL(std::string("timeout_lowered"),
              effectOf(": 2500", ": 2400", "limits.tx_idle_ms"));
}

// Guards against a removed account whose moved key is reported as withdrawn.
TEST(ConfigCheck, KeyOfARemovedAccountMayMove) {
  std::string Removed =
      next(std::string("\"") + SecondKey + "\"],",
           std::string("\"") + SecondKey + "\", \"" + ThirdKey + "\"],");
  Removed = Removed.substr(0, Removed.find(",\n {\"name\": \"south\"")) + "]}";
  Report Result = compared(Removed, validConfig());
  LONGS_EQUAL(0, Result.Findings.errorCount());
  CHECK_EQUAL(std::string("keys_moved"),
              effectAt(Result, "in force: tenants[1].api_keys"));
}

// Guards against a file that VMs ignore because its version isn't newer.
TEST(ConfigCheck, VersionMustBeAboveTheOneInForce) {
  std::string Changed = replaced(validConfig(), ": 2000", ": 1999");
  checkContains(
      reasonAt(compared(Changed, validConfig()).Findings.errors(), "version"),
      "not above that in force");
  LONGS_EQUAL(0, exitCode(compared(validConfig(), validConfig()), true));
  LONGS_EQUAL(2, exitCode(compared(validConfig(), "{}"), false));
}

// Guards against a change of the output that operators would have to relearn.
TEST(ConfigCheck, TextForPeople) {
  std::string Text = next(": 2000", ": 300");
  Text = replaced(Text, "\"public\": true", "\"public\": false");
  Text = replaced(Text, ThirdKey, "");
  Text = replaced(Text, ": 117", ": 100");
  CHECK_EQUAL(
      std::string(
          "new.json: version 8, 2 routes, 1 service, 2 accounts, 3 keys\n"
          "errors:\n"
          "  tenants[1].api_keys[0]: is empty, so that callers without a key "
          "are accepted for this account\n"
          "warnings:\n"
          "  routes[0].timeout_ms: 300 ms is below the latency target of 500 "
          "ms\n"
          "changes from version 7:\n"
          "  route \"ledger\"\n"
          "    routes[0].timeout_ms: 2000 -> 300; statements that take longer "
          "are ended\n"
          "  route \"catalog\"\n"
          "    routes[1].public: true -> false; callers without a key are "
          "refused\n"
          "  account \"north\"\n"
          "    tenants[0].rate_per_s: 117 -> 100; operations beyond the lower "
          "rate are refused\n"
          "  account \"south\"\n"
          "    tenants[1].api_keys: 1 key -> 1 key; callers with 1 withdrawn "
          "key are refused\n"
          "    tenants[1].api_keys: 1 key -> 1 key; 1 key added\n"
          "1 error, 1 warning, 5 changes\n"),
      renderText(compared(Text, validConfig()), "new.json"));
}

// Guards against JSON that programs can't parse or that lacks an effect.
TEST(ConfigCheck, JsonForPrograms) {
  Report Result = compared(next(": 2000", ": 300"), validConfig());
  auto Root = nlohmann::json::parse(renderJson(Result, "new\xff.json", true),
                                    nullptr, false);
  CHECK_TRUE(Root.is_object());
  LONGS_EQUAL(1, Root["exit_code"].get<int>());
  LONGS_EQUAL(1, Root["warnings"].size());
  CHECK_EQUAL(std::string("routes[0].timeout_ms"),
              Root["warnings"][0]["path"].get<std::string>());
  CHECK_EQUAL(std::string("timeout_lowered"),
              Root["changes"][0]["effect"].get<std::string>());
  CHECK_EQUAL(std::string("ledger"),
              Root["changes"][0]["name"].get<std::string>());
}

// Guards against keys in the output, also where they were entered as names, and
// against names that control the terminal.
TEST(ConfigCheck, KeysAndControlCharactersAreNotPrinted) {
  std::string Text =
      replaced(validConfig(), "\"south\"", "\"" + std::string(FirstKey) + "\"");
  Text = replaced(Text, "\"ledger\"", "\"led\\u001b[2Jger\"");
  Text = replaced(Text, "\"service\": \"books\"",
                  "\"service\": \"" + std::string(ThirdKey) + "\"");
  Text = replaced(Text, "\"burst\": 5}",
                  "\"burst\": 5, \"" + std::string(SecondKey) + "\": 1, \"" +
                      SecondKey + "\": 2}");
  std::string Output = bothOutputs(compared(Text, validConfig()));
  CHECK_FALSE(revealsKey(Output));
  CHECK(Output.find('\x1b') == std::string::npos);
  checkContains(Output, "led\\x1b[2Jger");
  for (std::size_t Cut = 1; Cut < validConfig().size(); Cut += 3)
    CHECK_FALSE(revealsKey(bothOutputs(checked(validConfig().substr(0, Cut)))));
}

// Guards against crashes, faults without a name, and keys in messages about
// malformed input. What VMs refuse must never pass the check.
TEST(ConfigCheck, MutatedConfigurationIsCheckedWithoutACrash) {
  constexpr unsigned Cases = 3000;
  constexpr std::uint64_t Seed = 20264;
  std::mt19937_64 Random(Seed);
  unsigned Refused = 0;
  for (unsigned Case = 0; Case < Cases; ++Case) {
    std::string Text = validConfig();
    for (std::uint64_t Change = 1 + Random() % 4; Change > 0; --Change) {
      std::size_t At = Random() % Text.size();
      switch (Random() % 4) {
      case 0:
        Text.insert(At, 1, static_cast<char>(Random() % 256));
        break;
      case 1:
        Text.erase(At, 1 + Random() % 8);
        break;
      case 2:
        Text.insert(At, Text.substr(At, Random() % 20));
        break;
      default:
        Text[At] = "{}[]\":,0-e\\ "[Random() % 12];
      }
    }
    Report Result = compared(Text, validConfig());
    CHECK_FALSE(revealsKey(bothOutputs(Result)));
    if (platform::parseConfig(Text))
      continue;
    ++Refused;
    CHECK(Result.Findings.errorCount() > 0);
  }
  CHECK(Refused > Cases / 10);
  CHECK(Refused < Cases);
}

// Guards against input whose check takes far longer than its length suggests,
// and output that grows with the faults. A release build is given one second of
// processor time of this process, which does not depend on the load of the
// machine. A build with sanitizers is slower; there only the amount of work,
// which shows in the stored findings and the output, is bounded.
TEST(ConfigCheck, OneMebibyteIsCheckedInASecond) {
  constexpr std::size_t Bytes = 1U << 20;
  auto Repeated = [&](const std::string &Head, const std::string &Part,
                      const std::string &Tail) {
    std::string Text = Head + Part;
    while (Text.size() < Bytes)
      Text += (Head.empty() ? "" : ",") + Part;
    return Text + Tail;
  };
  const std::string Lists = R"({"version": 7, "services": [], "routes": [)";
  const std::string Account =
      R"({"name":"a","api_keys":["k"],"rate_per_s":1,"burst":1})";
  const std::vector<std::string> Texts = {
      largeConfig(Bytes),
      Repeated(Lists, "{}", "]}"),
      Repeated(Lists, "0", "]}"),
      Repeated(Lists + "{", "\"priorty\":0", "}]}"),
      Repeated(Lists + "], \"tenants\": [", Account, "]}"),
      std::string(Bytes, '['),
      Repeated("", "{\"a\":", "")};
  for (const std::string &Text : Texts) {
    std::clock_t Start = std::clock();
    Report Result = compared(Text, validConfig());
    std::string Output = bothOutputs(Result);
    double Seconds = double(std::clock() - Start) / CLOCKS_PER_SEC;
    CHECK(Result.Findings.errors().size() <=
          configcheck::FindingList::MaxStored);
    CHECK(Result.Findings.warnings().size() <=
          configcheck::FindingList::MaxStored);
    CHECK(Output.size() < 4 * Text.size());
#ifndef __SANITIZE_ADDRESS__
    CHECK_TEXT(Seconds < 1, std::to_string(Seconds).c_str());
#else
    static_cast<void>(Seconds);
#endif
  }
}

TEST_GROUP(ConfigCheckCommand) {
  void setup() override {
    char Pattern[] = "/tmp/config-check-XXXXXX";
    Folder = mkdtemp(Pattern);
    write("valid.json", validConfig());
    write("warned.json", replaced(validConfig(), ": 2000", ": 400"));
    write("broken.json", "{");
  }

  void teardown() override {
    for (const std::string &Name : Files)
      std::remove((Folder + "/" + Name).c_str());
    rmdir(Folder.c_str());
  }

  void write(const std::string &Name, const std::string &Text) {
    std::ofstream(Folder + "/" + Name) << Text;
    Files.push_back(Name);
  }

  /// @return the exit code of the command with these options
  int run(const std::string &Options) {
    std::string Command = "cd " + Folder +
                          " && " BERGAMOTSTAGE_PROGRAM " check " + Options +
                          " >/dev/null 2>&1";
    int Status = std::system(Command.c_str());
    return WIFEXITED(Status) ? WEXITSTATUS(Status) : -1;
  }

  std::string Folder;
  std::vector<std::string> Files;
};

// Guards against exit codes that scripts can't rely on, and a check of rules
// that the options for configurations broke.
TEST(ConfigCheckCommand, ExitCodes) {
  LONGS_EQUAL(0, run("--config valid.json --strict"));
  LONGS_EQUAL(0, run("--config warned.json"));
  LONGS_EQUAL(1, run("--config warned.json --strict --json"));
  LONGS_EQUAL(2, run("--config broken.json --json"));
  LONGS_EQUAL(2, run("--config missing.json"));
  LONGS_EQUAL(2, run("--config ."));
  LONGS_EQUAL(2, run("--config valid.json --in-force broken.json"));
  LONGS_EQUAL(2, run("--in-force valid.json"));
  write("good.rules", "policy reads nearest-covered # operations\n");
  write("bad.rules", "policy\n");
  LONGS_EQUAL(0, run("--rules good.rules"));
  LONGS_EQUAL(3, run("--rules bad.rules --config valid.json"));
}
