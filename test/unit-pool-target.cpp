#include "ContextTime.h"
#include "bergamotstage/pooling/TargetPool.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <utility>
#include <vector>

using namespace bergamotstage;
using namespace bergamotstage::pooling;

namespace {

const AccountId Ward("ward");
const AccountId Desk("desk");
const HistoryPoint Here{Term(3), LogPosition(7)};

/// @brief A pool with recorded callbacks.
struct PoolBench {
  struct Sent {
    LinkId Link;
    LinkRequest Request;
  };

  Context Ctx{VmId("vm-a"), DataCentreId("east"), 1};
  std::vector<std::pair<LinkId, AccountId>> Opened;
  std::vector<LinkId> Closed;
  std::vector<Sent> Requests;
  std::vector<std::pair<std::uint64_t, StatementResult>> Replies;
  std::vector<bool> Reachable;
  TargetPool Pool;

  explicit PoolBench(unsigned Slots = 2, unsigned MaxLinks = 4)
      : Pool(Ctx, TargetId("t"), DatabaseId("g"), "10.0.0.1:1", hooks()) {
    Ctx.setNow(Instant(seconds(100)));
    Pool.setLimits({Slots, MaxLinks, seconds(3)});
  }

  TargetPool::Hooks hooks() {
    TargetPool::Hooks Callbacks;
    Callbacks.Open = [this](LinkId Id, const LinkTarget &To) {
      Opened.emplace_back(Id, To.Account);
    };
    Callbacks.Close = [this](LinkId Id) { Closed.push_back(Id); };
    Callbacks.Send = [this](LinkId Id, const LinkRequest &Request) {
      Requests.push_back({Id, Request});
    };
    Callbacks.Reply = [this](const OperationId &Id, StatementResult &&Result) {
      Replies.emplace_back(Id.Number, std::move(Result));
    };
    Callbacks.ReachabilityChanged = [this](const TargetId &, bool IsReachable) {
      Reachable.push_back(IsReachable);
    };
    Callbacks.PositionProven = [](const TargetId &, Instant,
                                  const HistoryPoint &) {};
    Callbacks.Refused = [](NotRunReason, unsigned) {};
    Callbacks.ProbeAccount = [] { return Ward; };
    return Callbacks;
  }

  void advance(Duration Span) { advanceTime(Ctx, Span); }

  Statement statement(Verb Kind, const std::string &Id) {
    Statement Result;
    Result.Kind = Kind;
    Result.RequestId = Id;
    Result.Text = Id;
    return Result;
  }

  void start(std::uint64_t Number, Access Mode, Statement First,
             const AccountId &Account = Ward, SharedValues Values = nullptr) {
    OperationRequest Request;
    Request.Id = {VmId("vm-a"), Number};
    Request.Target = TargetId("t");
    Request.Account = Account;
    Request.Mode = Mode;
    Request.QueueTime = milliseconds(300);
    Request.StatementTimeout = milliseconds(800);
    Request.Values = std::move(Values);
    Request.First = std::move(First);
    Pool.enqueue(std::move(Request));
  }

  LinkId openNext() {
    LinkId Id = Opened.back().first;
    Pool.onLinkOpened(Id, Here);
    return Id;
  }

  void reply(SessionState State, std::optional<ErrorCode> Error = {}) {
    LinkReply Result;
    Result.State = State;
    Result.Error = Error;
    Result.Position = Here;
    Result.Signature = "signed";
    Pool.onLinkReply(Requests.back().Link, Result);
  }

  LinkRequest::Kind last() const { return Requests.back().Request.Type; }
};

SharedValues values(SessionValues Result) {
  return std::make_shared<const SessionValues>(std::move(Result));
}

} // namespace

TEST_GROUP(TargetPool){};

TEST(TargetPool, OpensALinkForTheAccount) {
  PoolBench Bench;
  Bench.start(1, Access::Replica, Bench.statement(Verb::Read, "r1"), Desk);
  LONGS_EQUAL(1, Bench.Opened.size());
  CHECK_TRUE(Bench.Opened.front().second == Desk);
  Bench.openNext();
  CHECK_TRUE(Bench.last() == LinkRequest::Kind::CallerStatement);
  CHECK_EQUAL("r1", Bench.Requests.back().Request.Stmt.RequestId);
}

TEST(TargetPool, RejectsTheIdOfARunningOperation) {
  PoolBench Bench;
  Bench.start(1, Access::Replica, Bench.statement(Verb::Read, "r1"));
  Bench.openNext();
  Bench.Pool.abortOperationsFrom(VmId("vm-a"));
  Bench.start(1, Access::Replica, Bench.statement(Verb::Read, "r2"));
  LONGS_EQUAL(1, Bench.Replies.size());
  CHECK_TRUE(Bench.Replies.front().second.Outcome ==
             StatementResult::Kind::NotRun);
  Bench.reply(SessionState::Idle);
  LONGS_EQUAL(1, Bench.Replies.size());
}

TEST(TargetPool, DoesNotShareALinkBetweenAccounts) {
  PoolBench Bench;
  Bench.start(1, Access::Replica, Bench.statement(Verb::Read, "r1"), Ward);
  Bench.openNext();
  Bench.reply(SessionState::Idle);
  Bench.start(2, Access::Replica, Bench.statement(Verb::Read, "r2"), Desk);
  LONGS_EQUAL(2, Bench.Opened.size());
  LONGS_EQUAL(1, Bench.Requests.size());
}

TEST(TargetPool, ReusesAnIdleLink) {
  PoolBench Bench;
  Bench.start(1, Access::Replica, Bench.statement(Verb::Read, "r1"));
  Bench.openNext();
  Bench.reply(SessionState::Idle);
  Bench.start(2, Access::Replica, Bench.statement(Verb::Read, "r2"));
  LONGS_EQUAL(1, Bench.Opened.size());
  LONGS_EQUAL(2, Bench.Requests.size());
}

TEST(TargetPool, StatementFollowsOnlyAfterTheTransactionIsOpen) {
  PoolBench Bench;
  Bench.start(1, Access::Primary, Bench.statement(Verb::Read, "r1"));
  Bench.openNext();
  CHECK_TRUE(Bench.last() == LinkRequest::Kind::Begin);
  Bench.reply(SessionState::Idle, ErrorCode::ReadOnly);
  LONGS_EQUAL(1, Bench.Requests.size());
  LONGS_EQUAL(1, Bench.Replies.size());
  CHECK_TRUE(Bench.Replies.front().second.Error == ErrorCode::ReadOnly);
}

// Guards against a statement that reaches an evacuated data centre after the
// bound, because its target confirmed the transaction late.
TEST(TargetPool, NoStatementFollowsATransactionThatOpensAfterTheEvacuation) {
  for (Access Mode : {Access::PrimaryTransaction, Access::Primary}) {
    PoolBench Bench;
    Bench.start(1, Mode, Bench.statement(Verb::Read, "r1"));
    LinkId Link = Bench.openNext();
    CHECK_TRUE(Bench.last() == LinkRequest::Kind::Begin);
    Bench.Pool.stopSending();
    Bench.reply(SessionState::InTransaction);
    LONGS_EQUAL(1, Bench.Requests.size());
    CHECK_TRUE(Bench.Closed == std::vector<LinkId>{Link});
    LONGS_EQUAL(1, Bench.Replies.size());
    CHECK_TRUE(Bench.Replies.front().second.Outcome ==
               StatementResult::Kind::NotRun);
  }
}

TEST(TargetPool, SingleReadOfThePrimaryIsRolledBackAndProven) {
  PoolBench Bench;
  Bench.start(1, Access::Primary, Bench.statement(Verb::Read, "r1"));
  LinkId Link = Bench.openNext();
  Bench.reply(SessionState::InTransaction);
  LONGS_EQUAL(3, Bench.Requests.size());
  CHECK_TRUE(Bench.Requests[1].Request.Type ==
             LinkRequest::Kind::CallerStatement);
  CHECK_TRUE(Bench.Requests[2].Request.Type == LinkRequest::Kind::Rollback);
  Bench.reply(SessionState::InTransaction);
  CHECK_TRUE(Bench.Replies.front().second.PrimaryProven);
  CHECK_TRUE(Bench.Replies.front().second.State == SessionState::Idle);
  // The link is reused only after its transaction has ended.
  Bench.start(2, Access::Replica, Bench.statement(Verb::Read, "r2"));
  LONGS_EQUAL(3, Bench.Requests.size());
  LinkReply RolledBack;
  Bench.Pool.onLinkReply(Link, RolledBack);
  CHECK_EQUAL("r2", Bench.Requests.back().Request.Stmt.RequestId);
}

TEST(TargetPool, RestoresSessionValuesBeforeTheStatement) {
  PoolBench Bench;
  Bench.start(1, Access::Replica, Bench.statement(Verb::Read, "r1"), Ward,
              values({{"a", "1"}, {"b", "2"}}));
  Bench.openNext();
  LONGS_EQUAL(3, Bench.Requests.size());
  CHECK_TRUE(Bench.Requests[0].Request.Type == LinkRequest::Kind::SetValue);
  for (int Count = 0; Count < 3; ++Count)
    Bench.reply(SessionState::Idle);
  Bench.Requests.clear();
  Bench.start(2, Access::Replica, Bench.statement(Verb::Read, "r2"), Ward,
              values({{"b", "2"}}));
  CHECK_TRUE(Bench.Requests[0].Request.Type == LinkRequest::Kind::ClearSession);
  CHECK_TRUE(Bench.Requests[1].Request.Type == LinkRequest::Kind::SetValue);
  CHECK_EQUAL("b", Bench.Requests[1].Request.Name);
  CHECK_EQUAL("r2", Bench.Requests[2].Request.Stmt.RequestId);
}

TEST(TargetPool, PreparesAQueryOnceForALink) {
  PoolBench Bench;
  Statement Stmt = Bench.statement(Verb::Execute, "r1");
  Stmt.Prepared = {false, "shape"};
  Bench.start(1, Access::Replica, Stmt);
  Bench.openNext();
  CHECK_TRUE(Bench.Requests[0].Request.Type == LinkRequest::Kind::Prepare);
  CHECK_EQUAL(Bench.Requests[0].Request.Name, Bench.Requests[1].Request.Name);
  Bench.reply(SessionState::Idle);
  Bench.reply(SessionState::Idle);
  Stmt.RequestId = "r2";
  Bench.start(2, Access::Replica, Stmt);
  LONGS_EQUAL(3, Bench.Requests.size());
}

TEST(TargetPool, SendsNoMoreThanTheSlots) {
  PoolBench Bench(1);
  Bench.start(1, Access::Replica, Bench.statement(Verb::Read, "r1"));
  Bench.openNext();
  Bench.start(2, Access::Replica, Bench.statement(Verb::Read, "r2"));
  LONGS_EQUAL(1, Bench.Requests.size());
  Bench.reply(SessionState::Idle);
  LONGS_EQUAL(2, Bench.Requests.size());
}

TEST(TargetPool, RejectsOperationsThatWaitTooLong) {
  PoolBench Bench(1);
  Bench.start(1, Access::Replica, Bench.statement(Verb::Read, "r1"));
  Bench.openNext();
  Bench.start(2, Access::Replica, Bench.statement(Verb::Read, "r2"));
  Bench.advance(milliseconds(340));
  LONGS_EQUAL(1, Bench.Replies.size());
  LONGS_EQUAL(2, Bench.Replies.front().first);
  CHECK_TRUE(Bench.Replies.front().second.Outcome ==
             StatementResult::Kind::NotRun);
  CHECK_TRUE(Bench.Replies.front().second.RetryAfter > Duration(0));
}

TEST(TargetPool, SendsABusyStatementAgain) {
  PoolBench Bench;
  Bench.start(1, Access::Primary, Bench.statement(Verb::Write, "w1"));
  Bench.openNext();
  Bench.reply(SessionState::Idle, ErrorCode::Busy);
  LONGS_EQUAL(0, Bench.Replies.size());
  Bench.advance(milliseconds(30));
  LONGS_EQUAL(2, Bench.Requests.size());
  CHECK_EQUAL("w1", Bench.Requests.back().Request.Stmt.RequestId);
}

TEST(TargetPool, ABusySingleReadReopensItsTransaction) {
  PoolBench Bench;
  Bench.start(1, Access::Primary, Bench.statement(Verb::Read, "r1"));
  LinkId Link = Bench.openNext();
  Bench.reply(SessionState::InTransaction);
  Bench.reply(SessionState::InTransaction, ErrorCode::Busy);
  Bench.Pool.onLinkReply(Link, LinkReply());
  Bench.Requests.clear();
  Bench.advance(milliseconds(30));
  CHECK_TRUE(Bench.Requests.front().Request.Type == LinkRequest::Kind::Begin);
}

TEST(TargetPool, KeepsATransactionOnItsLink) {
  PoolBench Bench;
  Bench.start(1, Access::PrimaryTransaction,
              Bench.statement(Verb::Write, "w1"));
  LinkId Link = Bench.openNext();
  Bench.reply(SessionState::InTransaction);
  Bench.reply(SessionState::InTransaction);
  Bench.start(2, Access::Replica, Bench.statement(Verb::Read, "other"));
  CHECK_EQUAL("w1", Bench.Requests.back().Request.Stmt.RequestId);
  Bench.Pool.enqueueNext({VmId("vm-a"), 1}, Bench.statement(Verb::Commit, "c1"),
                         std::nullopt, milliseconds(300));
  CHECK_EQUAL("c1", Bench.Requests.back().Request.Stmt.RequestId);
  CHECK_TRUE(Bench.Requests.back().Link == Link);
}

TEST(TargetPool, AbortedTransactionIsRolledBack) {
  PoolBench Bench;
  Bench.start(1, Access::PrimaryTransaction,
              Bench.statement(Verb::Write, "w1"));
  Bench.openNext();
  Bench.reply(SessionState::InTransaction);
  Bench.reply(SessionState::InTransaction);
  Bench.Pool.abortOperation({VmId("vm-a"), 1});
  CHECK_TRUE(Bench.last() == LinkRequest::Kind::Rollback);
  CHECK_TRUE(Bench.Pool.isIdle());
}

TEST(TargetPool, IdleTransactionTimesOut) {
  PoolBench Bench;
  Bench.start(1, Access::PrimaryTransaction,
              Bench.statement(Verb::Write, "w1"));
  Bench.openNext();
  Bench.reply(SessionState::InTransaction);
  Bench.reply(SessionState::InTransaction);
  Bench.advance(milliseconds(3100));
  CHECK_TRUE(Bench.last() == LinkRequest::Kind::Rollback);
  Bench.Replies.clear();
  Bench.Pool.enqueueNext({VmId("vm-a"), 1}, Bench.statement(Verb::Commit, "c1"),
                         std::nullopt, milliseconds(300));
  CHECK_TRUE(Bench.Replies.front().second.Outcome ==
             StatementResult::Kind::NotRun);
}

TEST(TargetPool, AFailedLinkLosesStatementsInFlight) {
  PoolBench Bench;
  Bench.start(1, Access::Primary, Bench.statement(Verb::Write, "w1"));
  LinkId Link = Bench.openNext();
  Bench.Pool.onLinkFailed(Link, "reset");
  CHECK_TRUE(Bench.Replies.front().second.Outcome ==
             StatementResult::Kind::Lost);
}

TEST(TargetPool, AStatementWithoutTimelyReplyIsLost) {
  PoolBench Bench;
  Bench.start(1, Access::Primary, Bench.statement(Verb::Write, "w1"));
  Bench.openNext();
  Bench.advance(milliseconds(900));
  CHECK_TRUE(Bench.Replies.front().second.Outcome ==
             StatementResult::Kind::Lost);
  CHECK_FALSE(Bench.Closed.empty());
}

TEST(TargetPool, AnUnreachableTargetIsProbedUntilItAnswers) {
  PoolBench Bench;
  Bench.start(1, Access::Replica, Bench.statement(Verb::Read, "r1"));
  Bench.openNext();
  Bench.advance(milliseconds(750));
  CHECK_FALSE(Bench.Pool.isReachable());
  CHECK_FALSE(Bench.Reachable.front());
  CHECK_TRUE(Bench.Replies.front().second.Outcome ==
             StatementResult::Kind::Lost);
  Bench.Replies.clear();
  Bench.start(2, Access::Replica, Bench.statement(Verb::Read, "r2"));
  CHECK_TRUE(Bench.Replies.front().second.Reason == NotRunReason::Unreachable);
  Bench.advance(milliseconds(400));
  Bench.openNext();
  CHECK_TRUE(Bench.Pool.isReachable());
}

TEST(TargetPool, ATargetWhoseFirstConnectionsFailedIsProbed) {
  // Guards against a pool that refused its target for good: it knew no account
  // to probe with, as no statement of any had been sent.
  PoolBench Bench;
  Bench.start(1, Access::Replica, Bench.statement(Verb::Read, "r1"));
  for (int Count = 0; Count < 2; ++Count) {
    Bench.Pool.onLinkFailed(Bench.Opened.back().first, "reset");
    Bench.advance(milliseconds(100));
  }
  CHECK_FALSE(Bench.Pool.isReachable());
  LONGS_EQUAL(1, Bench.Replies.size());
  // Probes go on after one has failed, too.
  for (std::size_t Probes = 1; Probes <= 2; ++Probes) {
    Bench.advance(milliseconds(400));
    LONGS_EQUAL(2 + Probes, Bench.Opened.size());
    if (Probes == 1)
      Bench.Pool.onLinkFailed(Bench.Opened.back().first, "reset");
  }
  Bench.openNext();
  CHECK_TRUE(Bench.Pool.isReachable());
  Bench.start(2, Access::Replica, Bench.statement(Verb::Read, "r2"));
  CHECK_EQUAL("r2", Bench.Requests.back().Request.Stmt.RequestId);
}

TEST(TargetPool, ATargetWhoseFirstConnectionHangsIsUnreachable) {
  // Guards against a pool that opens one silent connection after the other and
  // keeps each operation until its deadline, so that no one suspects a primary.
  PoolBench Bench;
  Bench.start(1, Access::Replica, Bench.statement(Verb::Read, "r1"));
  Bench.advance(milliseconds(1100));
  CHECK_FALSE(Bench.Pool.isReachable());
  Bench.Replies.clear();
  Bench.start(2, Access::Replica, Bench.statement(Verb::Read, "r2"));
  CHECK_TRUE(Bench.Replies.front().second.Reason == NotRunReason::Unreachable);
  for (std::size_t Before = Bench.Opened.size(); Bench.Opened.size() == Before;)
    Bench.advance(milliseconds(25));
  Bench.openNext();
  CHECK_TRUE(Bench.Pool.isReachable());
}

TEST(TargetPool, AHangingConnectionDoesNotMakeATargetThatAnswersUnreachable) {
  PoolBench Bench;
  Bench.start(1, Access::Replica, Bench.statement(Verb::Read, "r1"), Ward);
  Bench.openNext();
  Bench.reply(SessionState::Idle);
  Bench.start(2, Access::Replica, Bench.statement(Verb::Read, "r2"), Desk);
  for (std::uint64_t Number = 3; Number < 12; ++Number) {
    Bench.advance(milliseconds(100));
    std::size_t Before = Bench.Requests.size();
    Bench.start(Number, Access::Replica, Bench.statement(Verb::Read, "r"));
    LONGS_EQUAL(Before + 1, Bench.Requests.size());
    Bench.reply(SessionState::Idle);
  }
  CHECK_TRUE(Bench.Pool.isReachable());
}

TEST(TargetPool, RejectsOperationsForADrainingTarget) {
  PoolBench Bench;
  Bench.Pool.stopAdmission();
  Bench.start(1, Access::Replica, Bench.statement(Verb::Read, "r1"));
  CHECK_TRUE(Bench.Replies.front().second.Reason == NotRunReason::Leaving);
}

TEST(TargetPool, ASurplusReplyClosesTheLink) {
  PoolBench Bench;
  Bench.start(1, Access::Replica, Bench.statement(Verb::Read, "r1"));
  LinkId Link = Bench.openNext();
  Bench.reply(SessionState::Idle);
  Bench.Pool.onLinkReply(Link, LinkReply());
  CHECK_TRUE(Bench.Closed.back() == Link);
}

TEST(TargetPool, RecentProofsAreReused) {
  PoolBench Bench;
  unsigned Answers = 0;
  auto Count = [&](std::optional<HistoryPoint> Position, Instant) {
    Answers += Position == Here ? 1 : 0;
  };
  Bench.Pool.provePrimary(Ward, Duration(0), Count);
  Bench.openNext();
  CHECK_TRUE(Bench.last() == LinkRequest::Kind::Begin);
  Bench.reply(SessionState::InTransaction);
  LONGS_EQUAL(1, Answers);
  CHECK_TRUE(Bench.last() == LinkRequest::Kind::Rollback);
  Bench.Pool.provePrimary(Ward, milliseconds(50), Count);
  LONGS_EQUAL(2, Answers);
  LONGS_EQUAL(2, Bench.Requests.size());
}
