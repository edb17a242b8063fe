#include "SmallFleet.h"
#include "standin/site/PoolCallers.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

using namespace bergamotstage;
using namespace bergamotstage::pooling;
using namespace bergamotstage::standin;

namespace {

const VmId Vm("vm-0");

} // namespace

TEST_GROUP(PoolSessions){};

TEST(PoolSessions, ServesReadsAndWrites) {
  SmallFleet Small;
  Small.connect("own-0");
  CHECK_FALSE(Small.sendAndWait(Verb::Write).Error.has_value());
  CHECK_FALSE(Small.sendAndWait(Verb::Read).Error.has_value());
  LONGS_EQUAL(2, Small.Runs.size());
}

TEST(PoolSessions, AReadSeesTheSessionsOwnWriteOnSlowReplicas) {
  SmallFleet Small(3, milliseconds(700));
  Small.connect("own-0");
  Small.sendAndWait(Verb::Write, milliseconds(60));
  Small.sendAndWait(Verb::Read, milliseconds(300));
  LONGS_EQUAL(2, Small.Runs.size());
  CHECK_TRUE(Small.Runs.back().Visible >= 1);
}

TEST(PoolSessions, AReplyFromBeforeARestartIsIgnored) {
  auto Options = SmallFleet::settings(3, milliseconds(10));
  Options.MeanServiceTime = milliseconds(150);
  PoolFleet Fleet(Options);
  SiteConfig Config = poolConfig(1, 2, 1000);
  std::vector<std::string> Rows;
  std::optional<CallerId> CurrentCaller;
  Fleet.onAnswer([&](const VmId &, CallerId Id, const CallerReply &Reply) {
    if (CurrentCaller == Id && !Reply.Greeting && !Reply.Rows.empty())
      Rows.push_back(Reply.Rows.front());
  });
  Fleet.configure(Config);
  Fleet.start();
  Fleet.run(seconds(6));
  for (unsigned Round = 0; Round < 30; ++Round) {
    VmId Origin("vm-" + std::to_string(Round % 3));
    for (unsigned Run = 0; Run < 2; ++Run) {
      CurrentCaller = Fleet.connect(Origin, "primary-0", "key-0");
      Rows.clear();
      Fleet.run(milliseconds(30));
      Statement Stmt;
      Stmt.Kind = Verb::Read;
      Stmt.RequestId = std::to_string(Round) + "-" + std::to_string(Run);
      Fleet.send(Origin, *CurrentCaller, Stmt);
      Fleet.run(milliseconds(20));
      if (Run == 0) {
        Fleet.kill(Origin, milliseconds(5));
        Fleet.run(milliseconds(30));
      }
    }
    Fleet.run(seconds(2));
    for (const std::string &Row : Rows)
      CHECK_EQUAL("row-of-" + std::to_string(Round) + "-1", Row);
  }
}

TEST(PoolSessions, AFailedReadIsRetriedOnAnotherTarget) {
  SmallFleet Small;
  Small.connect("bounded-0");
  for (const TargetId &Target : Small.Fleet.group(0).targets())
    if (Target != Small.Fleet.group(0).primary())
      Small.Fleet.setReadFailureRatio(Target, 1);
  unsigned Failed = 0;
  for (unsigned Count = 0; Count < 20; ++Count)
    Failed += Small.sendAndWait(Verb::Read, milliseconds(100)).Error ? 1 : 0;
  // Until both failure rates are known, one read may fail on both replicas.
  CHECK_TRUE(Failed <= 2);
  CHECK_TRUE(Small.Runs.size() < 30);
}

TEST(PoolSessions, AReadThatFailsEverywhereIsRunOnlyTwice) {
  SmallFleet Small;
  Small.connect("bounded-0");
  for (const TargetId &Target : Small.Fleet.group(0).targets())
    Small.Fleet.setReadFailureRatio(Target, 1);
  CHECK_TRUE(Small.sendAndWait(Verb::Read).Error == ErrorCode::Failed);
  LONGS_EQUAL(2, Small.Runs.size());
}

TEST(PoolSessions, AnUnknownDatabaseIsRefusedAndTheSessionClosed) {
  SmallFleet Small;
  Small.connect("nowhere");
  CHECK_TRUE(Small.Replies.back().Error == ErrorCode::NoDatabase);
  CHECK_TRUE(Small.Closed);
}

TEST(PoolSessions, ACallerWaitsForTheFirstConfiguration) {
  // Guards against refusing it for an unknown database.
  SmallFleet Small;
  Small.Fleet.setStoreDown(true);
  Small.Fleet.kill(Vm, milliseconds(100));
  Small.Fleet.run(milliseconds(300));
  Small.connect("own-0");
  LONGS_EQUAL(0, Small.Replies.size());
  Small.Fleet.setStoreDown(false);
  Small.Config.Version = 2;
  Small.Fleet.configure(Small.Config);
  Small.Fleet.run(milliseconds(100));
  LONGS_EQUAL(1, Small.Replies.size());
  CHECK_FALSE(Small.Replies.back().Error.has_value());
}

TEST(PoolSessions, StatementsBeforeTheFirstConfigurationAreAnswered) {
  SmallFleet Small;
  Small.Fleet.setStoreDown(true);
  Small.Fleet.kill(Vm, milliseconds(100));
  Small.Fleet.run(milliseconds(300));
  Small.connect("own-0");
  Small.send(Verb::SetValue, "SET a 1");
  Small.send(Verb::Rollback, "ROLLBACK");
  Small.Fleet.setStoreDown(false);
  Small.Config.Version = 2;
  Small.Fleet.configure(Small.Config);
  Small.Fleet.run(milliseconds(100));
  LONGS_EQUAL(3, Small.Replies.size());
}

TEST(PoolSessions, AStartingVmReadsTheConfigurationOnce) {
  // Peers that tell it their version find its first list under way.
  auto Options = SmallFleet::settings(9, milliseconds(10));
  Options.StoreDelay = milliseconds(300);
  PoolFleet Fleet(Options);
  Fleet.configure(poolConfig(1, 2, 100));
  Fleet.start();
  Fleet.run(seconds(6));
  std::uint64_t Before = Fleet.configReads();
  for (int Start = 0; Start < 10; ++Start) {
    Fleet.kill(Vm, milliseconds(300));
    Fleet.run(seconds(2));
  }
  LONGS_EQUAL(Before, Fleet.configReads());
}

TEST(PoolSessions, AVmStartsWithAPeersConfigurationWhileTheStoreIsDown) {
  SmallFleet Small;
  Small.Fleet.setStoreDown(true);
  Small.Fleet.kill(Vm, milliseconds(300));
  Small.Fleet.run(seconds(3));
  CHECK_TRUE(Small.Fleet.node(Vm)->configVersion() > 0);
}

TEST(PoolSessions, AnUnknownKeyIsRefused) {
  SmallFleet Small;
  Small.connect("own-0", "stolen");
  CHECK_TRUE(Small.Replies.back().Error == ErrorCode::NoKey);
}

TEST(PoolSessions, ARevokedKeyStopsAConnectedCaller) {
  SmallFleet Small;
  Small.connect("own-0");
  CHECK_FALSE(Small.sendAndWait(Verb::Read).Error.has_value());
  Small.Config.Version = 2;
  Small.Config.Keys.erase("key-0");
  Small.Fleet.configure(Small.Config);
  Small.Fleet.run(seconds(2));
  std::size_t Before = Small.Runs.size();
  CHECK_TRUE(Small.sendAndWait(Verb::Read).Error == ErrorCode::NoKey);
  LONGS_EQUAL(Before, Small.Runs.size());
}

TEST(PoolSessions, AnOlderConfigurationIsIgnored) {
  SmallFleet Small;
  pooling::SiteConfig Newer = Small.Config;
  Newer.Version = 5;
  Newer.Keys.erase("key-1");
  Small.Fleet.configure(Newer);
  Small.Fleet.run(seconds(2));
  Small.Fleet.configure(Small.Config);
  Small.Fleet.run(seconds(2));
  for (const VmId &Name : Small.Fleet.vms())
    LONGS_EQUAL(5, Small.Fleet.node(Name)->configVersion());
}

TEST(PoolSessions, ATransactionRunsOnOneLinkAndCommits) {
  SmallFleet Small;
  Small.connect("own-0");
  Small.sendAndWait(Verb::Begin);
  CHECK_TRUE(Small.Replies.back().State ==
             pooling::SessionState::InTransaction);
  std::string Write = Small.send(Verb::Write, "WRITE a b");
  Small.Fleet.run(milliseconds(300));
  CHECK_FALSE(Small.Fleet.group(0).isCommitted(Write));
  Small.sendAndWait(Verb::Commit);
  CHECK_TRUE(Small.Fleet.group(0).isCommitted(Write));
  CHECK_TRUE(Small.Runs[0].Link == Small.Runs[1].Link);
}

TEST(PoolSessions, ACallerThatLeavesRollsItsTransactionBack) {
  SmallFleet Small;
  Small.connect("own-0");
  Small.sendAndWait(Verb::Begin);
  std::string Write = Small.send(Verb::Write, "WRITE a b");
  Small.Fleet.run(milliseconds(300));
  Small.Fleet.disconnect(Vm, Small.Caller);
  Small.Fleet.run(seconds(1));
  CHECK_FALSE(Small.Fleet.group(0).isCommitted(Write));
}

TEST(PoolSessions, AnUnreachablePrimaryIsReplaced) {
  SmallFleet Small;
  Small.connect("own-0");
  Small.sendAndWait(Verb::Write);
  TargetId OldPrimary = Small.Fleet.group(0).primary();
  Small.Fleet.setUnresponsive(OldPrimary, true);
  Instant Since = Small.Fleet.now();
  Duration Outage = seconds(60);
  while (Small.Fleet.now() - Since < seconds(10)) {
    if (!Small.sendAndWait(Verb::Write, milliseconds(500)).Error) {
      Outage = Small.Fleet.now() - Since;
      break;
    }
  }
  CHECK_TRUE(Outage < seconds(4));
  CHECK_TRUE(Small.Fleet.group(0).primary() != OldPrimary);
  LONGS_EQUAL(1, Small.Fleet.promotions());
}

TEST(PoolSessions, AnUnreachablePrimaryIsReplacedAfterAStoreOutage) {
  SmallFleet Small;
  Small.connect("own-0");
  Small.sendAndWait(Verb::Write);
  Small.Fleet.setStoreDown(true);
  Small.Fleet.setUnresponsive(Small.Fleet.group(0).primary(), true);
  for (int Try = 0; Try < 12; ++Try)
    Small.sendAndWait(Verb::Write, milliseconds(500));
  // The store stand-in also serves promotions: it accepts none during the
  // outage and one as soon as it is back.
  Small.Fleet.setStoreDown(false);
  for (int Try = 0; Try < 8; ++Try)
    Small.sendAndWait(Verb::Write, milliseconds(500));
  CHECK_FALSE(Small.Replies.back().Error.has_value());
}

TEST(PoolSessions, ADrainingPrimaryIsReplacedWithoutLosingCommits) {
  SmallFleet Small(3, milliseconds(100));
  Small.connect("own-0");
  std::vector<std::string> Written;
  for (int Count = 0; Count < 3; ++Count) {
    Written.push_back(Small.send(Verb::Write, "WRITE a b"));
    Small.Fleet.run(milliseconds(60));
  }
  TargetId OldPrimary = Small.Fleet.group(0).primary();
  Small.Fleet.drain(OldPrimary, true);
  Small.Fleet.run(seconds(3));
  CHECK_TRUE(Small.Fleet.group(0).primary() != OldPrimary);
  for (const std::string &Write : Written)
    CHECK_TRUE(Small.Fleet.group(0).isCommitted(Write));
  CHECK_FALSE(Small.sendAndWait(Verb::Write).Error.has_value());
}

TEST(PoolSessions, AGracefulShutdownLetsATransactionEnd) {
  SmallFleet Small;
  Small.connect("own-0");
  Small.sendAndWait(Verb::Begin);
  std::string Write = Small.send(Verb::Write, "WRITE a b");
  Small.Fleet.run(milliseconds(200));
  Small.Fleet.terminate(Vm);
  Small.Fleet.run(milliseconds(500));
  CHECK_FALSE(Small.Fleet.node(Vm)->ready());
  CHECK_FALSE(
      Small.sendAndWait(Verb::Commit, milliseconds(500)).Error.has_value());
  CHECK_TRUE(Small.Fleet.group(0).isCommitted(Write));
}

TEST(PoolSessions, AnUnknownOutcomeIsReported) {
  SmallFleet Small;
  Small.connect("own-0");
  Small.Fleet.setLostReplyRatio(1);
  CHECK_TRUE(Small.sendAndWait(Verb::Write, seconds(3)).Error ==
             ErrorCode::OutcomeUnknown);
}

TEST(PoolSessions, AnOwnerThatCannotReachItsTargetRefusesInTime) {
  // Guards against an endless loop in which the owner of an unreachable
  // primary's links requests a proof from itself.
  SmallFleet Small(1);
  Small.connect("own-0");
  Small.Fleet.run(seconds(3));
  for (const TargetId &Target : Small.Fleet.group(0).targets())
    Small.Fleet.setUnresponsive(Target, true);
  Small.sendAndWait(Verb::Read, seconds(2));
  Small.Fleet.run(seconds(2));
  CHECK_TRUE(Small.sendAndWait(Verb::Read, seconds(2)).Error.has_value());
}

TEST(PoolSessions, ABoundBelowTheAgeOfSharedProofsIsServed) {
  // Guards against an endless loop: the owner of the primary's links answered
  // itself with a shared proof that was too old for the read.
  SmallFleet Small(1);
  Small.connectBounded(milliseconds(20));
  for (int Count = 0; Count < 40; ++Count)
    CHECK_FALSE(
        Small.sendAndWait(Verb::Read, milliseconds(20)).Error.has_value());
}

TEST(PoolSessions, ABoundOfZeroIsServed) {
  // Guards against the same at its limit, where each read needs a proof that
  // was requested after it arrived, from another VM too.
  SmallFleet Small;
  Small.connectBounded(Duration(0));
  for (int Count = 0; Count < 20; ++Count)
    CHECK_FALSE(
        Small.sendAndWait(Verb::Read, milliseconds(50)).Error.has_value());
}

TEST(PoolSessions, ProofsOfASupersededPrimaryEndInARefusal) {
  // Guards against an endless loop: the owner of a superseded primary's links
  // answered itself with a proof of an old term, which is never used.
  SmallFleet Small(1);
  ProofReply Newer{TargetId("group-0-0"),
                   true,
                   {Term(9), LogPosition(1)},
                   Duration(0),
                   toTimestamp(Small.Fleet.now())};
  Small.Fleet.node(Vm)->onPeerMessage(Small.Fleet.now(), Vm, Newer);
  Small.Fleet.run(seconds(2));
  Small.connect("bounded-0");
  CHECK_TRUE(Small.sendAndWait(Verb::Read).Error == ErrorCode::Busy);
}

TEST(PoolSessions, ALostReadKeepsItsToken) {
  // Guards against an account that exceeds its contract at a target which does
  // not answer: each lost read gave its token back although it was sent.
  SmallFleet Small(1);
  SiteConfig Slow = Small.Config;
  Slow.Version = 2;
  Slow.Accounts[AccountId("account-0")] = {AccountId("account-0"), 0.01, 4};
  Small.Fleet.configure(Slow);
  Small.Fleet.run(seconds(1));
  Small.connect("primary-0");
  Small.Fleet.setLostReplyRatio(1);
  for (int Count = 0; Count < 12; ++Count)
    Small.sendAndWait(Verb::Read, seconds(2));
  CHECK_TRUE(Small.Runs.size() <= 5);
}
