// A session writes, its route moves to another service and back, and the
// session reads what it wrote. See claim.txt.
#include "../standin-2/Lab.h"

#include <cstdio>
#include <unistd.h>

using namespace lab;

namespace {

constexpr int Rounds = 8;
constexpr std::int64_t StalenessMs = 2500; ///< max_staleness_ms of the route.
constexpr std::int64_t LagMs = 3600; ///< 60 ms, 60 times as long.
constexpr std::int64_t LagForMs = 6500;
constexpr std::int64_t ChangeGapMs = 350; ///< 330 ms is the shortest gap.
constexpr int TimeoutMs = 3000;
const char *const Key = "key-of-the-tenant";

std::uint64_t LastVersion = 0;

void putRoute(Lab &Site, const std::string &Service) {
  Site.putConfig(config(
      ++LastVersion,
      {route("r-own", "records", "read_your_writes", Service),
       route("r-a", "records-a", "primary", "service-a"),
       route("r-b", "records-b", "primary", "service-b")},
      {service("service-a", 23), service("service-b", 23)}, "tenant", Key,
      200));
}

void setLag(Lab &Site, std::int64_t Milliseconds) {
  std::lock_guard<std::mutex> Lock(Site.mutex());
  for (Instance &Each : Site.Instances)
    if (Each.Service == "service-a")
      Each.LagMs = Milliseconds;
}

/// The last thing that an instance ran with a text.
std::optional<Run> lastRun(Lab &Site, const std::string &Word,
                           const std::string &Item) {
  std::lock_guard<std::mutex> Lock(Site.mutex());
  for (auto Each = Site.Runs.rbegin(); Each != Site.Runs.rend(); ++Each)
    if (Each->Text.find(Word + " " + Item) != std::string::npos)
      return *Each;
  return std::nullopt;
}

} // namespace

int main() {
  Record Log("record.txt");
  if (chdir("../..") != 0)
    return 2;
  bool Lags = withTrouble("lag");
  bool Moves = withTrouble("moves");
  Lab Site(makeFolder(), Log);
  const char *const Zones[] = {"hoan-kiem", "long-bien", "cau-giay"};
  for (const char *Service : {"service-a", "service-b"})
    for (int At = 0; At < 3; ++At)
      Site.addInstance(std::string(Service) + "-" + std::to_string(At + 1),
                       Service, Zones[At], At == 0);
  for (const char *Zone : Zones)
    Site.addDaemon(std::string("frontend-") + Zone + "-1", Zone);
  putRoute(Site, "service-a");
  Site.serve();
  for (Daemon &Each : Site.Daemons)
    Site.start(Each);
  if (!Site.awaitReady(15000))
    return 2;
  sleepMs(6000); // Quotas are shared out in the first seconds.

  int Stale = 0;
  int Judged = 0;
  for (int Round = 0; Round < Rounds; ++Round) {
    Daemon &Entry = *std::next(Site.Daemons.begin(), Round % 3);
    std::string Item = "item-" + std::to_string(Round);
    std::string Data = "data-" + std::to_string(Round);
    Log.line("round " + std::to_string(Round) + " at " + Entry.Name);
    std::int64_t LagSince = nowMs();
    if (Lags)
      setLag(Site, LagMs);
    Session Client(Log, "client-" + std::to_string(Round));
    if (!Client.open(Entry.Ip, Entry.CallerPort, "records", Key, 2000))
      return 2;
    Client.query("READ " + Item, TimeoutMs);
    Reply Written = Client.query("WRITE " + Item + " " + Data, TimeoutMs);
    auto WriteRun = lastRun(Site, "WRITE", Item);
    bool Acknowledged = Written.Answered && Written.Error.empty() &&
                        WriteRun && WriteRun->Service == "service-a";
    if (Moves)
      putRoute(Site, "service-b");
    sleepMs(ChangeGapMs);
    Client.query("WRITE other-" + Item + " " + Data, TimeoutMs);
    if (Moves)
      putRoute(Site, "service-a");
    sleepMs(ChangeGapMs);
    for (int Read = 0; Read < 3 && Acknowledged; ++Read) {
      Reply Got = Client.query("READ " + Item, TimeoutMs);
      auto ReadRun = lastRun(Site, "READ", Item);
      bool Served = Got.Answered && Got.Error.empty() && ReadRun &&
                    ReadRun->Service == "service-a";
      if (!Served)
        continue;
      ++Judged;
      auto Commit = Written.Where;
      // The log of the instance lacks the commit if the row is missing: no
      // promotion rolled anything back.
      bool Lacks = Got.Rows != std::vector<std::string>{Data};
      if (!Lacks)
        continue;
      ++Stale;
      Log.line("STALE: " + ReadRun->Instance + " with log " +
               ReadRun->LogEnd.text() + " ran the read, " +
               std::to_string(Got.SentMs - Written.EndedMs) +
               " ms after the commit " + Commit +
               " of the same session was acknowledged");
    }
    Client.query("READ " + Item, TimeoutMs);
    if (Lags) {
      std::int64_t Left = LagSince + LagForMs - nowMs();
      if (Left > 0 && Left < LagForMs - 4000)
        sleepMs(Left);
      setLag(Site, 8);
      sleepMs(LagMs + 100); // What is on its way arrives.
    }
  }
  if (Site.Promotions > 0 || Judged == 0) {
    Log.line("not judged: promotions " + std::to_string(Site.Promotions) +
             ", reads " + std::to_string(Judged));
    return 2;
  }
  Log.line("result: " + std::to_string(Stale) + " of " +
           std::to_string(Judged) + " reads were stale");
  std::printf("%d of %d reads were stale\n", Stale, Judged);
  return Stale > 0 ? 1 : 0;
}
