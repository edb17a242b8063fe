// Runs one scenario of the review: world SCENARIO ROOT FOLDER RECORD on|off
// With "off" the disruption is left out.
// Exit code: 0 the rule held, 1 it was broken, 2 the case couldn't run.

#include "DrainBusy.h"
#include "FreshRoute.h"
#include "LostAnswer.h"
#include "SyncDrain.h"

#include <cstring>

using namespace review;

namespace {

constexpr double StartTimeoutMs = 20000;
/// The leases of promotions are taken soon after the start.
constexpr double SettleMs = 6000;

template <class Scenario> int play(char **Arguments, bool Trouble) {
  Loop Io;
  Record Log(Arguments[3]);
  Store Platform(Io, "127.0.2.1");
  Service::Options Options = Scenario::service();
  Service Db(Io, Platform, Log, Options);
  Db.add("zone-a", "127.0.3.1");
  Db.add("zone-b", "127.0.3.2");
  Db.add("zone-c", "127.0.3.3");
  Platform.put("op", "config", configuration(Options).dump());
  Db.start();
  Machines::Options Places;
  Places.Root = Arguments[1];
  Places.Folder = Arguments[2];
  Machines Fleet(Io, Platform, Log, Places);
  Scenario Played(Io, Fleet, Db, Log, Trouble);
  Fleet.start();
  std::function<void()> Await = [&] {
    if (Fleet.allReady()) {
      Log.add("all machines are ready");
      return Io.after(SettleMs, [&] { Played.begin(); });
    }
    if (nowMs() > StartTimeoutMs) {
      Log.add("the machines did not become ready");
      return Io.stop();
    }
    Io.after(100, Await);
  };
  Await();
  Io.run();
  return Played.result();
}

} // namespace

int main(int Count, char **Arguments) {
  if (Count != 6)
    return 2;
  bool Trouble = std::strcmp(Arguments[5], "off") != 0;
  std::string Name = Arguments[1];
  char **Rest = Arguments + 1;
  if (Name == "drain-busy")
    return play<DrainBusy>(Rest, Trouble);
  if (Name == "fresh-route")
    return play<FreshRoute>(Rest, Trouble);
  if (Name == "sync-drain")
    return play<SyncDrain>(Rest, Trouble);
  if (Name == "lost-answer")
    return play<LostAnswer>(Rest, Trouble);
  return 2;
}
