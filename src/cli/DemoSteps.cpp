#include "cli/DemoSteps.h"

#include "cli/OperatorClient.h"
#include "runtime/TextFile.h"

#include <iostream>
#include <sstream>
#include <thread>

namespace bergamotstage::cli {
namespace {

using Clock = std::chrono::steady_clock;

constexpr auto RetryInterval = std::chrono::milliseconds(50);
constexpr auto StartupTimeout = std::chrono::seconds(15);
constexpr auto CatchUpTime = std::chrono::milliseconds(200);
constexpr auto FailoverTimeout = std::chrono::seconds(11);
constexpr auto WithdrawalTimeout = std::chrono::seconds(9);

/// @brief Repeats an attempt until it succeeds or the timeout expires.
bool retry(Clock::duration Timeout, const std::function<bool()> &Attempt) {
  Clock::time_point Deadline = Clock::now() + Timeout;
  while (!Attempt()) {
    if (Clock::now() >= Deadline)
      return false;
    std::this_thread::sleep_for(RetryInterval);
  }
  return true;
}

std::string describe(const DemoClient &Client, const ClientAnswer &Answer) {
  if (Answer.SqlState.empty())
    return Client.notices();
  return Answer.SqlState + " " + Answer.Message + " (" + Answer.Hint + ")" +
         (Answer.Detail.empty() ? "" : " " + Answer.Detail);
}

} // namespace

int DemoSteps::run() {
  if (!waitUntilServing())
    return m_Failures;
  refuseWrongKey();
  roamToB(writeThroughA());
  readAgedTimetable();
  repeatRequest();
  withdrawKey();
  freezePrimary();
  return m_Failures;
}

ClientLogin DemoSteps::login(const std::string &Address,
                             const std::string &Account,
                             const std::string &Route) const {
  return {
      Address, Account, "demo-key", Route, {{"bergamotstage.explain", "on"}}};
}

std::optional<DemoClient> DemoSteps::connect(const ClientLogin &Login,
                                             const std::string &Step) {
  auto Client = DemoClient::connect(Login);
  if (Client)
    return std::move(*Client);
  report(false, Step, Client.error());
  return std::nullopt;
}

void DemoSteps::report(bool Passed, const std::string &Step,
                       const std::string &Detail) {
  std::cout << (Passed ? "ok    " : "FAIL  ") << Step << "\n";
  if (!Detail.empty())
    std::cout << "      " << Detail << "\n";
  std::cout.flush();
  m_Failures += Passed ? 0 : 1;
}

bool DemoSteps::waitUntilServing() {
  for (const std::string &Address : {m_Options.ProxyA, m_Options.ProxyB}) {
    bool Serving = retry(StartupTimeout, [&] {
      auto Client = DemoClient::connect(login(Address, "ward-1", "waitlist"));
      if (!Client)
        return false;
      return Client->run("DELETE FROM warmup").SqlState.empty();
    });
    report(Serving, "proxy " + Address + " serves", "");
    if (!Serving)
      return false;
  }
  return true;
}

void DemoSteps::refuseWrongKey() {
  ClientLogin Wrong = login(m_Options.ProxyA, "ward-1", "waitlist");
  Wrong.Key = "wrong";
  auto Client = DemoClient::connect(Wrong);
  report(!Client, "a wrong key is refused", "");
}

std::string DemoSteps::writeThroughA() {
  const std::string Step = "a clerk writes through proxy A";
  auto Client = connect(login(m_Options.ProxyA, "ward-1", "waitlist"), Step);
  if (!Client)
    return "";
  ClientAnswer Written =
      Client->run("INSERT INTO offers VALUES ('plot-7', 'family-3')");
  report(Written.SqlState.empty(), Step, describe(*Client, Written));
  report(!Client->token().empty(), "a session token comes back", "");
  return Client->token();
}

void DemoSteps::roamToB(const std::string &Token) {
  const std::string Step = "the clerk roams to proxy B and reads its write";
  std::this_thread::sleep_for(CatchUpTime);
  ClientLogin Roamed = login(m_Options.ProxyB, "ward-1", "waitlist");
  Roamed.Settings["bergamotstage.session"] = Token;
  auto Client = connect(Roamed, Step);
  if (!Client)
    return;
  bool OnReplica = false;
  ClientAnswer Read;
  bool Seen = true;
  retry(std::chrono::seconds(2), [&] {
    Read = Client->run("SELECT value FROM offers WHERE key = 'plot-7'");
    Seen = Seen && Read.Rows.size() == 1 && Read.Rows[0][0] == "family-3";
    OnReplica = Client->notices().find("waitlist-a-1") == std::string::npos;
    return OnReplica;
  });
  report(Seen, Step, describe(*Client, Read));
  report(OnReplica, "a replica that has caught up serves it", "");
}

void DemoSteps::readAgedTimetable() {
  const std::string Step = "a parent reads an aged timetable without a key";
  ClientLogin Parent = login(m_Options.ProxyB, "anyone", "timetable");
  Parent.Key.clear();
  auto Client = connect(Parent, Step);
  if (!Client)
    return;
  ClientAnswer Read = Client->run("SELECT * FROM offers");
  report(Read.SqlState.empty(), Step, describe(*Client, Read));
}

void DemoSteps::repeatRequest() {
  const std::string Step = "a repeated request id is not run twice";
  ClientAnswer Answer;
  for (const std::string &Proxy : {m_Options.ProxyA, m_Options.ProxyB}) {
    auto Client = connect(login(Proxy, "ward-1", "waitlist"), Step);
    if (!Client)
      return;
    if (Proxy == m_Options.ProxyA)
      Client->run("INSERT INTO counters VALUES ('offers', '0')");
    Client->run("SET bergamotstage.request_id = 'offer-1'");
    Answer = Client->run(
        "UPDATE counters SET value = value + 1 WHERE key = 'offers'");
    if (!Answer.SqlState.empty())
      break;
  }
  auto Client = connect(login(m_Options.ProxyA, "ward-1", "waitlist"), Step);
  if (!Client)
    return;
  Client->run("BEGIN");
  ClientAnswer Read =
      Client->run("SELECT value FROM counters WHERE key = 'offers'");
  Client->run("COMMIT");
  bool Once = Answer.SqlState.empty() && Read.Rows.size() == 1 &&
              Read.Rows[0][0] == "1";
  report(Once, Step, describe(*Client, Answer));
}

std::string DemoSteps::rulesWithout(const std::string &Account) const {
  std::istringstream Lines(
      runtime::readTextFile(m_Options.RulesFile).value_or(""));
  std::string Remaining;
  for (std::string Line; std::getline(Lines, Line);)
    if (Line.rfind("key " + Account + " ", 0) != 0)
      Remaining += Line + "\n";
  return Remaining;
}

void DemoSteps::withdrawKey() {
  const std::string Step = "a withdrawn key stops an open connection";
  auto Client = connect(login(m_Options.ProxyB, "ward-2", "waitlist"), Step);
  if (!Client)
    return;
  bool ServedBefore = Client->run("SELECT * FROM offers").SqlState.empty();
  auto Applied = requestFromVm(m_Options.VmA, "apply",
                               {{"text", rulesWithout("ward-2")},
                                {"expect", "1"},
                                {"edit-id", "demo-withdraw"}});
  bool Accepted = Applied && Applied->Succeeded;
  ClientAnswer After;
  bool Refused = Accepted && retry(WithdrawalTimeout, [&] {
                   After = Client->run("SELECT * FROM offers");
                   return !After.SqlState.empty();
                 });
  report(ServedBefore && Refused, Step,
         Accepted ? describe(*Client, After)
                  : (Applied ? Applied->Body : Applied.error()));
}

void DemoSteps::freezePrimary() {
  const std::string Step = "writes resume after the primary is cut off";
  if (!setFault(m_Options.Platform, "freeze-target", "waitlist-a-1", true, 0)
           .value_or(false))
    return report(false, Step,
                  "the stand-in platform did not freeze waitlist-a-1");
  Clock::time_point FrozenAt = Clock::now();
  int Number = 0;
  std::string Detail;
  bool Resumed = retry(FailoverTimeout, [&] {
    auto Client =
        DemoClient::connect(login(m_Options.ProxyA, "ward-1", "waitlist"));
    if (!Client)
      return false;
    ClientAnswer Written =
        Client->run("INSERT INTO offers VALUES ('after-cut-" +
                    std::to_string(++Number) + "', 'family-9')");
    Detail = describe(*Client, Written);
    return Written.SqlState.empty();
  });
  auto Gap = std::chrono::duration_cast<std::chrono::milliseconds>(
      Clock::now() - FrozenAt);
  report(Resumed, Step,
         Detail + " after " + std::to_string(Gap.count()) + " ms");
}

} // namespace bergamotstage::cli
