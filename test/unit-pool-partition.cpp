#include "bergamotstage/forward/OwnerOrder.h"
#include "standin/site/PoolConfig.h"
#include "standin/site/PoolFleet.h"

#include <CppUTest/TestHarness.h>

#include <optional>
#include <string>
#include <vector>

using namespace bergamotstage;
using namespace bergamotstage::pooling;
using namespace bergamotstage::standin;

namespace {

const TargetId Primary("group-0-0");
const VmId Entry("vm-0");

/// @brief Nine VMs of which some cannot reach the primary.
struct PartitionedFleet {
  PoolFleet Fleet;
  std::optional<VmId> LastSender; ///< Of a statement to the primary.
  std::optional<CallerReply> LastReply;
  unsigned LastRequest = 0;

  PartitionedFleet() : Fleet(settings()) {
    Fleet.onAnswer([this](const VmId &, CallerId, const CallerReply &Reply) {
      if (!Reply.Greeting)
        LastReply = Reply;
    });
    Fleet.onStatement([this](const VmId &Sender, const TargetId &Target) {
      if (Target == Primary)
        LastSender = Sender;
    });
    Fleet.configure(poolConfig(1, 2, 1000));
    Fleet.start();
    Fleet.run(seconds(6));
  }

  static PoolFleet::Settings settings() {
    PoolFleet::Settings Options;
    Options.Vms = 9;
    return Options;
  }

  /// @brief Runs one statement in a session of its own.
  /// @return whether it was served
  bool run(Verb Kind, const std::string &Route) {
    CallerId Caller = Fleet.connect(Entry, Route, "key-0");
    Fleet.run(milliseconds(5));
    LastReply.reset();
    Statement Stmt;
    Stmt.RequestId = "r" + std::to_string(++LastRequest);
    Stmt.Kind = Kind;
    Stmt.Text = "text";
    Fleet.send(Entry, Caller, Stmt);
    Instant Limit = Fleet.now() + seconds(2);
    while (!LastReply && Fleet.now() < Limit)
      Fleet.run(milliseconds(5));
    Fleet.disconnect(Entry, Caller);
    return LastReply && !LastReply->Error;
  }

  unsigned countServed(Verb Kind, const std::string &Route, unsigned Count) {
    unsigned Served = 0;
    for (unsigned Number = 0; Number < Count; ++Number) {
      Served += run(Kind, Route) ? 1 : 0;
      Fleet.run(milliseconds(50));
    }
    return Served;
  }

  VmId leaseHolder() {
    const std::string &Row = Fleet.rows().at("fleet/duty/group-0").Value;
    return VmId(Row.substr(0, Row.find(' ')));
  }

  /// @brief The VMs that own the primary's links, best first.
  std::vector<VmId> firstOwners(std::size_t Count) {
    MemberMap Members;
    for (const VmId &Vm : Fleet.vms())
      Members[Vm] = Fleet.member(Vm);
    OwnerOrder Order(Primary.value(), Fleet.dataCentreOf(Primary));
    Order.rebuild(Members);
    std::vector<VmId> First = Order.vms();
    First.resize(Count);
    return First;
  }

  /// @brief Cuts the first owners off from the primary until they notice it.
  std::vector<VmId> cutOwners(std::size_t Count) {
    std::vector<VmId> Cut = firstOwners(Count);
    for (const VmId &Owner : Cut)
      Fleet.cutTarget(Owner, Primary, true);
    countServed(Verb::Write, "primary-0", 20);
    return Cut;
  }
};

} // namespace

TEST_GROUP(Partition){};

TEST(Partition, OwnersThatStartBesideACutPrimaryServeAfterwards) {
  // Guards against a fleet that serves nothing after a restart: the owners
  // whose first connections failed never tried the primary again.
  PartitionedFleet Site;
  std::vector<VmId> Owners = Site.firstOwners(4);
  for (const VmId &Owner : Owners) {
    CHECK_TRUE(Owner != Site.leaseHolder());
    Site.Fleet.resetNewLinks(Owner, Primary, true);
  }
  for (const VmId &Vm : Site.Fleet.vms())
    Site.Fleet.kill(Vm, seconds(1));
  Site.Fleet.run(seconds(2));
  Site.countServed(Verb::Write, "primary-0", 20);
  for (const VmId &Owner : Owners)
    Site.Fleet.resetNewLinks(Owner, Primary, false);
  Site.Fleet.run(seconds(2));
  LONGS_EQUAL(0, Site.Fleet.promotions());
  LONGS_EQUAL(10, Site.countServed(Verb::Write, "primary-0", 10));
}

TEST(Partition, APrimaryThatIsSilentFromTheStartIsReplaced) {
  // Guards against a primary that is never suspected, as no connection to it
  // has been open since the VMs started.
  PartitionedFleet Site;
  CHECK_TRUE(Site.run(Verb::Write, "primary-0"));
  for (const VmId &Vm : Site.Fleet.vms())
    Site.Fleet.kill(Vm, seconds(1));
  Site.Fleet.setUnresponsive(Primary, true);
  Site.Fleet.run(seconds(2));
  Site.countServed(Verb::Write, "primary-0", 20);
  LONGS_EQUAL(1, Site.Fleet.promotions());
  LONGS_EQUAL(10, Site.countServed(Verb::Write, "primary-0", 10));
}

TEST(Partition, AReplicaReadIsServedThoughTheFirstOwnerCannotProve) {
  // Guards against replica reads that are all refused: only the first owner of
  // the primary was asked for a proven position.
  PartitionedFleet Site;
  Site.cutOwners(1);
  Site.Fleet.run(seconds(3));
  CHECK_TRUE(Site.countServed(Verb::Read, "bounded-0", 10) >= 9);
}

TEST(Partition, TheLeaseHolderServesAPrimaryThatTheFirstOwnersCannotReach) {
  // Guards against a service that is lost to a cut of the first owners: all
  // attempts of a statement went to them, and the holder of the promotion
  // lease saw no reason for a promotion.
  PartitionedFleet Site;
  VmId Holder = Site.leaseHolder();
  for (const VmId &Cut : Site.cutOwners(4))
    CHECK_TRUE(Cut != Holder);
  Site.Fleet.run(seconds(2));
  CHECK_TRUE(Site.countServed(Verb::Write, "primary-0", 20) >= 19);
  CHECK_TRUE(Site.LastSender == Holder);
  CHECK_TRUE(Site.countServed(Verb::Read, "bounded-0", 20) >= 18);
  LONGS_EQUAL(0, Site.Fleet.promotions());
}
