#include "standin/LocalSite.h"

#include "standin/SmallSite.h"

#include <asio.hpp>

#include <utility>

namespace bergamotstage::standin {
namespace {

constexpr unsigned Targets = 3;
const char *const DataCentres[] = {"hoan-kiem", "long-bien", "cau-giay"};

/// @brief Ports that were free a moment ago, all different.
std::vector<std::uint16_t> freePorts(std::size_t Count) {
  asio::io_context Io;
  std::vector<asio::ip::tcp::acceptor> Held;
  std::vector<std::uint16_t> Ports;
  for (std::size_t At = 0; At < Count; ++At) {
    Held.emplace_back(
        Io, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    Ports.push_back(Held.back().local_endpoint().port());
  }
  return Ports;
}

std::string loopback(std::uint16_t Port) {
  return "127.0.0.1:" + std::to_string(Port);
}

std::string vmName(std::size_t At) { return "vm-" + std::to_string(At + 1); }

/// @brief The rules of the small site with other addresses of its targets.
std::string rulesFor(const std::vector<std::uint16_t> &Ports) {
  std::string Text = smallSiteRules();
  for (unsigned At = 0; At < Targets; ++At) {
    std::string Old = "127.0.0.1:711" + std::to_string(At + 1);
    Text.replace(Text.find(Old), Old.size(), loopback(Ports[At]));
  }
  return Text;
}

} // namespace

tl::expected<std::unique_ptr<LocalSite>, std::string>
LocalSite::start(const LocalSiteOptions &Options) {
  std::unique_ptr<LocalSite> Site(new LocalSite);
  std::vector<std::uint16_t> Ports = freePorts(1 + Targets + Options.Vms);
  Site->m_PlatformAddress = loopback(Ports[0]);
  Site->m_TargetPorts.assign(Ports.begin() + 1, Ports.begin() + 1 + Targets);
  for (unsigned At = 0; At < Options.Vms; ++At)
    Site->m_PeerAddresses.push_back(loopback(Ports[1 + Targets + At]));
  Site->runPlatform(Options);
  for (unsigned At = 0; At < Options.Vms; ++At) {
    runtime::Settings Chosen;
    Chosen.Node = smallSiteVm(vmName(At), DataCentres[At % 3]);
    Chosen.Node.PeerAddress = Site->m_PeerAddresses[At];
    Chosen.ListenAddress = "127.0.0.1:0";
    Chosen.PlatformAddress = Site->m_PlatformAddress;
    Chosen.Target = {"bergamotstage", "for-demonstrations"};
    Chosen.LogLevel = "error";
    if (Options.Adjust)
      Options.Adjust(Chosen);
    auto Started = runtime::Daemon::start(Chosen, [](const Exit &) {});
    if (!Started)
      return tl::make_unexpected(Started.error());
    Site->m_Daemons.push_back(std::move(*Started));
  }
  return Site;
}

void LocalSite::runPlatform(const LocalSiteOptions &Options) {
  StandInSettings Chosen;
  Chosen.ListenAddress = m_PlatformAddress;
  Chosen.RulesText = rulesFor(m_TargetPorts);
  Chosen.LagMilliseconds = static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(Options.Lag).count());
  StandInGroup Group;
  Group.Database = DatabaseId("waitlist-a");
  for (unsigned At = 0; At < Targets; ++At)
    Group.Targets.push_back(
        {TargetId("waitlist-a-" + std::to_string(At + 1)), m_TargetPorts[At]});
  Chosen.Groups.push_back(std::move(Group));
  for (std::size_t At = 0; At < m_PeerAddresses.size(); ++At)
    Chosen.Vms.push_back({VmId(vmName(At)), DataCentreId(DataCentres[At % 3]),
                          m_PeerAddresses[At], false});
  std::shared_future<void> Ended = m_Ended.get_future().share();
  m_StandIn = std::thread(
      [Chosen, Ended] { runStandIn(Chosen, [Ended] { Ended.wait(); }); });
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
