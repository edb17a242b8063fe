#include "ContextTime.h"
#include "bergamotstage/pooling/PromotionDuty.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <set>
#include <vector>

using namespace bergamotstage;
using namespace bergamotstage::pooling;

namespace {

const DatabaseId Group("g");

HistoryPoint point(std::uint64_t Number) {
  return {Term(1), LogPosition(Number)};
}

/// @brief The holder of a duty, with targets that tests describe.
struct DutyBench {
  Context Shared{VmId("vm-a"), DataCentreId("east"), 1};
  TargetTable Targets;
  std::map<TargetId, TargetStatus> Statuses;
  std::set<TargetId> Unmoved; ///< An order for these changes nothing.
  std::vector<TargetId> Ordered;
  unsigned SyncReplicas = 1;
  PromotionDuty Duty;

  DutyBench() : Duty(Shared, Targets, hooks()) {
    Shared.setNow(Instant(seconds(100)));
  }

  void add(const char *Id, std::uint64_t Received) {
    TargetEntry Entry;
    Entry.Id = TargetId(Id);
    Entry.Group = Group;
    Entry.Version = Received;
    Targets.apply(Entry, Shared.now());
    TargetStatus Status;
    Status.HeldTerm = Term(1);
    Status.Received = point(Received);
    Statuses[Entry.Id] = Status;
  }

  PromotionDuty::Hooks hooks() {
    PromotionDuty::Hooks Ask;
    Ask.Prove = [this](const TargetId &Id,
                       const PromotionDuty::ProofCallback &Done) {
      Done(Statuses[Id].Leads ? std::optional(Statuses[Id].Received)
                              : std::nullopt);
    };
    Ask.Command = [this](const TargetId &Id, const LinkRequest &,
                         const PromotionDuty::ReplyCallback &Done) {
      LinkReply Reply;
      Reply.Status = Statuses[Id];
      Done(Reply);
    };
    Ask.CallPromote = [this](const Promote &Order,
                             const PromotionDuty::PromoteCallback &Done) {
      Ordered.push_back(Order.Candidate);
      if (Unmoved.count(Order.Candidate) == 0)
        Statuses[Order.Candidate].Leads = true;
      Done(PromotionDecided{true, Order.NewTerm, ""});
    };
    Ask.IsHolder = [](const DatabaseId &) { return true; };
    Ask.Fence = [this](const DatabaseId &) { return std::optional(m_Fence); };
    Ask.RaiseFence = [this](const DatabaseId &,
                            const PromotionDuty::FenceCallback &Done) {
      Done(++m_Fence);
    };
    Ask.TellAll = [](const FleetMessage &) {};
    Ask.SyncReplicas = [this](const DatabaseId &) { return SyncReplicas; };
    Ask.Led = [this](const DatabaseId &Of, const TargetId &Id, Term AtTerm) {
      Targets.promoted(Of, Id, AtTerm);
    };
    return Ask;
  }

  /// Time passes with the checks that a VM makes of its own accord.
  void pass(Duration Span) {
    for (; Span > Duration(0); Span -= milliseconds(100)) {
      Duty.checkGroups({Group});
      advanceTime(Shared, milliseconds(100));
    }
  }

private:
  std::uint64_t m_Fence = 1;
};

} // namespace

TEST_GROUP(PromotionDuty){};

TEST(PromotionDuty, TheFollowerThatReceivedMostIsPromoted) {
  DutyBench Bench;
  Bench.add("a", 7);
  Bench.add("b", 9);
  Bench.add("c", 8);
  Bench.pass(seconds(3));
  LONGS_EQUAL(1, Bench.Ordered.size());
  CHECK_TRUE(Bench.Targets.primary(Group) == TargetId("b"));
}

TEST(PromotionDuty, AnOrderWithoutEffectGoesToAFollowerWithTheSameLogNext) {
  DutyBench Bench;
  Bench.add("a", 9);
  Bench.add("b", 9);
  Bench.add("c", 8);
  Bench.Unmoved = {TargetId("a")};
  Bench.pass(seconds(6));
  CHECK_TRUE(Bench.Targets.primary(Group) == TargetId("b"));
  LONGS_EQUAL(2, Bench.Ordered.size());
}

TEST(PromotionDuty, TwoOrdersWithoutEffectAreEnoughForOneTarget) {
  DutyBench Bench;
  Bench.add("a", 9);
  Bench.add("b", 8);
  Bench.add("c", 7);
  Bench.Unmoved = {TargetId("a")};
  Bench.pass(seconds(8));
  CHECK_TRUE(Bench.Targets.primary(Group) == TargetId("b"));
  LONGS_EQUAL(3, Bench.Ordered.size());
}

TEST(PromotionDuty, WhereNoOrderHasAnEffectAllAreTriedAgain) {
  DutyBench Bench;
  Bench.add("a", 9);
  Bench.add("b", 8);
  Bench.Unmoved = {TargetId("a"), TargetId("b")};
  Bench.pass(seconds(10));
  Bench.Unmoved.clear();
  Bench.pass(seconds(4));
  CHECK_TRUE(Bench.Targets.primary(Group).has_value());
}

TEST(PromotionDuty, AcknowledgedCommitsAreNotGivenUpForAnOrderWithoutEffect) {
  DutyBench Bench;
  Bench.add("old", 9);
  Bench.add("a", 9);
  Bench.add("b", 8);
  Bench.Unmoved = {TargetId("a")};
  Bench.Targets.promoted(Group, TargetId("old"), Term(1));
  Bench.Statuses.erase(TargetId("old"));
  Bench.Duty.suspected(Group, TargetId("old"));
  Bench.pass(seconds(12));
  CHECK_TRUE(Bench.Ordered.size() > 2);
  for (const TargetId &Id : Bench.Ordered)
    CHECK_TRUE(Id == TargetId("a"));
}
