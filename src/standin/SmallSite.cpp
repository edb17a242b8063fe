#include "standin/SmallSite.h"

#include "bergamotstage/account/KeyCheck.h"

namespace bergamotstage::standin {
namespace {

constexpr Duration StartTime = seconds(1);

} // namespace

std::string smallSiteRules() {
  const std::string Salt = "a1b2c3d4e5f60718";
  std::string Digest = keyDigest(Salt, "demo-key").value_or("");
  std::string Text = "data-centre hoan-kiem region=hanoi # Platform team\n"
                     "data-centre long-bien region=hanoi # Platform team\n"
                     "data-centre cau-giay region=hanoi # Platform team\n"
                     "database waitlist-a # Ledger office\n";
  const char *const Centres[] = {"hoan-kiem", "long-bien", "cau-giay"};
  for (int Index = 0; Index < 3; ++Index) {
    std::string Number = std::to_string(Index + 1);
    Text += "target waitlist-a-" + Number + " database=waitlist-a data-centre=";
    Text += Centres[Index];
    Text += " address=127.0.0.1:711" + Number;
    Text += " slots=3 connections=25 # Ledger office\n";
  }
  Text += "account ward-1 rate=2000 burst=4000 # Ward 1 office\n";
  Text += "key ward-1 desk salt=" + Salt + " digest=" + Digest;
  Text += " # Ward 1 office\n";
  Text += "route waitlist database=waitlist-a access=keyed # Ledger office\n";
  Text += "route timetable database=waitlist-a access=open max-age=10s"
          " # Ward chairmen\n";
  return Text;
}

NodeSettings smallSiteVm(const std::string &Name, const std::string &Centre) {
  NodeSettings Settings;
  Settings.Vm = VmId(Name);
  Settings.DataCentre = DataCentreId(Centre);
  Settings.PeerAddress = Name;
  Settings.TokenSecret = "a secret for demonstrations";
  return Settings;
}

CallerOpened smallSiteOpening() {
  CallerOpened Opening;
  Opening.Account = AccountId("ward-1");
  Opening.Key = "demo-key";
  Opening.Route = RouteId("waitlist");
  return Opening;
}

VmId startSmallSite(LoopbackFleet &Fleet, Duration Lag,
                    const std::string &ExtraRules) {
  Fleet.addGroup(DatabaseId("waitlist-a"),
                 {TargetId("waitlist-a-1"), TargetId("waitlist-a-2"),
                  TargetId("waitlist-a-3")},
                 3, Lag);
  Fleet.storeRules(smallSiteRules() + ExtraRules);
  NodeSettings Settings = smallSiteVm("vm-a", "hoan-kiem");
  Fleet.startVm(Settings);
  Fleet.runUntil(Fleet.now() + StartTime);
  return Settings.Vm;
}

LoopbackCaller &connectSmallSiteCaller(LoopbackFleet &Fleet, const VmId &Vm) {
  LoopbackCaller &Caller = Fleet.connect(Vm, smallSiteOpening());
  Fleet.runUntil(Fleet.now() + milliseconds(1));
  return Caller;
}

} // namespace bergamotstage::standin
