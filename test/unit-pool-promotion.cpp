#include "ContextTime.h"
#include "bergamotstage/pooling/FailoverController.h"

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

/// @brief A promotion lease holder with simulated targets.
struct FailoverBench {
  Context Ctx{VmId("vm-a"), DataCentreId("east"), 1};
  TargetTable Targets;
  std::map<TargetId, TargetStatus> Statuses;
  std::set<TargetId> Unresponsive; ///< Ignore promotion orders.
  std::set<TargetId> Paused;
  std::uint64_t Acknowledged = 0; ///< Newest commit a caller was told of.
  std::vector<TargetId> Ordered;
  unsigned SyncReplicas = 1;
  FailoverController Controller;

  FailoverBench() : Controller(Ctx, Targets, hooks()) {
    Ctx.setNow(Instant(seconds(100)));
  }

  void add(const char *Id, std::uint64_t Received) {
    TargetEntry Entry;
    Entry.Id = TargetId(Id);
    Entry.Group = Group;
    Entry.Version = Received;
    Targets.apply(Entry, Ctx.now());
    TargetStatus Status;
    Status.HighestTerm = Term(1);
    Status.Received = point(Received);
    Statuses[Entry.Id] = Status;
  }

  /// Adds the primary, which answers nobody any more.
  void addSuspectedPrimary(const char *Id) {
    add(Id, 9);
    Targets.recordPromotion(Group, TargetId(Id), Term(1));
    Statuses.erase(TargetId(Id));
  }

  void drain(const char *Id) {
    TargetEntry Entry = *Targets.find(TargetId(Id));
    Entry.Version = 100;
    Entry.Draining = true;
    Targets.apply(Entry, Ctx.now());
  }

  FailoverController::Hooks hooks() {
    FailoverController::Hooks Callbacks;
    Callbacks.ProvePrimary =
        [this](const TargetId &Id,
               const FailoverController::ProofCallback &Callback) {
          Callback(Statuses[Id].IsPrimary ? std::optional(Statuses[Id].Received)
                                          : std::nullopt);
        };
    Callbacks.SendControlRequest =
        [this](const TargetId &Id, const LinkRequest &Request,
               const FailoverController::ReplyCallback &Callback) {
          execute(Id, Request);
          LinkReply Reply;
          Reply.Status = Statuses[Id];
          if (UnansweredStepDown && Request.Type == LinkRequest::Kind::StepDown)
            return Callback(std::nullopt);
          Ctx.scheduleAfter(ReplyDelay, [Callback, Reply] { Callback(Reply); });
        };
    Callbacks.OrderPromotion =
        [this](const Promote &Order,
               const FailoverController::PromoteCallback &Callback) {
          Ordered.push_back(Order.Candidate);
          if (Unresponsive.count(Order.Candidate) == 0) {
            Statuses[Order.Candidate].IsPrimary = true;
            Paused.clear();
          }
          Callback(PromotionDecided{true, Order.NewTerm, ""});
        };
    Callbacks.HoldsLease = [](const DatabaseId &) { return true; };
    Callbacks.FencingToken = [this](const DatabaseId &) {
      return std::optional(m_FencingToken);
    };
    Callbacks.RaiseFencingToken =
        [this](const DatabaseId &,
               const FailoverController::FencingTokenCallback &Callback) {
          Callback(++m_FencingToken);
        };
    Callbacks.Broadcast = [](const FleetMessage &) {};
    Callbacks.SyncReplicas = [this](const DatabaseId &) {
      return SyncReplicas;
    };
    Callbacks.PrimaryConfirmed = [this](const DatabaseId &InGroup,
                                        const TargetId &Id, Term AtTerm) {
      Targets.recordPromotion(InGroup, Id, AtTerm);
    };
    return Callbacks;
  }

  /// A replica receives the next commit, which the primary acknowledges.
  void commitOn(const char *Id) {
    if (Paused.count(TargetId(Id)) > 0)
      return;
    ++Acknowledged;
    Statuses[TargetId(Id)].Received = point(Acknowledged);
  }

  /// Advances the time and runs the periodic checks.
  void advance(Duration Span) {
    for (; Span > Duration(0); Span -= milliseconds(100)) {
      Controller.checkGroups({Group});
      advanceTime(Ctx, milliseconds(100));
    }
  }

  Duration ReplyDelay{0};
  bool UnansweredStepDown = false;

private:
  void execute(const TargetId &Id, const LinkRequest &Request) {
    bool Applies = Request.AtTerm > Statuses[Id].HighestTerm;
    if (Request.Type == LinkRequest::Kind::Pause && Applies)
      Paused.insert(Id);
    if (Request.Type == LinkRequest::Kind::Resume)
      Paused.erase(Id);
  }

  std::uint64_t m_FencingToken = 1;
};

} // namespace

TEST_GROUP(FailoverController){};

TEST(FailoverController, PromotesTheReplicaWithTheLongestLog) {
  FailoverBench Bench;
  Bench.add("a", 7);
  Bench.add("b", 9);
  Bench.add("c", 8);
  Bench.advance(seconds(3));
  LONGS_EQUAL(1, Bench.Ordered.size());
  CHECK_TRUE(Bench.Targets.primary(Group) == TargetId("b"));
}

TEST(FailoverController, RetriesAFailedOrderOnAReplicaWithTheSameLog) {
  FailoverBench Bench;
  Bench.add("a", 9);
  Bench.add("b", 9);
  Bench.add("c", 8);
  Bench.Unresponsive = {TargetId("a")};
  Bench.advance(seconds(6));
  CHECK_TRUE(Bench.Targets.primary(Group) == TargetId("b"));
  LONGS_EQUAL(2, Bench.Ordered.size());
}

TEST(FailoverController, SkipsATargetAfterTwoFailedOrders) {
  FailoverBench Bench;
  Bench.add("a", 9);
  Bench.add("b", 8);
  Bench.add("c", 7);
  Bench.Unresponsive = {TargetId("a")};
  Bench.advance(seconds(8));
  CHECK_TRUE(Bench.Targets.primary(Group) == TargetId("b"));
  LONGS_EQUAL(3, Bench.Ordered.size());
}

TEST(FailoverController, RetriesAllTargetsIfEveryOrderFails) {
  FailoverBench Bench;
  Bench.add("a", 9);
  Bench.add("b", 8);
  Bench.Unresponsive = {TargetId("a"), TargetId("b")};
  Bench.advance(seconds(10));
  Bench.Unresponsive.clear();
  Bench.advance(seconds(4));
  CHECK_TRUE(Bench.Targets.primary(Group).has_value());
}

TEST(FailoverController, NeverSkipsTheOnlyReplicaWithAcknowledgedCommits) {
  FailoverBench Bench;
  Bench.add("old", 9);
  Bench.add("a", 9);
  Bench.add("b", 8);
  Bench.Unresponsive = {TargetId("a")};
  Bench.Targets.recordPromotion(Group, TargetId("old"), Term(1));
  Bench.Statuses.erase(TargetId("old"));
  Bench.Controller.onPrimarySuspected(Group, TargetId("old"));
  Bench.advance(seconds(12));
  CHECK_TRUE(Bench.Ordered.size() > 2);
  for (const TargetId &Id : Bench.Ordered)
    CHECK_TRUE(Id == TargetId("a"));
}

TEST(FailoverController, KeepsCommitsThatArriveDuringTheQuery) {
  FailoverBench Bench;
  Bench.add("old", 9);
  Bench.add("a", 9);
  Bench.add("b", 8);
  Bench.Acknowledged = 9;
  Bench.Targets.recordPromotion(Group, TargetId("old"), Term(1));
  Bench.Statuses.erase(TargetId("old"));
  Bench.ReplyDelay = milliseconds(2);
  // The primary serves callers that the lease holder cannot see. The replicas
  // are queried after 120 ms.
  for (int Step = 121; Step < 400; ++Step)
    Bench.Ctx.scheduleAfter(milliseconds(1) * Step,
                            [&Bench] { Bench.commitOn("b"); });
  Bench.Controller.onPrimarySuspected(Group, TargetId("old"));
  Bench.advance(seconds(2));
  auto Primary = Bench.Targets.primary(Group);
  CHECK_TRUE(Primary && *Primary != TargetId("old"));
  CHECK_TRUE(Bench.Statuses[*Primary].Received == point(Bench.Acknowledged));
}

TEST(FailoverController, ResumesReplicationIfThereIsNothingToReplace) {
  FailoverBench Bench;
  Bench.add("old", 9);
  Bench.add("a", 9);
  Bench.add("b", 9);
  Bench.Targets.recordPromotion(Group, TargetId("old"), Term(1));
  Bench.Statuses.erase(TargetId("old"));
  Bench.ReplyDelay = milliseconds(2);
  Bench.Controller.onPrimarySuspected(Group, TargetId("old"));
  advanceTime(Bench.Ctx, milliseconds(123));
  LONGS_EQUAL(2, Bench.Paused.size());
  Bench.Statuses[TargetId("b")].IsPrimary = true;
  Bench.Unresponsive = {TargetId("a")};
  Bench.Statuses[TargetId("a")].Received = point(10);
  Bench.advance(seconds(4));
  CHECK_TRUE(Bench.Targets.primary(Group) == TargetId("b"));
  LONGS_EQUAL(0, Bench.Paused.size());
}

TEST(FailoverController, KeepsCommitsThatOnlyADrainingReplicaHolds) {
  // Guards against promoting a replica that lacks acknowledged commits while a
  // draining one, which counts as a synchronous replica, holds them.
  FailoverBench Bench;
  Bench.addSuspectedPrimary("old");
  Bench.add("a", 12);
  Bench.add("b", 9);
  Bench.drain("a");
  Bench.Controller.onPrimarySuspected(Group, TargetId("old"));
  Bench.advance(milliseconds(1000));
  CHECK_TRUE(Bench.Ordered == std::vector<TargetId>{TargetId("a")});
  // The draining primary gives way once another replica has its whole log.
  Bench.advance(seconds(2));
  LONGS_EQUAL(1, Bench.Ordered.size());
  Bench.Statuses[TargetId("b")].Received = point(12);
  Bench.advance(seconds(2));
  CHECK_TRUE(Bench.Targets.primary(Group) == TargetId("b"));
}

TEST(FailoverController, PrefersAReplicaThatStays) {
  FailoverBench Bench;
  Bench.addSuspectedPrimary("old");
  Bench.add("a", 9);
  Bench.add("b", 9);
  Bench.drain("a");
  Bench.Controller.onPrimarySuspected(Group, TargetId("old"));
  Bench.advance(seconds(2));
  CHECK_TRUE(Bench.Ordered == std::vector<TargetId>{TargetId("b")});
}

TEST(FailoverController, ADrainingReplicaIsNoCandidateWithoutNeed) {
  FailoverBench Bench;
  Bench.SyncReplicas = 0;
  Bench.addSuspectedPrimary("old");
  Bench.add("a", 12);
  Bench.add("b", 9);
  Bench.drain("a");
  Bench.Controller.onPrimarySuspected(Group, TargetId("old"));
  Bench.advance(seconds(2));
  CHECK_TRUE(Bench.Ordered == std::vector<TargetId>{TargetId("b")});
}

TEST(FailoverController, KeepsCommitsOfADrainingPrimaryThatIsSilent) {
  FailoverBench Bench;
  Bench.add("old", 9);
  Bench.add("a", 9);
  Bench.add("b", 8);
  Bench.Acknowledged = 9;
  Bench.Targets.recordPromotion(Group, TargetId("old"), Term(1));
  Bench.drain("old");
  Bench.UnansweredStepDown = true;
  Bench.ReplyDelay = milliseconds(2);
  for (int Step = 0; Step < 2000; ++Step)
    Bench.Ctx.scheduleAfter(milliseconds(1) * Step,
                            [&Bench] { Bench.commitOn("b"); });
  Bench.advance(seconds(3));
  auto Primary = Bench.Targets.primary(Group);
  CHECK_TRUE(Primary && *Primary != TargetId("old"));
  CHECK_TRUE(Bench.Statuses[*Primary].Received == point(Bench.Acknowledged));
}
