#include "bergamotstage/admission/SlotTimes.h"
#include "bergamotstage/admission/TargetQueue.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

using namespace bergamotstage;
using namespace bergamotstage::admission;

namespace {

const AccountId Ward("ward");
const AccountId Desk("desk");

Instant at(double Milliseconds) {
  return Instant(seconds(100) + scaled(milliseconds(1), Milliseconds));
}

WorkKind readOf(const char *Route) { return {RouteId(Route), WorkClass::Read}; }

WaitingWork work(std::uint64_t Key, unsigned Priority, double Since,
                 double MaxWait, const char *Route = "r",
                 const AccountId &Account = Ward) {
  WaitingWork Result;
  Result.Key = Key;
  Result.Account = Account;
  Result.Priority = Priority;
  Result.Kind = readOf(Route);
  Result.Since = at(Since);
  Result.Deadline = at(Since + MaxWait);
  Result.ArrivalNumber = Key;
  return Result;
}

/// @brief A queue in which a statement of route "r" takes 10 ms.
TargetQueue queue(QueueOrder Order) {
  TargetQueue Result;
  Result.setOrder(Order);
  Result.slotTimes().record(readOf("r"), milliseconds(10));
  return Result;
}

std::vector<std::uint64_t> hopelessKeys(const TargetQueue &Queue,
                                        std::vector<WaitingWork> Waiting,
                                        double Now, Duration BusyFor) {
  Queue.sort(Waiting);
  std::vector<std::uint64_t> Keys;
  for (const HopelessWork &Next :
       Queue.findHopeless(Waiting, at(Now), 1, BusyFor))
    Keys.push_back(Next.Key);
  return Keys;
}

/// @brief One kind of statement of a recorded load.
struct LoadKind {
  const char *Route;
  unsigned Priority;
  double LatencyTargetMs;
  double PerSecond;
  double WorkMs;
};

/// @brief Replays arrivals on one target with four slots, in steps of 1 ms.
class Replay {
public:
  struct Total {
    double Arrived = 0;
    double InTime = 0;
    double share() const { return Arrived > 0 ? InTime / Arrived : 1; }
  };

  explicit Replay(QueueOrder Order) { m_Queue.setOrder(Order); }

  std::map<unsigned, Total> run(const std::vector<LoadKind> &Kinds,
                                int Milliseconds) {
    for (m_NowMs = 0; m_NowMs < Milliseconds; ++m_NowMs) {
      finishRunning();
      for (const LoadKind &Kind : Kinds)
        arrive(Kind);
      startWaiting();
    }
    return m_Totals;
  }

private:
  static constexpr unsigned Slots = 4;

  struct Running {
    WaitingWork Work;
    double Charged;
    int StartedMs;
    int EndsMs;
  };

  void arrive(const LoadKind &Kind) {
    std::poisson_distribution<int> Arrivals(Kind.PerSecond / 1000);
    std::uniform_int_distribution<int> AnyAccount(0, 19);
    for (int Count = Arrivals(m_Random); Count > 0; --Count) {
      AccountId Account("account-" + std::to_string(AnyAccount(m_Random)));
      WaitingWork Next = work(++m_LastKey, Kind.Priority, m_NowMs,
                              Kind.LatencyTargetMs * 1.2, Kind.Route, Account);
      std::exponential_distribution<double> Service(1 / Kind.WorkMs);
      m_ServiceMs[Next.Key] = std::max(1.0, Service(m_Random));
      m_TargetMs[Next.Key] = Kind.LatencyTargetMs;
      ++m_Totals[Kind.Priority].Arrived;
      if (m_Queue.order() != QueueOrder::Urgency && refusedByMeanWait(Next))
        continue;
      m_Waiting.push_back(Next);
      if (m_Queue.order() == QueueOrder::Urgency)
        refuseHopeless();
    }
  }

  /// @brief The admission of `fair`: all that waits, by the mean slot time.
  bool refusedByMeanWait(const WaitingWork &Next) const {
    double WaitMs = m_MeanMs * static_cast<double>(m_Waiting.size()) / Slots;
    return at(m_NowMs + WaitMs) > Next.Deadline;
  }

  void refuseHopeless() {
    m_Queue.sort(m_Waiting);
    for (const HopelessWork &Hopeless :
         m_Queue.findHopeless(m_Waiting, at(m_NowMs), Slots,
                              milliseconds(m_Running.size() < Slots ? 0 : 1)))
      m_Waiting.erase(std::find_if(
          m_Waiting.begin(), m_Waiting.end(),
          [&](const WaitingWork &Next) { return Next.Key == Hopeless.Key; }));
  }

  void startWaiting() {
    m_Waiting.erase(std::remove_if(m_Waiting.begin(), m_Waiting.end(),
                                   [this](const WaitingWork &Next) {
                                     return Next.Deadline <= at(m_NowMs);
                                   }),
                    m_Waiting.end());
    while (m_Running.size() < Slots && !m_Waiting.empty()) {
      m_Queue.sort(m_Waiting);
      WaitingWork Next = m_Waiting.front();
      m_Waiting.erase(m_Waiting.begin());
      double Charged = m_Queue.order() == QueueOrder::Urgency
                           ? m_Queue.slotTimes().expected(Next.Kind)
                           : m_MeanMs / 1000;
      m_Queue.shares().charge(Next.Account, Charged);
      int Ends = m_NowMs + static_cast<int>(std::lround(m_ServiceMs[Next.Key]));
      m_Running.push_back(
          {Next, Charged, m_NowMs, std::max(Ends, m_NowMs + 1)});
    }
  }

  void finishRunning() {
    for (auto Each = m_Running.begin(); Each != m_Running.end();) {
      if (Each->EndsMs > m_NowMs) {
        ++Each;
        continue;
      }
      double HeldMs = Each->EndsMs - Each->StartedMs;
      m_MeanMs += 0.05 * (HeldMs - m_MeanMs);
      m_Queue.slotTimes().record(Each->Work.Kind,
                                 scaled(milliseconds(1), HeldMs));
      if (m_Queue.order() == QueueOrder::Urgency)
        m_Queue.shares().correct(Each->Work.Account, Each->Charged,
                                 HeldMs / 1000);
      bool InTime =
          at(m_NowMs) <= Each->Work.Since + scaled(milliseconds(1),
                                                   m_TargetMs[Each->Work.Key]);
      m_Totals[Each->Work.Priority].InTime += InTime ? 1 : 0;
      Each = m_Running.erase(Each);
    }
  }

  TargetQueue m_Queue;
  std::mt19937_64 m_Random{11};
  int m_NowMs = 0;
  double m_MeanMs = 20;
  std::uint64_t m_LastKey = 0;
  std::vector<WaitingWork> m_Waiting;
  std::vector<Running> m_Running;
  std::map<std::uint64_t, double> m_ServiceMs;
  std::map<std::uint64_t, double> m_TargetMs;
  std::map<unsigned, Total> m_Totals;
};

/// @brief Load of one primary: urgent short writes, many reads, slow browsing.
std::vector<LoadKind> mixedLoad(double Factor) {
  return {{"checkout", 0, 100, 60 * Factor, 4},
          {"queue", 1, 200, 210 * Factor, 9},
          {"browse", 2, 600, 100 * Factor, 15}};
}

} // namespace

TEST_GROUP(SlotTimes){};

// Guards against judging statements of 9 ms and 47 ms by one mean.
TEST(SlotTimes, KindsAreMeasuredApart) {
  SlotTimes Times;
  DOUBLES_EQUAL(0.02, Times.expected(readOf("lookup")), 1e-9);
  for (int Count = 0; Count < 20; ++Count) {
    Times.record(readOf("lookup"), milliseconds(9));
    Times.record(readOf("history"), milliseconds(47));
  }
  DOUBLES_EQUAL(0.009, Times.expected(readOf("lookup")), 1e-4);
  DOUBLES_EQUAL(0.047, Times.expected(readOf("history")), 1e-4);
  double Unknown = Times.expected(readOf("other"));
  CHECK_TRUE(Unknown > 0.009 && Unknown < 0.047);
}

TEST_GROUP(FairShares){};

// Guards against an account that pays for its long statements like for short
// ones.
TEST(FairShares, LongStatementsMoveAnAccountBack) {
  FairShares Shares;
  Shares.charge(Ward, 0.01, 0);
  Shares.charge(Desk, 0.01, 0);
  Shares.correct(Ward, 0.01, 0.05);
  CHECK_TRUE(Shares.startTag(Desk) < Shares.startTag(Ward));
}

TEST_GROUP(TargetQueue){};

// Guards against refusing an urgent statement because less urgent ones wait.
TEST(TargetQueue, LessImportantWorkGivesWay) {
  TargetQueue Queue = queue(QueueOrder::Urgency);
  std::vector<WaitingWork> Waiting;
  for (std::uint64_t Key = 0; Key < 5; ++Key)
    Waiting.push_back(work(Key, 2, 0, 60));
  Waiting.push_back(work(9, 0, 20, 30));
  auto Hopeless = hopelessKeys(Queue, Waiting, 20, milliseconds(10));
  CHECK_FALSE(Hopeless.empty());
  CHECK_TRUE(std::find(Hopeless.begin(), Hopeless.end(), 9U) == Hopeless.end());
}

// Guards against holding a statement until its deadline although its turn
// cannot come in time.
TEST(TargetQueue, WorkThatCannotStartInTimeIsFoundAtOnce) {
  TargetQueue Queue = queue(QueueOrder::Urgency);
  std::vector<WaitingWork> Waiting;
  for (std::uint64_t Key = 0; Key < 10; ++Key)
    Waiting.push_back(work(Key, 1, 0, 45));
  LONGS_EQUAL(5, hopelessKeys(Queue, Waiting, 0, Duration(0)).size());
  LONGS_EQUAL(0,
              hopelessKeys(Queue, {work(1, 1, 0, 45)}, 0, Duration(0)).size());
}

// Guards against cutting an open transaction, which holds locks.
TEST(TargetQueue, OpenTransactionsDoNotGiveWay) {
  TargetQueue Queue = queue(QueueOrder::Urgency);
  std::vector<WaitingWork> Waiting{work(1, 2, 0, 5), work(2, 0, 0, 5)};
  Waiting.front().HoldsLink = true;
  auto Hopeless = hopelessKeys(Queue, Waiting, 10, Duration(0));
  CHECK_TRUE(Hopeless == std::vector<std::uint64_t>{2});
}

// Guards against starving the lowest priority while urgent work has slack.
TEST(TargetQueue, NearDeadlinesPrecedeUrgentWorkWithSlack) {
  TargetQueue Queue = queue(QueueOrder::Urgency);
  std::vector<WaitingWork> Waiting{work(1, 0, 100, 100), work(2, 2, 0, 240)};
  Queue.sort(Waiting);
  LONGS_EQUAL(2, Waiting.front().Key);
  CHECK_TRUE(hopelessKeys(Queue, Waiting, 100, Duration(0)).empty());
}

// Guards against an account that takes all slots by sending more than others.
TEST(TargetQueue, AnAccountBeyondItsShareMovesBack) {
  TargetQueue Queue = queue(QueueOrder::Urgency);
  for (int Count = 0; Count < 20; ++Count)
    Queue.shares().charge(Ward, 0.01, 0);
  std::vector<WaitingWork> Waiting{work(1, 1, 0, 100, "r", Ward),
                                   work(2, 1, 10, 100, "r", Desk)};
  Queue.sort(Waiting);
  LONGS_EQUAL(2, Waiting.front().Key);
}

TEST_GROUP(RecordedLoad){};

// Load: all callers ask for 1.5 times what the target can do, for six seconds.
// Measured beside the order by priority, which stays as `fair`.
TEST(RecordedLoad, UrgentWorkSurvivesAnOverload) {
  auto ByPriority = Replay(QueueOrder::Fair).run(mixedLoad(1.5), 6000);
  auto ByUrgency = Replay(QueueOrder::Urgency).run(mixedLoad(1.5), 6000);
  CHECK_TRUE(ByUrgency[0].share() > 0.97);
  CHECK_TRUE(ByUrgency[0].share() >= ByPriority[0].share() - 0.01);
  CHECK_TRUE(ByUrgency[0].share() >= ByUrgency[1].share());
  CHECK_TRUE(ByUrgency[1].share() >= ByUrgency[2].share());
}

// Load: 0.95 of what the target can do, with bursts by chance.
TEST(RecordedLoad, NothingStarvesWhileOthersHaveSlack) {
  auto ByUrgency = Replay(QueueOrder::Urgency).run(mixedLoad(0.95), 10000);
  for (const auto &[Priority, Total] : ByUrgency)
    CHECK_TRUE(Total.share() > 0.95);
}
