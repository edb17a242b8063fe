#ifndef BERGAMOTSTAGE_TEST_COSTFLEET_H
#define BERGAMOTSTAGE_TEST_COSTFLEET_H

#include "bergamotstage/fleetcost/PeerTraffic.h"
#include "standin/site/PoolCallers.h"
#include "standin/site/PoolFleet.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace bergamotstage::standin {

/// @brief A fleet of equal VMs on links of 10 Mbit/s whose groups of targets
/// grow with the VMs, and the traffic of its VMs since a mark.
class CostFleet {
public:
  using Count = fleetcost::PeerTraffic::Count;

  struct Options {
    unsigned Vms = 30;
    unsigned VmsPerGroup = 10;
    unsigned Routes = 0; ///< In addition to three for each group.
    Duration TargetRewriteInterval{};
  };

  explicit CostFleet(const Options &Chosen)
      : m_Fleet(settings(Chosen)),
        m_Config(poolConfig(m_Fleet.groups(), Accounts, AccountRate)) {
    addRoutes(Chosen.Routes);
    m_Fleet.configure(m_Config);
    mark();
  }

  PoolFleet &fleet() { return m_Fleet; }

  void addRoutes(unsigned Number) {
    RouteConfigs &Routes = m_Config.Routes;
    pooling::RouteConfig Route = Routes.at("own-0");
    for (unsigned Index = 0; Index < Number; ++Index) {
      std::string Name = std::to_string(++m_LastRoute * 2654435761U);
      Route.Name = RouteId("r-" + Name);
      Routes["db" + Name] = Route;
    }
  }

  /// @brief Publishes one more route as a new version.
  void changeConfig() {
    addRoutes(1);
    ++m_Config.Version;
    m_Fleet.configure(m_Config);
  }

  /// @brief VMs on which the published configuration is not in force.
  std::size_t behind() {
    std::size_t Result = 0;
    for (const VmId &Name : m_Fleet.vms()) {
      const pooling::PoolNode *Node = m_Fleet.node(Name);
      Result += Node != nullptr && Node->configVersion() < m_Config.Version;
    }
    return Result;
  }

  /// @brief Counts from now on.
  void mark() {
    for (const VmId &Vm : m_Fleet.vms()) {
      m_Traffic[Vm] = m_Fleet.traffic(Vm);
      m_RowCalls[Vm] = m_Fleet.rowCalls(Vm);
    }
  }

  /// @brief What a VM sent since the mark, of one kind.
  Count sent(const VmId &Vm, std::size_t Kind) const {
    return difference(
        m_Fleet.traffic(Vm).count(Kind, fleetcost::Direction::Sent),
        m_Traffic.at(Vm).count(Kind, fleetcost::Direction::Sent));
  }
  /// @brief What a VM sent since the mark, of all kinds.
  Count sent(const VmId &Vm) const {
    return difference(m_Fleet.traffic(Vm).total(fleetcost::Direction::Sent),
                      m_Traffic.at(Vm).total(fleetcost::Direction::Sent));
  }
  Count rowCalls(const VmId &Vm) const {
    return difference(m_Fleet.rowCalls(Vm), m_RowCalls.at(Vm));
  }

private:
  using RouteConfigs = std::unordered_map<std::string, pooling::RouteConfig>;
  static constexpr unsigned Accounts = 84;
  static constexpr double AccountRate = 100;
  static constexpr std::uint64_t LinkBytesPerSecond = 1250000; ///< 10 Mbit/s.

  static PoolFleet::Settings settings(const Options &Chosen) {
    PoolFleet::Settings Result;
    Result.Vms = Chosen.Vms;
    Result.Groups = std::max(1U, Chosen.Vms / Chosen.VmsPerGroup);
    Result.TargetRewriteInterval = Chosen.TargetRewriteInterval;
    Result.SizeOf = [](unsigned) {
      return PoolFleet::VmSize{0.12, LinkBytesPerSecond};
    };
    return Result;
  }

  static Count difference(const Count &Now, const Count &Before) {
    return {Now.Messages - Before.Messages, Now.Bytes - Before.Bytes};
  }

  PoolFleet m_Fleet;
  pooling::SiteConfig m_Config;
  unsigned m_LastRoute = 0;
  std::map<VmId, fleetcost::PeerTraffic> m_Traffic;
  std::map<VmId, Count> m_RowCalls;
};

} // namespace bergamotstage::standin

#endif // BERGAMOTSTAGE_TEST_COSTFLEET_H
