#include "CostFleet.h"
#include "bergamotstage/fleetcost/TargetHistory.h"
#include "bergamotstage/forward/Rendezvous.h"
#include "bergamotstage/pooling/RankedMembers.h"

#include <CppUTest/TestHarness.h>

using namespace bergamotstage;
using namespace bergamotstage::standin;

namespace {

/// What one VM may send in a second, whatever it does: a part that does not
/// depend on the fleet, and for each VM one short message.
constexpr std::uint64_t BaseMessages = 100;
constexpr std::uint64_t BaseBytes = 16384;
constexpr std::uint64_t BytesForEachVm = 128;

/// @brief Checks what every VM sent since the mark.
void checkBounds(CostFleet &Fleet, Duration Span) {
  std::size_t Vms = Fleet.fleet().vms().size();
  auto Seconds = static_cast<std::uint64_t>(toSeconds(Span));
  for (const VmId &Vm : Fleet.fleet().vms()) {
    CostFleet::Count Sent = Fleet.sent(Vm);
    CHECK_COMPARE(Sent.Messages, <=, Seconds * (BaseMessages + Vms));
    CHECK_COMPARE(Sent.Bytes, <=, Seconds * (BaseBytes + Vms * BytesForEachVm));
  }
}

void runAndCheck(CostFleet &Fleet, Duration Span) {
  Fleet.mark();
  Fleet.fleet().run(Span);
  checkBounds(Fleet, Span);
}

/// @brief Checks a start of all VMs, a quiet second, one change of the
/// configuration and one lost VM. Targets write their entries every second, as
/// those of a platform with leases do.
void checkFleet(unsigned Vms) {
  CostFleet::Options Chosen;
  Chosen.Vms = Vms;
  Chosen.TargetRewriteInterval = seconds(1);
  CostFleet Fleet(Chosen);
  Fleet.fleet().start();
  runAndCheck(Fleet, seconds(3));
  LONGS_EQUAL(0, Fleet.behind());
  runAndCheck(Fleet, seconds(1));
  Fleet.changeConfig();
  runAndCheck(Fleet, seconds(2));
  LONGS_EQUAL(0, Fleet.behind());
  Fleet.fleet().kill(VmId("vm-7"), seconds(600));
  runAndCheck(Fleet, seconds(1));
}

} // namespace

/// Guards against traffic of one VM that grows faster than the fleet: before,
/// a reader of the store sent 0.3 VMs changes a second to each VM.
TEST_GROUP(FleetCost){};

TEST(FleetCost, NoVmOf30SendsMoreThanItsShare) { checkFleet(30); }

TEST(FleetCost, NoVmOf100SendsMoreThanItsShare) { checkFleet(100); }

TEST(FleetCost, NoVmOf300SendsMoreThanItsShare) { checkFleet(300); }

TEST(FleetCost, NoVmOf420SendsMoreThanItsShare) { checkFleet(420); }

TEST_GROUP(UpdateRequest){};

TEST(UpdateRequest, CarriesTheDigestOfTheListBetweenVms) {
  // Without it each VM of a starting fleet is sent the full list.
  auto Read = pooling::decodeMessage(pooling::encodeMessage(
      pooling::StoreUpdateRequest{1, 2, 77, 5, {TargetId("t")}}));
  CHECK_TRUE(Read.has_value());
  const auto &Request = std::get<pooling::StoreUpdateRequest>(*Read);
  LONGS_EQUAL(5, Request.ListDigest);
  LONGS_EQUAL(1, Request.Rejected.size());
}

TEST_GROUP(TargetHistory){};

TEST(TargetHistory, NamesEachTargetThatChangedSinceAVersionOnce) {
  fleetcost::TargetHistory History;
  CHECK_FALSE(History.isStarted());
  History.start(1000);
  for (const char *Id : {"a", "b", "a"})
    History.record(TargetId(Id));
  LONGS_EQUAL(1003, History.version());
  LONGS_EQUAL(2, History.changedSince(1000)->size());
  LONGS_EQUAL(1, History.changedSince(1002)->size());
  CHECK_TRUE(History.changedSince(1003)->empty());
  // Versions of another process, or from before the start.
  CHECK_FALSE(History.changedSince(999).has_value());
  CHECK_FALSE(History.changedSince(1004).has_value());
}

TEST(TargetHistory, DoesNotGrowWithTheTargetsOfALongTime) {
  // A VM whose version is older than what is kept must get the full list.
  fleetcost::TargetHistory History;
  History.start(1);
  for (unsigned Index = 0; Index < 5000; ++Index)
    History.record(TargetId(std::to_string(Index)));
  CHECK_FALSE(History.changedSince(1).has_value());
  CHECK_FALSE(History.changedSince(2000).has_value());
  LONGS_EQUAL(1001, History.changedSince(4000)->size());
}

TEST_GROUP(RankedMembers){};

TEST(RankedMembers, OrdersThatFollowChangesAreThoseRankedAnew) {
  // VMs that rank owners differently send statements to different ones.
  std::mt19937_64 Random(5);
  auto MemberOf = [&Random](unsigned Index) {
    const char *const Zones[] = {"east", "west", "south"};
    return MemberState{VmId("vm-" + std::to_string(Index)),
                       DataCentreId(Zones[Random() % 3]),
                       "",
                       Incarnation(1),
                       Random() % 4 != 0,
                       Random() % 8 == 0,
                       Random() % 2 == 0 ? 0.5 : 0.12};
  };
  pooling::RankedMembers Members(MemberOf(0));
  for (unsigned Step = 0; Step < 400; ++Step) {
    for (std::uint64_t Changes = Random() % 24; Changes > 0; --Changes) {
      auto Index = static_cast<unsigned>(Random() % 60);
      if (Random() % 8 == 0)
        Members.erase(VmId("vm-" + std::to_string(Index)));
      else
        Members.upsert(MemberOf(Index));
    }
    for (const char *Subject : {"t-1", "t-2"})
      CHECK_TRUE(Members.ownerOrder(Subject, DataCentreId("west")) ==
                 rankOwners(Subject, DataCentreId("west"), Members.all()));
  }
}

TEST_GROUP(RewrittenEntries) {
  pooling::TargetTable Table;
  Instant Now{seconds(10)};
  using Change = pooling::TargetTable::Change;

  Change apply(std::uint64_t Version, bool Primary = true) {
    pooling::TargetEntry Entry;
    Entry.Id = TargetId("t-1");
    Entry.Group = DatabaseId("g");
    Entry.ReportsPrimary = Primary;
    Entry.Version = Version;
    return Table.apply(Entry, Now);
  }
};

TEST(RewrittenEntries, ANewVersionAloneIsNoChange) {
  CHECK_TRUE(apply(1) == Change::Added);
  CHECK_TRUE(apply(2) == Change::Rewritten);
  CHECK_TRUE(apply(3, false) == Change::Modified);
  LONGS_EQUAL(3, Table.find(TargetId("t-1"))->Version);
}

TEST(RewrittenEntries, ANewVersionConfirmsARejectedClaim) {
  // Otherwise the operations that wait for a primary would not be tried.
  apply(1);
  Table.rejectPrimaryClaim(TargetId("t-1"));
  CHECK_FALSE(Table.primary(DatabaseId("g")).has_value());
  LONGS_EQUAL(1, Table.unresolvedClaims().size());
  CHECK_TRUE(apply(2) == Change::Modified);
  CHECK_TRUE(Table.primary(DatabaseId("g")).has_value());
  CHECK_TRUE(Table.unresolvedClaims().empty());
}

TEST(RewrittenEntries, AnEntryThatReappearsIsAChange) {
  // Other VMs were told that it is gone.
  apply(1);
  CHECK_TRUE(Table.remove(TargetId("t-1"), Now));
  CHECK_FALSE(Table.isListed(TargetId("t-1")));
  CHECK_TRUE(apply(2) == Change::Modified);
  CHECK_TRUE(Table.isListed(TargetId("t-1")));
}

TEST(RewrittenEntries, AnOlderEntryDoesNotUndoARemoval) {
  apply(2);
  Table.remove(TargetId("t-1"), Now);
  CHECK_TRUE(apply(1) == Change::None);
  CHECK_FALSE(Table.isListed(TargetId("t-1")));
}

TEST_GROUP(PeerTraffic){};

TEST(PeerTraffic, CountsByKindAndDirection) {
  fleetcost::PeerTraffic Traffic;
  Traffic.record(pooling::Ping(), fleetcost::Direction::Sent, 2);
  Traffic.record(pooling::Ping(), fleetcost::Direction::Sent, 12345678);
  Traffic.record(pooling::RenewalReply(), fleetcost::Direction::Received, 9);
  CHECK_EQUAL(
      std::string("bergamotstage_peer_messages_total{kind=\"ping\","
                  "direction=\"sent\"} 2\n"
                  "bergamotstage_peer_bytes_total{kind=\"ping\","
                  "direction=\"sent\"} 12345680\n"
                  "bergamotstage_peer_messages_total{kind=\"renewal_reply\","
                  "direction=\"received\"} 1\n"
                  "bergamotstage_peer_bytes_total{kind=\"renewal_reply\","
                  "direction=\"received\"} 9\n"),
      fleetcost::renderTraffic(Traffic));
}
