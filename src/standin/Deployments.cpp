#include "standin/Deployments.h"

#include "bergamotstage/account/KeyCheck.h"

namespace bergamotstage::standin {
namespace {

constexpr int VmsInEachCentre = 3;
constexpr Duration StartTime = seconds(5);

std::string accountKey(const std::string &Account) { return "key-" + Account; }

TargetId targetName(const std::string &Database, std::size_t Number) {
  return TargetId(Database + "-" + std::to_string(Number + 1));
}

std::string accountRules(const Deployment &Site) {
  const std::string Salt = "0123456789abcdef";
  std::string Text;
  for (const std::string &Account : Site.Accounts) {
    Text.append("account ").append(Account);
    Text += " rate=" + std::to_string(Site.Rate);
    Text += " burst=" + std::to_string(Site.Burst);
    Text.append(" # Office of ").append(Account).append("\nkey ");
    Text.append(Account).append(" desk salt=").append(Salt);
    Text += " digest=";
    Text += keyDigest(Salt, accountKey(Account)).value_or("");
    Text.append(" # Office of ").append(Account).append("\n");
  }
  return Text;
}

std::string databaseRules(const Deployment &Site, const std::string &Database) {
  std::string Text = "database " + Database + " # Records office\n";
  for (std::size_t Index = 0; Index < Site.DataCentres.size(); ++Index) {
    Text += "target " + targetName(Database, Index).value();
    Text += " database=" + Database + " data-centre=" + Site.DataCentres[Index];
    Text += " address=127.0.0.1:" + std::to_string(7200 + Index);
    Text += " slots=" + std::to_string(Site.Slots);
    Text += " connections=" + std::to_string(Site.Connections);
    Text += " # Records office\n";
  }
  Text += "route " + Database + " database=" + Database;
  Text += " access=keyed # Records office\n";
  Text += "route " + Database + "-public database=" + Database;
  Text += " access=open max-age=10s # Public desk\n";
  return Text;
}

} // namespace

Deployment hanoiDeployment() {
  Deployment Site;
  Site.DataCentres = {"hoan-kiem", "long-bien", "cau-giay"};
  Site.Region = "hanoi";
  Site.Databases = {"waitlist-1", "waitlist-2", "waitlist-3"};
  Site.Slots = 3;
  Site.Connections = 25;
  for (int Ward = 1; Ward <= 8; ++Ward)
    Site.Accounts.push_back("ward-" + std::to_string(Ward));
  Site.Rate = 100;
  Site.Burst = 200;
  Site.Delays.Peer = microseconds(1500);
  Site.Delays.Target = microseconds(1500);
  Site.Delays.Connect = milliseconds(10);
  return Site;
}

Deployment bengalDeployment() {
  Deployment Site;
  Site.DataCentres = {"kolkata-ghat", "howrah", "diamond-hbr"};
  Site.Region = "bengal";
  Site.Databases = {"sail-1", "sail-2", "sail-3"};
  Site.Slots = 2;
  Site.Connections = 35;
  Site.Accounts = {"desk",    "jetty-1", "jetty-2", "jetty-3",
                   "parents", "fees",    "fishers", "board"};
  Site.Rate = 100;
  Site.Burst = 200;
  Site.Delays.Peer = milliseconds(1);
  Site.Delays.Target = milliseconds(1);
  Site.Delays.Connect = milliseconds(30);
  return Site;
}

std::string deploymentRules(const Deployment &Site) {
  std::string Text;
  for (const std::string &Centre : Site.DataCentres)
    Text += "data-centre " + Centre + " region=" + Site.Region +
            " # Platform team\n";
  for (const std::string &Database : Site.Databases)
    Text += databaseRules(Site, Database);
  return Text + accountRules(Site);
}

void startDeployment(LoopbackFleet &Fleet, const Deployment &Site, Duration Lag,
                     const std::string &ExtraRules) {
  for (const std::string &Database : Site.Databases) {
    std::vector<TargetId> Names;
    for (std::size_t Index = 0; Index < Site.DataCentres.size(); ++Index)
      Names.push_back(targetName(Database, Index));
    Fleet.addGroup(DatabaseId(Database), Names, Site.Slots, Lag);
  }
  Fleet.storeRules(deploymentRules(Site) + ExtraRules);
  int Number = 0;
  for (int Round = 0; Round < VmsInEachCentre; ++Round) {
    for (const std::string &Centre : Site.DataCentres) {
      std::string Name = "vm-" + std::to_string(++Number);
      NodeSettings Settings;
      Settings.Vm = VmId(Name);
      Settings.DataCentre = DataCentreId(Centre);
      Settings.PeerAddress = Name;
      Settings.TokenSecret = "a secret for demonstrations";
      Fleet.startVm(std::move(Settings));
    }
  }
  Fleet.runUntil(Fleet.now() + StartTime);
}

void introduceAllVms(LoopbackFleet &Fleet) {
  for (const ListedVm &To : Fleet.listedVms()) {
    if (!Fleet.isRunning(To.Vm))
      continue;
    for (const ListedVm &Other : Fleet.listedVms()) {
      MemberState Member;
      Member.Vm = Other.Vm;
      Member.DataCentre = Other.DataCentre;
      Member.PeerAddress = Other.PeerAddress;
      if (Other.Vm != To.Vm && Fleet.isRunning(Other.Vm))
        Fleet.node(To.Vm).addMember(Member);
    }
  }
}

CallerOpened callerOpening(const std::string &Account,
                           const std::string &Route) {
  CallerOpened Opening;
  Opening.Account = AccountId(Account);
  Opening.Key = accountKey(Account);
  Opening.Route = RouteId(Route);
  return Opening;
}

} // namespace bergamotstage::standin
