#include "SmallFleet.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>

using namespace bergamotstage;
using namespace bergamotstage::pooling;
using namespace bergamotstage::standin;

namespace {

const AccountId Other("account-1");

/// @brief A caller whose key changes while it has a transaction open.
struct KeyChange {
  SmallFleet Small;

  KeyChange() { Small.connect("primary-0"); }

  void openTransaction() {
    Small.sendAndWait(Verb::Begin, milliseconds(20));
    CHECK_FALSE(
        Small.sendAndWait(Verb::Write, milliseconds(100)).Error.has_value());
  }

  void withdrawKey() {
    Small.Config.Keys.erase("key-0");
    Small.reconfigure();
  }

  void restoreKey(const AccountId &Account) {
    Small.Config.Keys["key-0"] = Account;
    Small.reconfigure();
  }

  /// @brief Withdraws the key while the first statement of a transaction waits.
  void checkRefusedOnce() {
    Small.sendAndWait(Verb::Begin, milliseconds(20));
    std::size_t Before = Small.Replies.size();
    std::size_t RunsBefore = Small.Runs.size();
    Small.send(Verb::Write, "WRITE a b");
    Small.Fleet.run(milliseconds(300));
    LONGS_EQUAL(Before, Small.Replies.size());
    withdrawKey();
    LONGS_EQUAL(Before + 1, Small.Replies.size());
    CHECK_TRUE(Small.Replies.back().Error == ErrorCode::NoKey);
    Small.Fleet.run(seconds(15));
    LONGS_EQUAL(Before + 1, Small.Replies.size());
    LONGS_EQUAL(RunsBefore, Small.Runs.size());
  }

  bool hasCommitted() {
    return std::any_of(Small.Runs.begin(), Small.Runs.end(),
                       [](const auto &Ran) { return Ran.Committed; });
  }
};

} // namespace

TEST_GROUP(Keys){};

TEST(Keys, ATransactionEndsWithItsKey) {
  // Guards against a transaction that goes on, and commits, after its key was
  // withdrawn.
  for (Verb Next : {Verb::Read, Verb::Write, Verb::Commit}) {
    KeyChange Change;
    Change.openTransaction();
    Change.withdrawKey();
    std::size_t Before = Change.Small.Runs.size();
    CHECK_TRUE(Change.Small.sendAndWait(Next).Error == ErrorCode::NoKey);
    LONGS_EQUAL(Before, Change.Small.Runs.size());
    CHECK_TRUE(Change.Small.sendAndWait(Verb::Rollback).State ==
               SessionState::Idle);
    CHECK_FALSE(Change.hasCommitted());
    CHECK_TRUE(Change.Small.sendAndWait(Verb::Begin).Error == ErrorCode::NoKey);
  }
}

TEST(Keys, AnIdleTransactionIsRolledBackOnceItsKeyIsWithdrawn) {
  // Guards against a transaction that keeps its locks until its caller speaks.
  KeyChange Change;
  Change.openTransaction();
  LONGS_EQUAL(
      1, Change.Small.Fleet.node(Change.Small.Vm)->sessions().operations());
  Change.withdrawKey();
  for (const VmId &Vm : Change.Small.Fleet.vms())
    Change.Small.Fleet.node(Vm)->forEachPool(
        [](const TargetPool &Pool) { CHECK_TRUE(Pool.isIdle()); });
}

TEST(Keys, AKeyThatNamesAnotherAccountEndsTheTransaction) {
  // Guards against statements of one account that run for another one: the key
  // is valid, so that the caller may try again.
  KeyChange Change;
  Change.openTransaction();
  Change.restoreKey(Other);
  CHECK_TRUE(Change.Small.sendAndWait(Verb::Commit).Error ==
             ErrorCode::Aborted);
  CHECK_FALSE(Change.hasCommitted());
  CHECK_FALSE(Change.Small.sendAndWait(Verb::Write).Error.has_value());
  CHECK_TRUE(Change.Small.Runs.back().Session->Account == Other);
}

TEST(Keys, AKeyThatReturnsIsNotCalledInvalid) {
  KeyChange Change;
  Change.openTransaction();
  Change.withdrawKey();
  Change.restoreKey(AccountId("account-0"));
  CHECK_TRUE(Change.Small.sendAndWait(Verb::Commit).Error ==
             ErrorCode::Aborted);
  CHECK_FALSE(Change.hasCommitted());
  CHECK_FALSE(Change.Small.sendAndWait(Verb::Write).Error.has_value());
}

TEST(Keys, ATransactionOnAnOpenRouteNeedsNoKey) {
  KeyChange Change;
  Change.Small.Config.Routes["primary-0"].Open = true;
  Change.Small.reconfigure();
  Change.Small.connect("primary-0", "");
  Change.openTransaction();
  Change.withdrawKey();
  CHECK_FALSE(Change.Small.sendAndWait(Verb::Commit).Error.has_value());
  CHECK_TRUE(Change.hasCommitted());
}

TEST(Keys, AStatementThatWaitsForATargetIsRefusedWithItsKey) {
  // Guards against a right that is checked when a statement arrives and used
  // when its target is found.
  KeyChange Change;
  Change.Small.Config.Routes["primary-0"].LatencyTarget = seconds(20);
  Change.Small.reconfigure();
  for (const TargetId &Target : Change.Small.Fleet.group(0).targets())
    Change.Small.Fleet.setUnresponsive(Target, true);
  std::size_t Before = Change.Small.Replies.size();
  Change.Small.send(Verb::Write, "WRITE a b");
  Change.Small.Fleet.run(seconds(2));
  LONGS_EQUAL(Before, Change.Small.Replies.size());
  Change.withdrawKey();
  LONGS_EQUAL(Before + 1, Change.Small.Replies.size());
  CHECK_TRUE(Change.Small.Replies.back().Error == ErrorCode::NoKey);
  for (const TargetId &Target : Change.Small.Fleet.group(0).targets())
    Change.Small.Fleet.setUnresponsive(Target, false);
  Change.Small.Fleet.run(seconds(5));
  LONGS_EQUAL(0, Change.Small.Runs.size());
}

TEST(Keys, ATransactionThatWaitsForAPrimaryIsRefusedOnce) {
  // Guards against a second reply when the primary is looked for again.
  KeyChange Change;
  SmallFleet &Small = Change.Small;
  Small.Config.Routes["primary-0"].LatencyTarget = seconds(20);
  Small.reconfigure();
  for (const TargetId &Target : Small.Fleet.group(0).targets())
    Small.Fleet.drain(Target, true);
  Small.Fleet.run(seconds(6));
  Change.checkRefusedOnce();
}

TEST(Keys, TransactionsThatWaitForATokenAreRefusedOnce) {
  // Guards against a second reply when a token comes, or none does in time.
  constexpr std::size_t CallerCount = 30;
  SmallFleet Small;
  AccountId Account("account-0");
  Small.Config.Accounts[Account] = {Account, 100, 1};
  Small.reconfigure();
  for (std::size_t Count = 0; Count < CallerCount; ++Count) {
    Small.Caller = Small.Fleet.connect(Small.Vm, "primary-0", "key-0");
    Small.send(Verb::Begin, "BEGIN");
    Small.send(Verb::Write, "WRITE a b");
  }
  Small.Fleet.run(milliseconds(2));
  std::size_t Answered = Small.Replies.size();
  CHECK_TRUE(Answered < 3 * CallerCount);
  Small.Config.Keys.erase("key-0");
  Small.reconfigure();
  LONGS_EQUAL(3 * CallerCount, Small.Replies.size());
  LONGS_EQUAL(0, Small.Runs.size());
}

TEST(Keys, AStatementThatWaitsAtAnOwnerIsRefusedWithItsKey) {
  // Guards against a statement that waits in the queue of a target while its
  // key is withdrawn, and runs afterwards.
  KeyChange Change;
  SmallFleet &Small = Change.Small;
  pooling::RouteConfig &Route = Small.Config.Routes["primary-0"];
  Route.LatencyTarget = seconds(20);
  Route.StatementTimeout = seconds(20);
  Small.reconfigure();
  Small.Fleet.setMeanServiceTime(seconds(100));
  // Another account's statements take all slots of the primary.
  for (unsigned Count = 0; Count < PoolFleet::Settings().Slots; ++Count) {
    Small.connect("primary-0", "key-1");
    Small.send(Verb::Write, "WRITE a b");
    Small.Fleet.run(milliseconds(100));
  }
  Small.connect("primary-0", "key-0");
  std::size_t Before = Small.Replies.size();
  std::string Waiting = Small.send(Verb::Write, "WRITE c d");
  Small.Fleet.run(milliseconds(100));
  Change.withdrawKey();
  LONGS_EQUAL(Before + 1, Small.Replies.size());
  CHECK_TRUE(Small.Replies.back().Error == ErrorCode::NoKey);
  Small.Fleet.run(seconds(60));
  CHECK_FALSE(Small.Fleet.group(0).isCommitted(Waiting));
}
