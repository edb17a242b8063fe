#include "bergamotstage/placement/Evacuations.h"
#include "bergamotstage/placement/HomeRegions.h"
#include "standin/site/PoolCallers.h"
#include "standin/site/PoolFleet.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <string>
#include <vector>

using namespace bergamotstage;
using namespace bergamotstage::placement;
using namespace bergamotstage::standin;

namespace {

const DataCentreId East("east");
const DataCentreId West("west");
const RegionId Coast("coast");
const RegionId Inland("inland");

Instant at(int Milliseconds) {
  return Instant(seconds(100) + milliseconds(Milliseconds));
}

/// @brief Nine VMs and three groups under load, whose data centres can be
/// evacuated.
class EvacuationRun {
public:
  /// Nothing may arrive at a target later than this after the request.
  static constexpr Duration Bound = seconds(5);

  explicit EvacuationRun(unsigned SyncReplicas = 0)
      : m_Config(config(SyncReplicas)), m_Fleet(settings()),
        m_Callers(m_Fleet, m_Config) {
    m_Fleet.onLog([this](Instant, const VmId &, const WriteLog &Entry) {
      ++m_Events[Entry.EventName];
    });
    m_Fleet.configure(m_Config);
    m_Fleet.start();
    m_Fleet.run(seconds(6));
    const char *const Routes[] = {"primary-", "bounded-", "own-"};
    unsigned Number = 0;
    for (const VmId &Vm : m_Fleet.vms())
      for (unsigned Copy = 0; Copy < 9; ++Copy, ++Number)
        m_Callers.add(Vm, Routes[Number % 3] + std::to_string(Number / 3 % 3),
                      Number % 4, milliseconds(60));
    m_Fleet.run(seconds(2));
  }

  PoolFleet &fleet() { return m_Fleet; }
  unsigned events(const std::string &Name) const {
    auto Found = m_Events.find(Name);
    return Found == m_Events.end() ? 0 : Found->second;
  }

  DataCentreId primaryDataCentre(unsigned Group) {
    return m_Fleet.dataCentreOf(m_Fleet.group(Group).primary());
  }

  /// @brief Operations served in a time span.
  unsigned servedIn(Duration Span) {
    unsigned Before = m_Callers.counts().Served;
    m_Fleet.run(Span);
    return m_Callers.counts().Served - Before;
  }

  void checkGuarantees() {
    for (const std::string &Violation : m_Callers.violations())
      FAIL(Violation.c_str());
    CHECK_TRUE(m_Callers.maxRateExcess() <= 0);
  }

private:
  static pooling::SiteConfig config(unsigned SyncReplicas) {
    pooling::SiteConfig Config = poolConfig(3, 4, 400);
    for (auto &[Id, Group] : Config.Groups)
      Group.SyncReplicas = SyncReplicas;
    return Config;
  }

  static PoolFleet::Settings settings() {
    PoolFleet::Settings Options;
    Options.Seed = 9;
    Options.Vms = 9;
    Options.Groups = 3;
    Options.PromotionTime = milliseconds(1000);
    return Options;
  }

  pooling::SiteConfig m_Config;
  PoolFleet m_Fleet;
  PoolCallers<PoolFleet> m_Callers;
  std::map<std::string, unsigned> m_Events;
};

} // namespace

TEST_GROUP(Evacuations) {
  Evacuations Known;
  void setup() override { Known.setBound(seconds(5)); }
};

// Guards against an update of a lagging VM that takes back a newer change.
TEST(Evacuations, OlderListsAreIgnored) {
  CHECK_TRUE(Known.applyChange(East, true, 7, at(0)));
  CHECK_FALSE(Known.apply({6, {}}, at(1)));
  CHECK_TRUE(Known.contains(East));
  CHECK_FALSE(Known.applyChange(East, false, 5, at(2)));
  CHECK_TRUE(Known.apply({8, {}}, at(3)));
  CHECK_FALSE(Known.contains(East));
}

// Guards against losing the second of two rows that one transaction wrote.
TEST(Evacuations, RowsOfOneTransactionShareAVersion) {
  CHECK_TRUE(Known.applyChange(East, true, 7, at(0)));
  CHECK_TRUE(Known.applyChange(West, true, 7, at(0)));
  LONGS_EQUAL(2, Known.list().DataCentres.size());
}

// Guards against statements that arrive after the bound: learning of it may
// take three of its five seconds.
TEST(Evacuations, NothingIsSentAfterTheGracePeriod) {
  Known.applyChange(East, true, 7, at(0));
  CHECK_TRUE(Known.maySend(East, at(1400)));
  CHECK_FALSE(Known.maySend(East, at(1500)));
  CHECK_TRUE(Known.maySend(West, at(1500)));
  CHECK_TRUE(Known.nextDeadline(at(0)) == at(1500));
  // A repeated report extends nothing.
  Known.apply({9, {East}}, at(1000));
  CHECK_FALSE(Known.maySend(East, at(1500)));
}

// Guards against a VM that starts long after the row was written and takes the
// time of its start for the time of the request.
TEST(Evacuations, TheFirstListGrantsNoTime) {
  Known.apply({9, {East}}, at(0));
  CHECK_FALSE(Known.maySend(East, at(0)));
  CHECK_TRUE(Known.maySend(West, at(0)));
  Known.apply({10, {East, West}}, at(100));
  CHECK_FALSE(Known.maySend(East, at(100)));
  CHECK_TRUE(Known.maySend(West, at(100)));
}

TEST_GROUP(HomeRegions) { HomeRegions Homes{{{East, Coast}, {West, Inland}}}; };

// Guards against running an operation outside of its home regions.
TEST(HomeRegions, RouteAndAccountBothBind) {
  CHECK_TRUE(Homes.mayRunIn(West, {}, {}));
  CHECK_TRUE(Homes.mayRunIn(East, {Coast}, {}));
  CHECK_FALSE(Homes.mayRunIn(West, {Coast}, {}));
  CHECK_FALSE(Homes.mayRunIn(East, {Coast}, {Inland}));
  CHECK_FALSE(Homes.mayRunIn(DataCentreId("unknown"), {Coast}, {}));
}

// Guards against sending a statement through a third region.
TEST(HomeRegions, StatementsPassHomesAndTheCallersRegion) {
  CHECK_TRUE(Homes.mayPass(East, West, {Coast}, {}));
  CHECK_TRUE(Homes.mayPass(West, West, {Coast}, {}));
  CHECK_FALSE(Homes.mayPass(West, East, {Coast}, {}));
}

TEST_GROUP(EvacuationOfAFleet){};

// Guards against statements at an evacuated data centre after the bound, open
// transactions included, and against a primary that stays there.
TEST(EvacuationOfAFleet, NothingArrivesAfterTheBoundAndPrimariesMove) {
  EvacuationRun Run;
  DataCentreId Left = Run.primaryDataCentre(0);
  unsigned Before = Run.servedIn(seconds(4));
  Instant RequestedAt = Run.fleet().now();
  Run.fleet().evacuate(Left, true);
  Run.fleet().run(seconds(6));
  unsigned After = Run.servedIn(seconds(4));
  CHECK_TRUE(Run.fleet().lastStatementIn(Left) <
             RequestedAt + EvacuationRun::Bound);
  for (unsigned Group = 0; Group < 3; ++Group)
    CHECK_FALSE(Run.primaryDataCentre(Group) == Left);
  // The targets elsewhere have slots for all of the load.
  CHECK_TRUE(After * 10 >= Before * 9);
  LONGS_EQUAL(9, Run.events("evacuation_started"));
  LONGS_EQUAL(9, Run.events("evacuation_finished"));
  Run.checkGuarantees();
}

// Guards against a row that is believed for ever, and against one that comes
// back with a VM that lags behind.
TEST(EvacuationOfAFleet, TheDataCentreServesAgainOnceTheRowIsGone) {
  EvacuationRun Run;
  DataCentreId Left = Run.primaryDataCentre(0);
  Run.fleet().evacuate(Left, true);
  Run.fleet().run(seconds(6));
  Instant WithdrawnAt = Run.fleet().now();
  Run.fleet().evacuate(Left, false);
  Run.fleet().run(seconds(5));
  CHECK_TRUE(Run.fleet().lastStatementIn(Left) > WithdrawnAt + seconds(4));
  LONGS_EQUAL(9, Run.events("evacuation_withdrawn"));
  Run.checkGuarantees();
}

// Guards against a promotion that is cut in two when the row goes meanwhile.
TEST(EvacuationOfAFleet, APromotionEndsThoughTheRowGoesMeanwhile) {
  EvacuationRun Run;
  DataCentreId Left = Run.primaryDataCentre(0);
  unsigned Before = Run.servedIn(seconds(4));
  Run.fleet().evacuate(Left, true);
  Run.fleet().run(milliseconds(300));
  Run.fleet().evacuate(Left, false);
  Run.fleet().run(seconds(4));
  CHECK_TRUE(Run.servedIn(seconds(4)) * 10 >= Before * 9);
  Run.checkGuarantees();
}

// Guards against taking back an evacuation because the store does not answer.
TEST(EvacuationOfAFleet, TheLastKnownRowsHoldWhileTheStoreIsDown) {
  EvacuationRun Run;
  DataCentreId Left = Run.primaryDataCentre(0);
  Run.fleet().evacuate(Left, true);
  Run.fleet().run(seconds(6));
  Instant Last = Run.fleet().lastStatementIn(Left);
  Run.fleet().setStoreDown(true);
  Run.fleet().run(seconds(8));
  CHECK_TRUE(Run.fleet().lastStatementIn(Left) == Last);
  Run.fleet().setStoreDown(false);
  Run.fleet().run(seconds(2));
  CHECK_TRUE(Run.fleet().lastStatementIn(Left) == Last);
  Run.checkGuarantees();
}

// Guards against a VM that starts in the middle and knows nothing of it.
TEST(EvacuationOfAFleet, AVmThatStartsMeanwhileSendsNothingThere) {
  EvacuationRun Run;
  DataCentreId Left = Run.primaryDataCentre(0);
  Run.fleet().evacuate(Left, true);
  Run.fleet().run(seconds(6));
  Instant Last = Run.fleet().lastStatementIn(Left);
  for (const VmId &Vm : Run.fleet().vms())
    Run.fleet().kill(Vm, milliseconds(400));
  Run.fleet().run(seconds(6));
  CHECK_TRUE(Run.fleet().lastStatementIn(Left) == Last);
}

// Guards against losing acknowledged commits of synchronous groups in the
// planned promotion.
TEST(EvacuationOfAFleet, SynchronousGroupsKeepTheirCommits) {
  EvacuationRun Run(1);
  Run.fleet().evacuate(Run.primaryDataCentre(0), true);
  Run.fleet().run(seconds(8));
  Run.checkGuarantees();
}

// Guards against callers that wait until their deadline where no target may
// serve, and against a promotion inside of evacuated data centres.
TEST(EvacuationOfAFleet, WithoutAnyTargetCallersAreRefusedAtOnce) {
  EvacuationRun Run;
  std::uint64_t Before = Run.fleet().promotions();
  Instant RequestedAt = Run.fleet().now();
  for (const char *Name : {"east", "west", "south"})
    Run.fleet().evacuate(DataCentreId(Name), true);
  Run.fleet().run(seconds(6));
  LONGS_EQUAL(0, Run.servedIn(seconds(2)));
  LONGS_EQUAL(Before, Run.fleet().promotions());
  for (const char *Name : {"east", "west", "south"})
    CHECK_TRUE(Run.fleet().lastStatementIn(DataCentreId(Name)) <
               RequestedAt + EvacuationRun::Bound);
  for (const char *Name : {"east", "west", "south"})
    Run.fleet().evacuate(DataCentreId(Name), false);
  CHECK_TRUE(Run.servedIn(seconds(3)) > 0);
  Run.checkGuarantees();
}
