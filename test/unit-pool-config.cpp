#include "standin/site/PoolCallers.h"
#include "standin/site/PoolFleet.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>

using namespace bergamotstage;
using namespace bergamotstage::pooling;
using namespace bergamotstage::standin;

namespace {

/// Time in which a change must be in force on every VM.
constexpr Duration ChangeTimeout = seconds(3);
constexpr unsigned LargeVms = 6;
constexpr std::uint64_t Megabit = 125000; ///< In bytes.

/// @brief A fleet of which most VMs have a slow processor and link.
class MixedFleet {
public:
  explicit MixedFleet(unsigned Vms)
      : m_Fleet(settings(Vms)), m_Config(poolConfig(2, 2, 100)) {
    addRoutes(2866);
    m_Fleet.configure(m_Config);
    m_Fleet.start();
    m_Fleet.run(seconds(20));
  }

  void addRoutes(unsigned Count) {
    RouteConfig Route = m_Config.Routes.at("own-0");
    for (unsigned Index = 0; Index < Count; ++Index) {
      std::string Number = std::to_string(++m_LastRoute * 2654435761U);
      Route.Name = RouteId("r-" + Number);
      m_Config.Routes["db" + Number] = Route;
    }
  }

  /// @brief Publishes the routes as a new version.
  void publish() {
    ++m_Config.Version;
    m_Fleet.configure(m_Config);
  }

  /// @brief Number of VMs on which the published version is not in force.
  std::size_t behind() {
    std::size_t Count = 0;
    for (const VmId &Name : m_Fleet.vms()) {
      const PoolNode *Node = m_Fleet.node(Name);
      Count += Node != nullptr && Node->configVersion() < m_Config.Version;
    }
    return Count;
  }

  /// @brief Configurations that VMs received after they had a newer one.
  std::uint64_t outdated() {
    std::uint64_t Count = 0;
    for (const VmId &Name : m_Fleet.vms())
      if (const PoolNode *Node = m_Fleet.node(Name))
        Count += Node->configCounts().Outdated;
    return Count;
  }

  PoolFleet &fleet() { return m_Fleet; }

private:
  static PoolFleet::Settings settings(unsigned Vms) {
    PoolFleet::Settings Options;
    Options.Vms = Vms;
    Options.Groups = 2;
    Options.SizeOf = [](unsigned Index) {
      return Index < LargeVms ? PoolFleet::VmSize{0.5, 200 * Megabit}
                              : PoolFleet::VmSize{0.12, 10 * Megabit};
    };
    return Options;
  }

  PoolFleet m_Fleet;
  SiteConfig m_Config;
  unsigned m_LastRoute = 0;
};

} // namespace

TEST_GROUP(PoolConfig){};

TEST(PoolConfig, ALargeChangeReachesVmsWithSlowLinksInTime) {
  MixedFleet Fleet(60);
  LONGS_EQUAL(0, Fleet.behind());
  Fleet.addRoutes(1400);
  Fleet.publish();
  Fleet.fleet().run(ChangeTimeout);
  LONGS_EQUAL(0, Fleet.behind());
}

TEST(PoolConfig, ALargeChangeReachesVmsInTimeWhenAllLinksAreSlow) {
  MixedFleet Fleet(60);
  for (unsigned Index = 0; Index < LargeVms; ++Index)
    Fleet.fleet().kill(VmId("vm-" + std::to_string(Index)), seconds(600));
  Fleet.fleet().run(seconds(10));
  Fleet.addRoutes(1400);
  Fleet.publish();
  Fleet.fleet().run(ChangeTimeout);
  LONGS_EQUAL(0, Fleet.behind());
}

TEST(PoolConfig, ASecondChangeDuringTheFirstOneReachesAllVmsInTime) {
  MixedFleet Fleet(60);
  Fleet.addRoutes(1400);
  Fleet.publish();
  Fleet.fleet().run(milliseconds(200));
  Fleet.addRoutes(1);
  Fleet.publish();
  Fleet.fleet().run(ChangeTimeout);
  LONGS_EQUAL(0, Fleet.behind());
}

TEST(PoolConfig, ALargeChangeIsNotSentToAVmAgainAndAgain) {
  MixedFleet Fleet(60);
  std::uint64_t Before = Fleet.outdated();
  Fleet.addRoutes(1400);
  Fleet.publish();
  Fleet.fleet().run(seconds(30));
  // A VM may get one copy from another VM and one from the store.
  CHECK_TRUE(Fleet.outdated() - Before <= Fleet.fleet().vms().size());
}

TEST(PoolConfig, AVmStartsWithALargeConfigurationOnASlowLink) {
  MixedFleet Fleet(60);
  Fleet.addRoutes(4000);
  Fleet.publish();
  Fleet.fleet().run(seconds(60));
  VmId Small("vm-30");
  Fleet.fleet().kill(Small, milliseconds(300));
  Fleet.fleet().run(milliseconds(300) + ChangeTimeout);
  LONGS_EQUAL(0, Fleet.behind());
}
