#include "standin/LocalSite.h"

#include "standin/SmallSite.h"

#include <asio.hpp>

#include <iostream>
#include <utility>

namespace bergamotstage::standin {
namespace {

constexpr unsigned Targets = 3;
const char *const DataCentres[] = {"hoan-kiem", "long-bien", "cau-giay"};

/// @brief Returns distinct free ports; another process can take one before its
/// use.
std::vector<std::uint16_t> freePorts(std::size_t Count) {
  asio::io_context Io;
  std::vector<asio::ip::tcp::acceptor> Acceptors;
  std::vector<std::uint16_t> Ports;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    Acceptors.emplace_back(
        Io, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    Ports.push_back(Acceptors.back().local_endpoint().port());
  }
  return Ports;
}

std::string loopbackAddress(std::uint16_t Port) {
  return "127.0.0.1:" + std::to_string(Port);
}

std::string vmName(std::size_t Index) {
  return "vm-" + std::to_string(Index + 1);
}

void replaceWord(std::string &Text, const std::string &Old,
                 const std::string &New) {
  Text.replace(Text.find(Old), Old.size(), New);
}

/// @brief Returns the rules of the small site with the given ports and rate.
std::string localSiteRules(const LocalSiteOptions &Options,
                           const std::vector<std::uint16_t> &Ports) {
  std::string Text = smallSiteRules();
  for (unsigned Index = 0; Index < Targets; ++Index) {
    std::string Old = "127.0.0.1:711" + std::to_string(Index + 1);
    replaceWord(Text, Old, loopbackAddress(Ports[Index]));
  }
  replaceWord(Text, "rate=2000", "rate=" + std::to_string(Options.Rate));
  replaceWord(Text, "burst=4000", "burst=" + std::to_string(Options.Burst));
  return Text;
}

} // namespace

tl::expected<std::unique_ptr<LocalSite>, std::string>
LocalSite::start(const LocalSiteOptions &Options) {
  std::unique_ptr<LocalSite> Site(new LocalSite);
  std::vector<std::uint16_t> Ports = freePorts(1 + Targets + Options.Vms);
  Site->m_PlatformAddress = loopbackAddress(Ports[0]);
  Site->m_TargetPorts.assign(Ports.begin() + 1, Ports.begin() + 1 + Targets);
  for (unsigned Index = 0; Index < Options.Vms; ++Index)
    Site->m_PeerAddresses.push_back(
        loopbackAddress(Ports[1 + Targets + Index]));
  Site->runPlatform(Options);
  for (unsigned Index = 0; Index < Options.Vms; ++Index) {
    runtime::Settings VmSettings;
    VmSettings.Node = smallSiteVm(vmName(Index), DataCentres[Index % 3]);
    VmSettings.Node.PeerAddress = Site->m_PeerAddresses[Index];
    VmSettings.ListenAddress = "127.0.0.1:0";
    VmSettings.PlatformAddress = Site->m_PlatformAddress;
    VmSettings.Target = {"bergamotstage", "for-demonstrations"};
    VmSettings.LogLevel = "error";
    if (Options.AdjustSettings)
      Options.AdjustSettings(VmSettings);
    auto Started = runtime::Daemon::start(VmSettings, [](const Exit &) {});
    if (!Started)
      return tl::make_unexpected(Started.error());
    Site->m_Daemons.push_back(std::move(*Started));
  }
  return Site;
}

void LocalSite::runPlatform(const LocalSiteOptions &Options) {
  StandInSettings Settings;
  Settings.ListenAddress = m_PlatformAddress;
  Settings.RulesText = localSiteRules(Options, m_TargetPorts);
  Settings.LagMilliseconds = static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(Options.Lag).count());
  StandInGroup Group;
  Group.Database = DatabaseId("waitlist-a");
  for (unsigned Index = 0; Index < Targets; ++Index)
    Group.Targets.push_back(
        {TargetId("waitlist-a-" + std::to_string(Index + 1)),
         m_TargetPorts[Index]});
  Settings.Groups.push_back(std::move(Group));
  for (std::size_t Index = 0; Index < m_PeerAddresses.size(); ++Index)
    Settings.Vms.push_back({VmId(vmName(Index)),
                            DataCentreId(DataCentres[Index % 3]),
                            m_PeerAddresses[Index], false});
  std::shared_future<void> Ended = m_Ended.get_future().share();
  m_StandIn = std::thread([Settings, Ended] {
    auto Result = runStandIn(Settings, [Ended] { Ended.wait(); });
    if (!Result)
      std::cerr << "stand-in platform: " << Result.error() << "\n";
  });
}

LocalSite::~LocalSite() {
  m_Daemons.clear();
  m_Ended.set_value();
  if (m_StandIn.joinable())
    m_StandIn.join();
}

std::string LocalSite::callerAddress(unsigned Vm,
                                     const std::string &Route) const {
  return "hostaddr=127.0.0.1 port=" + std::to_string(callerPort(Vm)) +
         " user=ward-1 password=demo-key dbname=" + Route +
         " sslmode=prefer gssencmode=disable";
}

std::string LocalSite::primaryAddress() const {
  return "hostaddr=127.0.0.1 port=" + std::to_string(m_TargetPorts.front()) +
         " user=bergamotstage dbname=waitlist-a sslmode=disable"
         " gssencmode=disable";
}

} // namespace bergamotstage::standin
