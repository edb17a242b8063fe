// All processes are killed and start again while a primary is cut off from four
// of the nine daemons for five seconds. See claim.txt.
#include "../standin-2/Lab.h"

#include <csignal>
#include <cstdio>
#include <random>
#include <unistd.h>

using namespace lab;

namespace {

constexpr std::int64_t DownMs = 1000;       ///< down_s of a final fault.
constexpr std::int64_t CutMs = 5000;        ///< for_s of primary_cut.
constexpr std::int64_t RecoveryMs = 12000;  ///< recovery_s.
constexpr std::int64_t MeasuredMs = 20000;
constexpr unsigned Clients = 24;
constexpr std::int64_t PauseMs = 400;
constexpr unsigned Retries = 2;
const char *const Key = "key-of-the-tenant";
const char *const Service = "waitlist-49";
const char *const PrimaryId = "i-waitlist-49-1";

struct Kind {
  const char *Database;
  std::int64_t DeadlineMs;
  const char *Word;
};
constexpr Kind Kinds[] = {{"offers", 1500, "WRITE"},
                          {"lookups", 5000, "READ"},
                          {"updates", 1500, "READ"},
                          {"updates", 1500, "WRITE"}};

struct Count {
  std::atomic<unsigned> Sent{0};
  std::atomic<unsigned> Served{0};
};

/// The platform's balancer: which daemons get new connections.
struct Balancer {
  explicit Balancer(Lab &Site) : Daemons(Site.Daemons.size()) {
    std::size_t At = 0;
    for (Daemon &Each : Site.Daemons)
      Daemons[At++].Described = &Each;
    Thread = std::thread([this, &Site] {
      while (!Stopped) {
        for (Entry &Each : Daemons)
          Each.Misses = Site.isReady(*Each.Described) ? 0 : Each.Misses + 1;
        sleepMs(1000);
      }
    });
  }
  ~Balancer() {
    Stopped = true;
    Thread.join();
  }
  Daemon &choose(std::mt19937 &Random) {
    std::vector<Daemon *> In;
    for (Entry &Each : Daemons)
      if (Each.Misses < 2)
        In.push_back(Each.Described);
    if (In.empty())
      for (Entry &Each : Daemons)
        In.push_back(Each.Described);
    return *In[Random() % In.size()];
  }
  struct Entry {
    Daemon *Described = nullptr;
    std::atomic<unsigned> Misses{0};
  };
  std::vector<Entry> Daemons;
  std::atomic<bool> Stopped{false};
  std::thread Thread;
};

/// One client with one session at a time. Retries go to other daemons.
void runClient(unsigned Number, Balancer &Entry, Record &Log,
               std::atomic<Count *> &Counted, std::atomic<bool> &Stopped) {
  std::mt19937 Random(Number);
  const Kind &Asked = Kinds[Number % 4];
  std::string Name = "client-" + std::to_string(Number);
  Session Open(Log, Name);
  for (unsigned Operation = 0; !Stopped; ++Operation) {
    Count *Window = Counted;
    std::int64_t Deadline = nowMs() + Asked.DeadlineMs;
    bool Served = false;
    ++Window->Sent;
    std::string Text = std::string(Asked.Word) + " " + Name;
    if (Text[0] == 'W')
      Text += " " + std::to_string(Operation);
    for (unsigned Try = 0; Try <= Retries && !Served; ++Try) {
      std::int64_t Left = Deadline - nowMs();
      if (Left <= 0)
        break;
      if (!Open.isOpen()) {
        Daemon &Chosen = Entry.choose(Random);
        if (!Open.open(Chosen.Ip, Chosen.CallerPort, Asked.Database, Key,
                       static_cast<int>(std::min<std::int64_t>(2000, Left)))) {
          sleepMs(50);
          continue;
        }
      }
      Left = std::max<std::int64_t>(1, Deadline - nowMs());
      Reply Got = Open.query(Text, static_cast<int>(Left));
      Served = Got.Answered && Got.Error.empty();
      // A retry goes to another daemon, when the refusal says that it may.
      if (!Served) {
        Open.close();
        sleepMs(100);
      }
    }
    if (Served)
      ++Window->Served;
    sleepMs(PauseMs / 2 + static_cast<std::int64_t>(Random() % PauseMs));
  }
}

} // namespace

int main() {
  Record Log("record.txt");
  if (chdir("../..") != 0)
    return 2;
  bool Kills = withTrouble("kill");
  bool Cuts = withTrouble("cut");
  Lab Site(makeFolder(), Log);
  const char *const Zones[] = {"hoan-kiem", "long-bien", "cau-giay"};
  for (int At = 0; At < 3; ++At)
    Site.addInstance("i-" + std::string(Service) + "-" +
                         std::to_string(At + 1),
                     Service, Zones[At], At == 0);
  for (const char *Zone : Zones)
    for (int At = 1; At <= 3; ++At)
      Site.addDaemon(std::string("frontend-") + Zone + "-" +
                         std::to_string(At),
                     Zone);
  Site.putConfig(config(1,
                        {route("r-offers", "offers", "primary", Service),
                         route("r-lookups", "lookups", "bounded", Service),
                         route("r-updates", "updates", "read_your_writes",
                               Service)},
                        {service(Service, 23)}, "tenant", Key, 400));
  Site.serve();
  for (Daemon &Each : Site.Daemons)
    Site.start(Each);
  if (!Site.awaitReady(15000))
    return 2;
  sleepMs(8000);

  // The cut hits the three daemons in the primary's zone and one more, and not
  // the one that watches the primary.
  std::vector<Daemon *> CutOff;
  for (Daemon &Each : Site.Daemons)
    if (Each.Zone == "hoan-kiem" || Each.Name == "frontend-long-bien-1")
      CutOff.push_back(&Each);
  // A daemon that holds the lease and would be cut off is stopped and started
  // again beforehand, which moves the lease to another one.
  Daemon *Holder = nullptr;
  for (int Try = 0; Try < 3; ++Try) {
    std::string Lease =
        Site.row("fleet", "duty/" + std::string(Service)).value_or("none");
    Log.line("promotion lease: " + Lease);
    Holder = nullptr;
    for (Daemon *Each : CutOff)
      if (Lease.compare(0, Each->Name.size(), Each->Name) == 0)
        Holder = Each;
    if (Holder == nullptr)
      break;
    Site.signal(*Holder, SIGTERM);
    sleepMs(6500);
    Site.kill(*Holder);
    Site.start(*Holder);
    if (!Site.awaitReady(10000))
      return 2;
    sleepMs(3000);
  }
  if (Holder != nullptr) {
    Log.line("not judged: the holder of the lease would be cut off");
    return 2;
  }

  Count Warm;
  Count Before;
  Count During;
  Count After;
  Count Rest;
  std::atomic<Count *> Window{&Warm};
  std::atomic<bool> Stopped{false};
  Balancer Entry(Site);
  std::vector<std::thread> Threads;
  for (unsigned Number = 0; Number < Clients; ++Number)
    Threads.emplace_back(runClient, Number, std::ref(Entry), std::ref(Log),
                         std::ref(Window), std::ref(Stopped));
  sleepMs(3000);
  Window = &Before;
  sleepMs(6000);
  Window = &During;
  Instance &Primary = Site.Instances.front();
  if (Kills) {
    Log.line("all processes are killed");
    Site.killAll();
    sleepMs(DownMs);
    for (Daemon &Each : Site.Daemons)
      Site.start(Each);
  }
  if (Cuts) {
    Site.cut(Primary, CutOff);
    Log.line("the primary is cut off from 4 of 9 daemons");
    sleepMs(CutMs);
    Site.heal(Primary);
    Log.line("the cut ends");
  }
  sleepMs(RecoveryMs);
  Window = &After;
  Log.line("recovery_s has passed");
  sleepMs(MeasuredMs);
  Window = &Rest;
  Log.line("the measured time ends");
  Stopped = true;
  for (std::thread &Each : Threads)
    Each.join();
  bool Ready = Site.awaitReady(2000);
  double BeforeShare = static_cast<double>(Before.Served) / Before.Sent;
  double AfterShare = static_cast<double>(After.Served) / After.Sent;
  char Text[256];
  std::snprintf(Text, sizeof(Text),
                "served before: %u of %u, after recovery: %u of %u; "
                "promotions: %llu; all daemons ready: %s; primary: %s",
                Before.Served.load(), Before.Sent.load(), After.Served.load(),
                After.Sent.load(),
                static_cast<unsigned long long>(Site.Promotions),
                Ready ? "yes" : "no",
                Primary.Primary ? "the same" : "replaced");
  Log.line(Text);
  std::printf("%s\n", Text);
  constexpr double Quarter = 0.25;
  if (BeforeShare < Quarter)
    return 2;
  return AfterShare < Quarter ? 1 : 0;
}
