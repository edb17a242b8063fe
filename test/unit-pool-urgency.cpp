#include "ContextTime.h"
#include "bergamotstage/pooling/TargetPool.h"

#include <CppUTest/TestHarness.h>

#include <cstdio>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace bergamotstage;
using namespace bergamotstage::pooling;

namespace {

const HistoryPoint Here{Term(3), LogPosition(7)};

Statement statement(Verb Kind) {
  Statement Result;
  Result.Kind = Kind;
  Result.RequestId = "r";
  Result.Text = "r";
  return Result;
}

/// @brief A pool whose target is played by the test.
class UrgencyBench {
public:
  Context Ctx{VmId("vm-a"), DataCentreId("east"), 1};
  std::deque<LinkId> Opening;
  std::map<LinkId, std::deque<LinkRequest>> Links; ///< Unanswered requests.
  std::map<std::uint64_t, std::vector<StatementResult>> Replies;
  std::set<std::uint64_t> SentNow; ///< Statements sent and not answered.
  TargetPool Pool;

  UrgencyBench(unsigned Slots, unsigned MaxLinks)
      : Pool(Ctx, TargetId("t"), DatabaseId("g"), "10.0.0.1:1", hooks()) {
    Ctx.setNow(Instant(seconds(100)));
    TargetPool::Limits Limits;
    Limits.Slots = Slots;
    Limits.MaxLinks = MaxLinks;
    Limits.TransactionIdleTimeout = milliseconds(500);
    Limits.Order = admission::QueueOrder::Urgency;
    Pool.setLimits(Limits);
  }

  TargetPool::Hooks hooks() {
    TargetPool::Hooks Callbacks;
    Callbacks.Open = [this](LinkId Id, const LinkTarget &) {
      Opening.push_back(Id);
    };
    Callbacks.Close = [this](LinkId Id) { Links.erase(Id); };
    Callbacks.Send = [this](LinkId Id, const LinkRequest &Request) {
      Links[Id].push_back(Request);
    };
    Callbacks.Reply = [this](const OperationId &Id, StatementResult &&Result) {
      Replies[Id.Number].push_back(std::move(Result));
    };
    Callbacks.ReachabilityChanged = [](const TargetId &, bool) {};
    Callbacks.PositionProven = [](const TargetId &, Instant,
                                  const HistoryPoint &) {};
    Callbacks.Refused = [](NotRunReason, unsigned) {};
    Callbacks.ProbeAccount = [] { return AccountId("a"); };
    return Callbacks;
  }

  void advance(Duration Span) { advanceTime(Ctx, Span); }

  void start(std::uint64_t Number, Access Mode, Statement First,
             Duration QueueTime = milliseconds(300), unsigned Priority = 0,
             const std::string &Account = "ward") {
    OperationRequest Request;
    Request.Id = {VmId("vm-a"), Number};
    Request.Target = TargetId("t");
    Request.Account = AccountId(Account);
    Request.Route = RouteId("route-" + std::to_string(Priority));
    Request.Mode = Mode;
    Request.Priority = Priority;
    Request.QueueTime = QueueTime;
    Request.StatementTimeout = milliseconds(800);
    Request.First = std::move(First);
    Pool.enqueue(std::move(Request));
  }

  void open() {
    LinkId Id = Opening.front();
    Opening.pop_front();
    Links[Id];
    if (Pool.hasLink(Id))
      Pool.onLinkOpened(Id, Here);
  }

  /// @brief Answers the oldest request of a link.
  void answer(LinkId Id, SessionState State,
              std::optional<ErrorCode> Error = {}) {
    Links[Id].pop_front();
    LinkReply Result;
    Result.State = State;
    Result.Error = Error;
    Result.Position = Here;
    Result.Signature = "signed";
    if (Pool.hasLink(Id))
      Pool.onLinkReply(Id, Result);
  }

  /// @brief Statements of callers that the target has not answered.
  std::size_t inFlight() const {
    std::size_t Count = 0;
    for (const auto &[Id, Requests] : Links)
      for (const LinkRequest &Request : Requests)
        Count += Request.Type == LinkRequest::Kind::CallerStatement ? 1 : 0;
    return Count;
  }
};

} // namespace

TEST_GROUP(PoolUrgency){};

// Guards against a write that is reported as not run although it was sent: the
// end of an idle transaction dispatched it in the tick of its deadline.
TEST(PoolUrgency, AStatementThatWasJustSentIsNotRefused) {
  for (int Offset = 400; Offset < 500; ++Offset) {
    UrgencyBench Bench(2, 4);
    Bench.start(1, Access::PrimaryTransaction, statement(Verb::Read));
    Bench.open();
    LinkId First = Bench.Links.begin()->first;
    Bench.answer(First, SessionState::InTransaction);
    Bench.answer(First, SessionState::InTransaction);
    // The write is refused as busy and waits to be sent again, while its
    // deadline and that of the idle transaction pass.
    Bench.advance(milliseconds(Offset));
    Bench.start(2, Access::Primary, statement(Verb::Write), milliseconds(90));
    Bench.advance(milliseconds(50));
    while (!Bench.Opening.empty())
      Bench.open();
    LinkId Second = Bench.Links.rbegin()->first;
    CHECK_FALSE(First == Second);
    Bench.advance(milliseconds(20));
    Bench.answer(Second, SessionState::Idle, ErrorCode::Busy);
    for (int Step = 0; Step < 100; ++Step) {
      Bench.advance(milliseconds(1));
      for (const StatementResult &Result : Bench.Replies[2])
        if (Result.Outcome == StatementResult::Kind::NotRun)
          LONGS_EQUAL(0, Bench.inFlight());
    }
  }
}

// Guards against a target that looks fast because it answers busy at once: the
// queue would admit more than ever while it is overloaded.
TEST(PoolUrgency, BusyAnswersDoNotCountAsSlotTimes) {
  UrgencyBench Bench(1, 4);
  Bench.start(1, Access::Replica, statement(Verb::Read), seconds(9));
  Bench.open();
  LinkId Link = Bench.Links.begin()->first;
  Bench.advance(milliseconds(20));
  Bench.answer(Link, SessionState::Idle);
  Bench.start(2, Access::Replica, statement(Verb::Read), seconds(9));
  for (int Round = 0; Round < 40; ++Round) {
    Bench.answer(Link, SessionState::Idle, ErrorCode::Busy);
    while (Bench.inFlight() == 0)
      Bench.advance(milliseconds(5));
  }
  const auto &Estimates = Bench.Pool.slotTimes().estimates();
  DOUBLES_EQUAL(0.02, Estimates.begin()->second.Seconds, 0.002);
}

// Guards against an idle target that refuses the statements of one account,
// because more urgent ones wait for a link of another account, whose idle
// transactions hold all that it may have.
TEST(PoolUrgency, StatementsThatWaitForALinkDelayNoOtherAccount) {
  UrgencyBench Bench(2, 4);
  for (std::uint64_t Number = 1; Number <= 2; ++Number) {
    Bench.start(Number, Access::PrimaryTransaction, statement(Verb::Read));
    Bench.advance(milliseconds(50));
    Bench.open();
    LinkId Link = Bench.Links.rbegin()->first;
    Bench.answer(Link, SessionState::InTransaction);
    Bench.advance(milliseconds(20));
    Bench.answer(Link, SessionState::InTransaction);
  }
  for (std::uint64_t Number = 10; Number < 60; ++Number)
    Bench.start(Number, Access::Replica, statement(Verb::Read));
  Bench.start(100, Access::Replica, statement(Verb::Read), milliseconds(300), 1,
              "desk");
  Bench.advance(milliseconds(12));
  CHECK_TRUE(Bench.Replies[100].empty());
  Bench.open();
  LONGS_EQUAL(1, Bench.inFlight());
}

// Guards against an operation without a reply or with two, slots that are not
// returned, and refusals of statements that were sent, with random replies,
// aborts, lost links and transactions.
TEST(PoolUrgency, EachStatementGetsOneReply) {
  for (unsigned Seed = 1; Seed <= 8; ++Seed) {
    std::mt19937_64 Random(Seed);
    auto Below = [&Random](unsigned Limit) {
      return std::uniform_int_distribution<unsigned>(0, Limit - 1)(Random);
    };
    UrgencyBench Bench(2, 6);
    std::map<std::uint64_t, std::size_t> Expected; ///< Replies by operation.
    std::set<std::uint64_t> Aborted;
    std::uint64_t Last = 0;
    std::map<LinkId, bool> InTransaction;
    for (int Step = 0; Step < 4000; ++Step) {
      switch (Below(9)) {
      case 0:
      case 1: {
        const Access Modes[] = {Access::Primary, Access::PrimaryTransaction,
                                Access::Replica, Access::ReplicaTransaction};
        Access Mode = Modes[Below(4)];
        bool Writes = needsPrimary(Mode) && Below(2) == 0;
        Expected[++Last] = 1;
        Bench.start(Last, Mode, statement(Writes ? Verb::Write : Verb::Read),
                    milliseconds(20 + Below(400)), Below(3),
                    "account-" + std::to_string(Below(4)));
        break;
      }
      case 2: {
        // The next statement of an open transaction.
        for (auto &[Number, Results] : Bench.Replies) {
          bool Open =
              Results.size() == Expected[Number] &&
              Results.back().Outcome == StatementResult::Kind::Answered &&
              Results.back().State == SessionState::InTransaction &&
              Aborted.count(Number) == 0;
          if (!Open || Below(4) != 0)
            continue;
          ++Expected[Number];
          Bench.Pool.enqueueNext(
              {VmId("vm-a"), Number},
              statement(Below(3) == 0 ? Verb::Commit : Verb::Read), {},
              milliseconds(20 + Below(400)));
          break;
        }
        break;
      }
      case 3:
        if (Last > 0 && Below(4) == 0) {
          std::uint64_t Number = 1 + Below(static_cast<unsigned>(Last));
          Aborted.insert(Number);
          Bench.Pool.abortOperation({VmId("vm-a"), Number});
        }
        break;
      case 4:
        if (!Bench.Opening.empty())
          Bench.open();
        break;
      case 5:
        if (!Bench.Links.empty() && Below(40) == 0) {
          LinkId Id = Bench.Links.begin()->first;
          Bench.Links.erase(Id);
          if (Bench.Pool.hasLink(Id))
            Bench.Pool.onLinkFailed(Id, "reset");
        }
        break;
      case 6:
        Bench.advance(milliseconds(Below(12)));
        break;
      default: {
        std::vector<LinkId> Busy;
        for (const auto &[Id, Requests] : Bench.Links)
          if (!Requests.empty())
            Busy.push_back(Id);
        if (Busy.empty())
          break;
        LinkId Id = Busy[Below(static_cast<unsigned>(Busy.size()))];
        const LinkRequest &Request = Bench.Links[Id].front();
        bool Begins = Request.Type == LinkRequest::Kind::Begin ||
                      Request.Type == LinkRequest::Kind::BeginReadOnly;
        bool Runs = Request.Type == LinkRequest::Kind::CallerStatement;
        bool Ends = Request.Type == LinkRequest::Kind::Rollback ||
                    (Runs && Request.Stmt.Kind == Verb::Commit);
        if (Begins)
          InTransaction[Id] = true;
        if (Ends)
          InTransaction[Id] = false;
        std::optional<ErrorCode> Error;
        if (Runs && !Ends && Below(6) == 0)
          Error = Below(2) == 0 ? ErrorCode::Busy : ErrorCode::Failed;
        Bench.answer(Id,
                     InTransaction[Id] ? SessionState::InTransaction
                                       : SessionState::Idle,
                     Error);
        break;
      }
      }
    }
    // Nothing is answered any more: deadlines and timeouts end what is left.
    for (int Step = 0; Step < 400; ++Step)
      Bench.advance(milliseconds(50));
    for (const auto &[Number, Count] : Expected) {
      std::size_t Got = Bench.Replies[Number].size();
      bool Right = Aborted.count(Number) > 0 ? Got <= Count : Got == Count;
      if (!Right)
        std::printf("seed %u: operation %lu has %zu of %zu replies\n", Seed,
                    static_cast<unsigned long>(Number), Got, Count);
      CHECK_TRUE(Right);
    }
    CHECK_TRUE(Bench.Pool.isIdle());
  }
}
