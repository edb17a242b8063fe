#include "bergamotstage/ratelimit/FleetDemand.h"
#include "bergamotstage/ratelimit/LoanQueue.h"
#include "bergamotstage/ratelimit/RatePlan.h"
#include "bergamotstage/ratelimit/RateShare.h"
#include "bergamotstage/ratelimit/ShareFilter.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cstdio>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

using namespace bergamotstage;
using namespace bergamotstage::ratelimit;

namespace {

const AccountId Busy("busy");

Instant at(int Milliseconds) {
  return Instant(seconds(100) + milliseconds(Milliseconds));
}

/// @brief Kinds of operations, highest priority first.
struct Kind {
  Duration LatencyTarget;
  double Part; ///< Of the account's demand.
};
const Kind Kinds[] = {{milliseconds(100), 0.14},
                      {milliseconds(200), 0.63},
                      {milliseconds(600), 0.23}};

/// @brief VMs with one busy account each, whose messages take a millisecond.
class RateFleet {
public:
  struct Total {
    double Asked = 0;
    double Admitted = 0;
    double share() const { return Asked > 0 ? Admitted / Asked : 1; }
  };

  RateFleet(unsigned Vms, double Rate, double Burst, RateSharing Sharing)
      : m_Plan(
            std::make_shared<const RatePlan>(RatePlan::uniform(names(Vms)))) {
    for (const VmId &Name : names(Vms)) {
      auto Created = std::make_unique<Vm>(Name, *this);
      Created->Rates.setSharing(Sharing);
      Created->Rates.configure({{Busy, {Busy, Rate, Burst}}});
      Created->Rates.setPlan(m_Plan, m_Plan->slotsOf(Name), Instant::max());
      m_Vms[Name] = std::move(Created);
      m_Names.push_back(Name);
    }
    advance(seconds(10));
  }

  /// @brief Sends operations of all kinds to random VMs for a time span.
  void load(double PerSecond, Duration Span) {
    auto Steps = static_cast<int>(toMilliseconds(Span));
    for (int Step = 0; Step < Steps; ++Step) {
      std::poisson_distribution<int> Arrivals(PerSecond / 1000);
      for (int Count = Arrivals(m_Random); Count > 0; --Count)
        ask();
      advance(milliseconds(1));
    }
  }

  void cut(const VmId &Name) { m_Cut.insert(Name); }
  const std::vector<VmId> &vmNames() const { return m_Names; }
  const RatePlan &plan() const { return *m_Plan; }
  std::map<unsigned, Total> takeTotals() {
    return std::exchange(m_Totals, std::map<unsigned, Total>());
  }

  /// @brief Most admissions in any window of a length.
  std::size_t mostAdmittedIn(Duration Window) const {
    std::size_t Most = 0;
    std::size_t First = 0;
    for (std::size_t Last = 0; Last < m_AdmittedAt.size(); ++Last) {
      while (m_AdmittedAt[First] + Window < m_AdmittedAt[Last])
        ++First;
      Most = std::max(Most, Last - First + 1);
    }
    return Most;
  }

private:
  struct Vm {
    pooling::Context Ctx;
    RateShare Rates;

    Vm(const VmId &Name, RateFleet &Fleet)
        : Ctx(Name, DataCentreId("east"),
              std::hash<std::string>()(Name.value())),
          Rates(
              Ctx,
              [&Fleet, Name](const VmId &To, pooling::FleetMessage &&Message) {
                Fleet.m_Messages.push_back({Fleet.m_Now + milliseconds(1), Name,
                                            To, std::move(Message)});
              },
              [&Fleet, Name](const VmId &Peer) {
                return Fleet.reaches(Name, Peer);
              }) {}
  };
  struct Sent {
    Instant ArrivesAt;
    VmId From;
    VmId To;
    pooling::FleetMessage Message;
  };

  static std::vector<VmId> names(unsigned Count) {
    std::vector<VmId> Names;
    for (unsigned Index = 0; Index < Count; ++Index)
      Names.emplace_back("vm-" + std::to_string(100 + Index));
    return Names;
  }

  bool reaches(const VmId &Self, const VmId &Peer) const {
    return Self != Peer && m_Cut.count(Self) == m_Cut.count(Peer);
  }

  void ask() {
    std::uniform_int_distribution<std::size_t> AnyVm(0, m_Names.size() - 1);
    std::uniform_real_distribution<double> AnyKind(0, 1);
    double Drawn = AnyKind(m_Random);
    unsigned Priority = Drawn < Kinds[0].Part                   ? 0
                        : Drawn < Kinds[0].Part + Kinds[1].Part ? 1
                                                                : 2;
    ++m_Totals[Priority].Asked;
    Urgency Need{Priority, Kinds[Priority].LatencyTarget, false};
    m_Vms.at(m_Names[AnyVm(m_Random)])
        ->Rates.admit(Busy, Need,
                      [this, Priority](const RateShare::Decision &Made) {
                        if (!Made.Admitted)
                          return;
                        ++m_Totals[Priority].Admitted;
                        m_AdmittedAt.push_back(m_Now);
                      });
  }

  void advance(Duration Span) {
    m_Now += Span;
    for (auto &[Name, Each] : m_Vms) {
      Each->Ctx.setNow(m_Now);
      Each->Ctx.timers().runDue(m_Now);
    }
    while (!m_Messages.empty() && m_Messages.front().ArrivesAt <= m_Now) {
      Sent Next = std::move(m_Messages.front());
      m_Messages.pop_front();
      if (m_Cut.count(Next.From) != m_Cut.count(Next.To))
        continue;
      RateShare &Rates = m_Vms.at(Next.To)->Rates;
      if (const auto *Request =
              std::get_if<pooling::TokenRequest>(&Next.Message))
        Rates.onTokenMessage(Next.From, *Request);
      if (const auto *Grant = std::get_if<pooling::TokenGrant>(&Next.Message))
        Rates.onTokenMessage(Next.From, *Grant);
    }
  }

  std::shared_ptr<const RatePlan> m_Plan;
  Instant m_Now = at(0);
  std::mt19937_64 m_Random{7};
  std::vector<VmId> m_Names;
  std::map<VmId, std::unique_ptr<Vm>> m_Vms;
  std::deque<Sent> m_Messages;
  std::set<VmId> m_Cut; ///< These reach only each other.
  std::map<unsigned, Total> m_Totals;
  std::vector<Instant> m_AdmittedAt;
};

} // namespace

TEST_GROUP(ServableShares){};

// Guards against sharing tokens by demand, which starves a small urgent kind.
TEST(ServableShares, HigherPrioritiesAreCoveredFirst) {
  auto Shares = servableShares({{0, 20}, {1, 90}, {2, 30}}, 65);
  LONGS_EQUAL(1000, shareOf(Shares, 0));
  LONGS_EQUAL(500, shareOf(Shares, 1));
  LONGS_EQUAL(0, shareOf(Shares, 2));
  LONGS_EQUAL(1000, shareOf(Shares, 7));
}

TEST_GROUP(FleetDemand){};

// Guards against counting the demand of a VM that no longer reports.
TEST(FleetDemand, ForgetsOutdatedReports) {
  FleetDemand Demand;
  Demand.report(VmId("a"), {{0, 4000}, {2, 1000}}, at(0));
  Demand.report(VmId("b"), {{2, 2000}}, at(1000));
  DOUBLES_EQUAL(3, Demand.total(at(1000)).at(2), 1e-9);
  DOUBLES_EQUAL(2, Demand.total(at(1800)).at(2), 1e-9);
  LONGS_EQUAL(0, Demand.total(at(1800)).count(0));
}

TEST_GROUP(ShareFilter){};

// Guards against callers that all wait for tokens that cannot come.
TEST(ShareFilter, AdmitsAboutTheShare) {
  ShareFilter Filter;
  Filter.update({{1, 200}}, at(0));
  int Admitted = 0;
  for (int Index = 0; Index < 1000; ++Index)
    Admitted += Filter.admits({1, {}, false}, at(1)) ? 1 : 0;
  CHECK_TRUE(Admitted >= 200 && Admitted <= 240);
  CHECK_TRUE(Filter.admits({0, {}, false}, at(1)));
}

// Guards against a caller that is refused again and again while new ones pass.
TEST(ShareFilter, RetriesPrecedeNewOperations) {
  ShareFilter Filter;
  Filter.update({{1, 100}}, at(0));
  CHECK_FALSE(Filter.admits({1, {}, false}, at(1)));
  CHECK_TRUE(Filter.admits({1, {}, true}, at(1)));
  CHECK_FALSE(Filter.admits({1, {}, false}, at(1)));
}

// Guards against refusing for good by a share that is no longer true.
TEST(ShareFilter, OutdatedSharesRefuseNothing) {
  ShareFilter Filter;
  Filter.update({{1, 0}}, at(0));
  CHECK_FALSE(Filter.admits({1, {}, false}, at(900)));
  CHECK_TRUE(Filter.admits({1, {}, false}, at(1100)));
}

TEST_GROUP(LoanQueue){};

// Guards against serving borrowers in the order of their requests.
TEST(LoanQueue, OrdersByPriorityThenDeadline) {
  LoanQueue Queue;
  Queue.replace(VmId("a"), {{2, 1, milliseconds(10)}}, at(0));
  Queue.replace(VmId("b"), {{1, 1, milliseconds(90)}}, at(0));
  Queue.replace(VmId("c"), {{1, 1, milliseconds(30)}}, at(0));
  CHECK_TRUE(Queue.front().From == VmId("c"));
  Queue.erase(VmId("c"));
  CHECK_TRUE(Queue.front().From == VmId("b"));
}

// Guards against a borrower that never gets an answer, or two.
TEST(LoanQueue, AVmIsAnsweredOnceItsLastEntryIsGone) {
  LoanQueue Queue;
  Queue.replace(VmId("a"),
                {{0, 1, milliseconds(10)}, {2, 1, milliseconds(500)}}, at(0));
  auto First = Queue.eraseIf(
      [](const LoanQueue::Entry &Next) { return Next.Priority == 2; });
  CHECK_TRUE(First.empty());
  auto Second = Queue.eraseIf([](const LoanQueue::Entry &) { return true; });
  LONGS_EQUAL(1, Second.size());
}

TEST_GROUP(RatePriority){};

// Load: one account asks seven times its usual demand of 100 operations per
// second for six seconds; its rate is 1.6 times the usual.
TEST(RatePriority, TokensGoToTheMostUrgentOperations) {
  RateFleet Fleet(84, 160, 80, RateSharing::Priority);
  Fleet.load(700, seconds(1));
  Fleet.takeTotals();
  Fleet.load(700, seconds(6));
  auto Totals = Fleet.takeTotals();
  CHECK_TRUE(Totals[0].share() > 0.97);
  CHECK_TRUE(Totals[1].share() > Totals[2].share());
  // Nearly all of the rate is used.
  double Admitted =
      Totals[0].Admitted + Totals[1].Admitted + Totals[2].Admitted;
  CHECK_TRUE(Admitted > 0.9 * 160 * 6);
}

// Guards against refusing an account that stays within its rate.
TEST(RatePriority, NothingIsRefusedWithinTheRate) {
  RateFleet Fleet(84, 160, 80, RateSharing::Priority);
  Fleet.load(100, seconds(5));
  for (auto &[Priority, Total] : Fleet.takeTotals())
    CHECK_TRUE(Total.share() > 0.995);
}

// Guards against spending a loan twice, or what a VM that is cut off holds.
TEST(RatePriority, NoWindowExceedsTheContractWithAThirdOfTheVmsCutOff) {
  RateFleet Fleet(84, 160, 80, RateSharing::Priority);
  Fleet.load(700, seconds(2));
  for (std::size_t Index = 0; Index < Fleet.vmNames().size(); Index += 3)
    Fleet.cut(Fleet.vmNames()[Index]);
  Fleet.load(700, seconds(6));
  CHECK_TRUE(Fleet.mostAdmittedIn(seconds(5)) <=
             static_cast<std::size_t>((160 * 5 + 80) * 1.1 + 20));
}

// Guards against urgent operations that lose to others while the holders of
// half of the slots are out of reach.
TEST(RatePriority, UrgentOperationsAreServedWhileHoldersAreOutOfReach) {
  RateFleet Fleet(84, 160, 80, RateSharing::Priority);
  Fleet.load(700, seconds(1));
  std::vector<VmId> Holders = Fleet.plan().holders(Busy);
  for (std::size_t Index = 0; Index < Holders.size() / 2; ++Index)
    Fleet.cut(Holders[Index]);
  Fleet.load(300, seconds(2));
  Fleet.takeTotals();
  Fleet.load(300, seconds(4));
  auto Totals = Fleet.takeTotals();
  CHECK_TRUE(Totals[0].share() > 0.9);
  CHECK_TRUE(Totals[1].share() >= Totals[2].share());
}

// Guards against an account whose holders have buckets of less than a whole
// token, or than a token and the reserve: it stays within its rate and must be
// served as with `policy rate loans`.
TEST(RatePriority, SmallAccountsAreServedWithinTheirRate) {
  for (double Rate : {2.0, 4.0, 8.0, 16.0}) {
    std::map<RateSharing, double> Served;
    for (RateSharing Sharing : {RateSharing::Loans, RateSharing::Priority}) {
      RateFleet Fleet(84, Rate, Rate, Sharing);
      Fleet.load(Rate / 1.6, seconds(60));
      RateFleet::Total Sum;
      for (auto &[Priority, Total] : Fleet.takeTotals()) {
        Sum.Asked += Total.Asked;
        Sum.Admitted += Total.Admitted;
      }
      Served[Sharing] = Sum.share();
    }
    std::printf("rate %.0f: loans %.3f, priority %.3f\n", Rate,
                Served[RateSharing::Loans], Served[RateSharing::Priority]);
    CHECK_TRUE(Served[RateSharing::Priority] >=
               Served[RateSharing::Loans] - 0.05);
  }
}
