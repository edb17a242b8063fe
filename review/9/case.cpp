// A key is taken away while its client has a transaction open. See claim.txt.
#include "../standin-2/Lab.h"

#include <algorithm>
#include <cstdio>
#include <unistd.h>

using namespace lab;

namespace {

constexpr std::int64_t RevokeMs = 5000; ///< Above config_apply_ms, 3,000.
constexpr std::int64_t PauseMs = 1200;  ///< Below tx_idle_ms, 3,000.
constexpr int Statements = 9;           ///< Beside BEGIN and COMMIT.
constexpr int TimeoutMs = 3000;
const char *const Withdrawn = "key-that-is-taken-away";
const char *const Kept = "key-that-stays";

Json configWithKeys(std::uint64_t Version, std::vector<std::string> Keys) {
  Json Config = config(Version,
                       {route("r-offers", "offers", "primary", "waitlist")},
                       {service("waitlist", 23)}, "tenant", Kept, 200);
  Config["tenants"][0]["api_keys"] = std::move(Keys);
  return Config;
}

} // namespace

int main() {
  Record Log("record.txt");
  if (chdir("../..") != 0)
    return 2;
  bool Trouble = withTrouble();
  Lab Site(makeFolder(), Log);
  const char *const Zones[] = {"hoan-kiem", "long-bien", "cau-giay"};
  for (int At = 0; At < 3; ++At)
    Site.addInstance("i-" + std::to_string(At + 1), "waitlist", Zones[At],
                     At == 0);
  for (const char *Zone : Zones)
    Site.addDaemon(std::string("frontend-") + Zone + "-1", Zone);
  Site.putConfig(configWithKeys(1, {Kept, Withdrawn}));
  Site.serve();
  for (Daemon &Each : Site.Daemons)
    Site.start(Each);
  if (!Site.awaitReady(15000))
    return 2;
  sleepMs(8000);

  // One transaction at each daemon, all at the same time.
  struct Client {
    Daemon *Entry;
    std::unique_ptr<Session> Open;
    int Late = 0; ///< Statements that ran though sent too late.
    bool Committed = false;
  };
  std::vector<Client> Clients;
  for (Daemon &Each : Site.Daemons)
    Clients.push_back(
        {&Each, std::make_unique<Session>(Log, "client at " + Each.Name)});
  for (Client &Each : Clients) {
    if (!Each.Open->open(Each.Entry->Ip, Each.Entry->CallerPort, "offers",
                         Withdrawn, 2000) ||
        !Each.Open->query("BEGIN", TimeoutMs).Error.empty())
      return 2;
    Reply First = Each.Open->query("READ item", TimeoutMs);
    if (!First.Answered || !First.Error.empty())
      return 2;
  }
  std::int64_t AcknowledgedMs = nowMs();
  if (Trouble)
    Site.putConfig(configWithKeys(2, {Kept}));
  for (int At = 0; At < Statements; ++At) {
    sleepMs(PauseMs);
    for (Client &Each : Clients) {
      if (!Each.Open->isOpen())
        continue;
      std::string Text = At + 1 == Statements
                             ? "WRITE of-" + Each.Entry->Name + " late"
                             : "READ item";
      Reply Got = Each.Open->query(Text, TimeoutMs);
      bool Ran = Got.Answered && Got.Error.empty();
      if (Ran && Got.SentMs > AcknowledgedMs + RevokeMs)
        ++Each.Late;
    }
  }
  int Late = 0;
  int Commits = 0;
  for (Client &Each : Clients) {
    if (Each.Open->isOpen()) {
      Reply Got = Each.Open->query("COMMIT", TimeoutMs);
      Each.Committed = Got.Answered && Got.Error.empty();
    }
    Late += Each.Late;
    Commits += Each.Committed ? 1 : 0;
  }
  // The key is withdrawn for new sessions: the version is in force.
  int Refused = 0;
  for (Client &Each : Clients) {
    Session Probe(Log, "new session at " + Each.Entry->Name);
    Refused += Probe.open(Each.Entry->Ip, Each.Entry->CallerPort, "offers",
                          Withdrawn, 2000)
                   ? 0
                   : 1;
  }
  char Text[256];
  std::snprintf(Text, sizeof(Text),
                "%d statements ran that were sent later than %lld ms after the "
                "acknowledgement, %d of %zu transactions were committed; new "
                "sessions with the key were refused by %d of %zu daemons",
                Late, static_cast<long long>(RevokeMs), Commits,
                Clients.size(), Refused, Clients.size());
  Log.line(Text);
  std::printf("%s\n", Text);
  if (!Trouble)
    return Late > 0 && Commits == static_cast<int>(Clients.size()) ? 0 : 2;
  return Late > 0 || Commits > 0 ? 1 : 0;
}
