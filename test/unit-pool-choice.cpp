#include "bergamotstage/balancing/TargetSelector.h"
#include "bergamotstage/forward/Rendezvous.h"
#include "bergamotstage/pooling/PeerHealth.h"
#include "bergamotstage/pooling/PositionProofs.h"
#include "bergamotstage/pooling/TargetTable.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <memory>

using namespace bergamotstage;
using namespace bergamotstage::balancing;
using namespace bergamotstage::pooling;

namespace {

Instant at(int Milliseconds) {
  return Instant(seconds(100) + milliseconds(Milliseconds));
}

HistoryPoint point(std::uint64_t AtTerm, std::uint64_t Number) {
  return {Term(AtTerm), LogPosition(Number)};
}

TargetEntry entry(const char *Id, bool ReportsPrimary, std::uint64_t Version,
                  const char *Zone = "east") {
  TargetEntry Result;
  Result.Id = TargetId(Id);
  Result.Group = DatabaseId("g");
  Result.DataCentre = DataCentreId(Zone);
  Result.Slots = 3;
  Result.ReportsPrimary = ReportsPrimary;
  Result.Version = Version;
  return Result;
}

} // namespace

TEST_GROUP(PositionProofs){};

TEST(PositionProofs, ChoosesTheOldestThatIsYoungEnough) {
  PositionProofs Proofs;
  Proofs.add(at(0), point(1, 10));
  Proofs.add(at(100), point(1, 20));
  Proofs.add(at(200), point(1, 30));
  CHECK_TRUE(Proofs.oldestSince(at(50)) == point(1, 20));
  CHECK_FALSE(Proofs.oldestSince(at(201)).has_value());
}

TEST(PositionProofs, ANewTermVoidsEarlierProofs) {
  PositionProofs Proofs;
  Proofs.add(at(0), point(1, 50));
  Proofs.add(at(100), point(2, 40));
  CHECK_TRUE(Proofs.oldestSince(at(-100)) == point(2, 40));
  Proofs.add(at(200), point(1, 60));
  CHECK_TRUE(Proofs.newest() == at(100));
}

TEST(PositionProofs, IgnoresLateRepliesToEarlierRequests) {
  PositionProofs Proofs;
  Proofs.add(at(100), point(1, 20));
  Proofs.add(at(50), point(1, 25));
  CHECK_TRUE(Proofs.newest() == at(100));
  CHECK_TRUE(Proofs.oldestSince(at(0)) == point(1, 20));
}

TEST_GROUP(TargetTable){};

TEST(TargetTable, TheNewestReportedPrimaryWins) {
  TargetTable Table;
  Table.apply(entry("a", true, 1), at(0));
  Table.apply(entry("b", true, 2), at(0));
  CHECK_TRUE(Table.primary(DatabaseId("g")) == TargetId("b"));
}

TEST(TargetTable, ARejectedPrimaryNeedsANewerEntry) {
  TargetTable Table;
  Table.apply(entry("a", true, 1), at(0));
  Table.rejectPrimaryClaim(TargetId("a"));
  CHECK_FALSE(Table.primary(DatabaseId("g")).has_value());
  Table.apply(entry("a", true, 5), at(0));
  CHECK_TRUE(Table.primary(DatabaseId("g")) == TargetId("a"));
}

TEST(TargetTable, APromotionOverridesOlderEntries) {
  TargetTable Table;
  Table.apply(entry("a", true, 3), at(0));
  Table.apply(entry("b", false, 2), at(0));
  Table.recordPromotion(DatabaseId("g"), TargetId("b"), Term(2));
  CHECK_TRUE(Table.primary(DatabaseId("g")) == TargetId("b"));
}

TEST(TargetTable, KeepsMissingEntriesForTheGracePeriod) {
  TargetTable Table;
  Table.apply(entry("a", true, 1), at(0));
  Table.remove(TargetId("a"), at(0));
  CHECK_TRUE(Table.removeExpired(at(3000), seconds(4)).empty());
  Table.apply(entry("a", true, 1), at(3500));
  CHECK_TRUE(Table.removeExpired(at(9000), seconds(4)).empty());
  Table.remove(TargetId("a"), at(9000));
  LONGS_EQUAL(1, Table.removeExpired(at(13000), seconds(4)).size());
}

TEST(TargetTable, ADrainingPrimaryServesUntilItsDeadline) {
  TargetTable Table;
  TargetEntry Leaving = entry("a", true, 1);
  Leaving.Draining = true;
  Table.apply(Leaving, at(0));
  CHECK_FALSE(Table.acceptsOperations(TargetId("a")));
  CHECK_TRUE(Table.mayServeAsPrimary(TargetId("a"), at(1000)));
  CHECK_FALSE(Table.mayServeAsPrimary(TargetId("a"), at(6900)));
}

TEST(TargetTable, DetectsARestart) {
  TargetTable Table;
  TargetEntry First = entry("a", false, 1);
  First.ProcessStart = 10;
  Table.apply(First, at(0));
  First.ProcessStart = 11;
  First.Version = 2;
  CHECK_TRUE(Table.apply(First, at(1)) == TargetTable::Change::Restarted);
}

TEST(TargetTable, ANewAddressIsARestart) {
  // Guards against links that are opened to the earlier address for good.
  TargetTable Table;
  TargetEntry Entry = entry("a", false, 1);
  Entry.Address = "10.0.0.1:80";
  Table.apply(Entry, at(0));
  Entry.Address = "10.0.0.1:81";
  Entry.Version = 2;
  CHECK_TRUE(Table.apply(Entry, at(1)) == TargetTable::Change::Restarted);
}

TEST_GROUP(TargetSelector) {
  Context Ctx{VmId("vm-a"), DataCentreId("east"), 1};
  TargetTable Table;
  std::vector<VmId> Owners{VmId("vm-a"), VmId("vm-b")};
  TargetSelector Selector{
      Ctx, Table,
      [this](const TargetId &) -> const std::vector<VmId> & { return Owners; }};
  Session Caller;
  Operation Op;

  void setup() override {
    Ctx.setNow(at(0));
    Table.apply(entry("primary", true, 1, "west"), at(0));
    Table.apply(entry("near", false, 2, "east"), at(0));
    Table.apply(entry("far", false, 3, "south"), at(0));
    Op.Route.Group = DatabaseId("g");
    Op.Route.Reads = Consistency::ReadYourWrites;
    Op.Route.MaxStaleness = milliseconds(1500);
    Op.Arrived = at(0);
    Op.Mode = Access::Replica;
    Op.ReplicaAllowed = true;
  }
};

TEST(TargetSelector, ReadsGoToTheNearestReplica) {
  Selector.proofs(DatabaseId("g")).add(at(-1000), point(1, 5));
  auto Result = Selector.select(Caller, Op);
  CHECK_TRUE(Result.Target == TargetId("near"));
  CHECK_TRUE(Result.AccessMode == Access::Replica);
  CHECK_TRUE(Result.After == point(1, 5));
}

TEST(TargetSelector, ReadsNeedARecentProof) {
  Selector.proofs(DatabaseId("g")).add(at(-1501), point(1, 5));
  CHECK_TRUE(Selector.select(Caller, Op).Type ==
             TargetSelector::Choice::Kind::NoPosition);
}

TEST(TargetSelector, TheSessionsOwnCommitIsRequired) {
  Selector.proofs(DatabaseId("g")).add(at(-1000), point(1, 5));
  Caller.LastCommits[DatabaseId("g")] = point(1, 9);
  CHECK_TRUE(Selector.select(Caller, Op).After == point(1, 9));
  Op.Route.Reads = Consistency::Bounded;
  CHECK_TRUE(Selector.select(Caller, Op).After == point(1, 5));
}

TEST(TargetSelector, AProofOfALaterTermCoversTheSessionsCommit) {
  Selector.proofs(DatabaseId("g")).add(at(-1000), point(2, 5));
  Caller.LastCommits[DatabaseId("g")] = point(1, 9);
  CHECK_TRUE(Selector.select(Caller, Op).After == point(2, 5));
}

TEST(TargetSelector, SkipsAReplicaThatIsBehind) {
  Selector.proofs(DatabaseId("g")).add(at(-1000), point(1, 5));
  Selector.markBehind(TargetId("near"));
  CHECK_TRUE(Selector.select(Caller, Op).Target == TargetId("far"));
}

TEST(TargetSelector, AvoidsAFailingTargetForAWhile) {
  Selector.proofs(DatabaseId("g")).add(at(-1000), point(1, 5));
  Op.Route.MaxStaleness = seconds(60);
  Selector.recordLoad(TargetId("near"), {0, 20});
  CHECK_TRUE(Selector.select(Caller, Op).Target == TargetId("near"));
  Selector.recordLoad(TargetId("near"), {0, 400});
  CHECK_TRUE(Selector.select(Caller, Op).Target == TargetId("far"));
  Selector.recordLoad(TargetId("far"), {0, 400});
  CHECK_TRUE(Selector.select(Caller, Op).Target == TargetId("primary"));
  Selector.recordLoad(TargetId("primary"), {0, 400});
  CHECK_TRUE(Selector.select(Caller, Op).Target == TargetId("near"));
  Selector.recordLoad(TargetId("far"), {0, 0});
  Ctx.setNow(at(3001));
  Op.Arrived = at(3001);
  CHECK_TRUE(Selector.select(Caller, Op).Target == TargetId("near"));
}

TEST(TargetSelector, AppliesTheReadRuleOfTheSession) {
  Selector.proofs(DatabaseId("g")).add(at(-1000), point(1, 5));
  Selector.recordLoad(TargetId("near"), {100, 0});
  CHECK_TRUE(Selector.select(Caller, Op).Target == TargetId("far"));
  ReadRule Rule;
  Rule.Type = ReadRule::Kind::NearestCovered;
  Op.Reads = std::make_shared<ReadRule>(Rule);
  CHECK_TRUE(Selector.select(Caller, Op).Target == TargetId("near"));
  Rule.Type = ReadRule::Kind::PrimaryOnly;
  Op.Reads = std::make_shared<ReadRule>(Rule);
  auto Result = Selector.select(Caller, Op);
  CHECK_TRUE(Result.Target == TargetId("primary"));
  CHECK_TRUE(Result.AccessMode == Access::Primary);
  Rule.Type = ReadRule::Kind::RandomReplica;
  Op.Reads = std::make_shared<ReadRule>(Rule);
  std::map<TargetId, unsigned> Counts;
  for (unsigned Number = 0; Number < 100; ++Number)
    ++Counts[Selector.select(Caller, Op).Target];
  LONGS_EQUAL(2, Counts.size());
  CHECK_TRUE(Counts[TargetId("near")] > 25 && Counts[TargetId("far")] > 25);
}

TEST(TargetSelector, WritesGoToThePrimaryOnly) {
  Op.ReplicaAllowed = false;
  Op.Mode = Access::Primary;
  CHECK_TRUE(Selector.select(Caller, Op).Target == TargetId("primary"));
  Table.rejectPrimaryClaim(TargetId("primary"));
  CHECK_TRUE(Selector.select(Caller, Op).Type ==
             TargetSelector::Choice::Kind::NoPrimary);
}

TEST(TargetSelector, SkipsAFailedOwner) {
  Op.ReplicaAllowed = false;
  Op.Mode = Access::Primary;
  Op.ExcludedOwners.insert({VmId("vm-a"), TargetId("primary")});
  CHECK_TRUE(Selector.select(Caller, Op).Owner == VmId("vm-b"));
  Op.ExcludedOwners.insert({VmId("vm-b"), TargetId("primary")});
  CHECK_TRUE(Selector.select(Caller, Op).Type ==
             TargetSelector::Choice::Kind::NoOwner);
}

TEST_GROUP(PeerHealth){};

TEST(PeerHealth, ASilentPeerIsPingedAndThenLost) {
  PeerHealth Health;
  Health.expectAnswer(VmId("b"), at(0));
  CHECK_TRUE(Health.check(at(100)).Ping.empty());
  LONGS_EQUAL(1, Health.check(at(160)).Ping.size());
  CHECK_TRUE(Health.check(at(500)).Lost.empty());
  LONGS_EQUAL(1, Health.check(at(620)).Lost.size());
}

TEST(PeerHealth, AnyMessageAnswersAPing) {
  PeerHealth Health;
  Health.expectAnswer(VmId("b"), at(0));
  Health.check(at(160));
  CHECK_FALSE(Health.onReceived(VmId("b"), at(300)));
  CHECK_TRUE(Health.check(at(700)).Lost.empty());
}

TEST(PeerHealth, ALostVmIsPingedUntilItAnswers) {
  PeerHealth Health;
  Health.onConnectionLost(VmId("b"), at(0));
  CHECK_TRUE(Health.isLost(VmId("b")));
  LONGS_EQUAL(1, Health.check(at(501)).Ping.size());
  CHECK_TRUE(Health.onReceived(VmId("b"), at(600)));
  CHECK_FALSE(Health.isLost(VmId("b")));
}

TEST_GROUP(Rendezvous){};

TEST(Rendezvous, LargerVmsOwnMoreSubjects) {
  MemberMap Members;
  for (int Index = 0; Index < 10; ++Index) {
    VmId Vm("vm-" + std::to_string(Index));
    Members[Vm] = {Vm,    DataCentreId("east"),   "", Incarnation(1), true,
                   false, Index == 0 ? 1.0 : 0.25};
  }
  unsigned First = 0;
  for (int Subject = 0; Subject < 1000; ++Subject)
    First +=
        rankOwners("target-" + std::to_string(Subject), DataCentreId(), Members)
                    .front() == VmId("vm-0")
            ? 1
            : 0;
  // Weights are the cubes of the cores: 64 of 64 + 9 for vm-0.
  CHECK_TRUE(First > 820 && First < 930);
}

TEST(Rendezvous, OnlyTheSubjectsOfALostVmMove) {
  MemberMap Members;
  for (int Index = 0; Index < 9; ++Index) {
    VmId Vm("vm-" + std::to_string(Index));
    Members[Vm] = {Vm, DataCentreId("east"), "", Incarnation(1), true, false};
  }
  MemberMap Fewer = Members;
  Fewer[VmId("vm-4")].Reachable = false;
  for (int Subject = 0; Subject < 200; ++Subject) {
    std::string Name = "target-" + std::to_string(Subject);
    VmId Before = rankOwners(Name, DataCentreId(), Members).front();
    VmId After = rankOwners(Name, DataCentreId(), Fewer).front();
    CHECK_TRUE(Before == VmId("vm-4") || Before == After);
  }
}
