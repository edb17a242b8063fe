#include "bergamotstage/ratelimit/RatePlan.h"
#include "bergamotstage/ratelimit/RateShare.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <numeric>
#include <variant>
#include <vector>

using namespace bergamotstage;
using namespace bergamotstage::pooling;
using namespace bergamotstage::ratelimit;

namespace {

const AccountId Ward("ward");

std::vector<VmId> vmNames(unsigned Count) {
  std::vector<VmId> Names;
  for (unsigned Index = 0; Index < Count; ++Index)
    Names.emplace_back("vm-" + std::to_string(Index));
  return Names;
}

/// @brief Sum of the shares of an account over all VMs.
double sumOfShares(const RatePlan &Plan, const AccountId &Account) {
  std::set<VmId> Holders = Plan.holders();
  return std::accumulate(Holders.begin(), Holders.end(), 0.0,
                         [&](double Sum, const VmId &Vm) {
                           return Sum + Plan.share(Account, Plan.slotsOf(Vm));
                         });
}

/// @brief Two VMs with half of one account's rate each.
struct TwoVms {
  Context FirstCtx{VmId("vm-0"), DataCentreId("east"), 1};
  Context SecondCtx{VmId("vm-1"), DataCentreId("east"), 2};
  std::vector<FleetMessage> ToFirst;
  std::vector<FleetMessage> ToSecond;
  RateShare First;
  RateShare Second;

  explicit TwoVms(double Rate, double Burst)
      : First(
            FirstCtx,
            [this](const VmId &, FleetMessage &&Message) {
              ToSecond.push_back(std::move(Message));
            },
            [](const VmId &Peer) { return Peer == VmId("vm-1"); }),
        Second(
            SecondCtx,
            [this](const VmId &, FleetMessage &&Message) {
              ToFirst.push_back(std::move(Message));
            },
            [](const VmId &Peer) { return Peer == VmId("vm-0"); }) {
    std::map<AccountId, AccountConfig> Accounts{{Ward, {Ward, Rate, Burst}}};
    First.configure(Accounts);
    Second.configure(Accounts);
    auto Plan = std::make_shared<const RatePlan>(RatePlan::uniform(vmNames(2)));
    First.setPlan(Plan, Plan->slotsOf(VmId("vm-0")), Instant::max());
    Second.setPlan(Plan, Plan->slotsOf(VmId("vm-1")), Instant::max());
    advance(seconds(20));
  }

  void advance(Duration Span) {
    Instant Now = FirstCtx.now() + Span;
    FirstCtx.setNow(Now);
    SecondCtx.setNow(Now);
    FirstCtx.timers().runDue(Now);
    SecondCtx.timers().runDue(Now);
  }

  /// @brief Delivers pending messages; replies to them stay pending.
  void deliver() {
    for (const FleetMessage &Message : std::exchange(ToSecond, {})) {
      if (const auto *Request = std::get_if<TokenRequest>(&Message))
        Second.onTokenMessage(VmId("vm-0"), *Request);
      if (const auto *Grant = std::get_if<TokenGrant>(&Message))
        Second.onTokenMessage(VmId("vm-0"), *Grant);
    }
    for (const FleetMessage &Message : std::exchange(ToFirst, {})) {
      if (const auto *Request = std::get_if<TokenRequest>(&Message))
        First.onTokenMessage(VmId("vm-1"), *Request);
      if (const auto *Grant = std::get_if<TokenGrant>(&Message))
        First.onTokenMessage(VmId("vm-1"), *Grant);
    }
  }
};

unsigned admitted(RateShare &At, unsigned Count) {
  unsigned Passed = 0;
  for (unsigned Index = 0; Index < Count; ++Index)
    At.admit(Ward, {}, [&](const RateShare::Decision &Result) {
      Passed += Result.Admitted ? 1 : 0;
    });
  return Passed;
}

} // namespace

TEST_GROUP(RatePlan){};

TEST(RatePlan, SharesOfAnAccountSumUpToItsRate) {
  for (unsigned Vms : {1U, 2U, 9U, 30U, 89U, 300U, 1000U}) {
    RatePlan Plan = RatePlan::uniform(vmNames(Vms));
    for (const char *Name : {"ward", "desk", "jetty"})
      DOUBLES_EQUAL(1.0, sumOfShares(Plan, AccountId(Name)), 1e-9);
  }
}

TEST(RatePlan, MovesKeepTheSum) {
  RatePlan Plan = RatePlan::uniform(vmNames(89));
  Plan.moveSlots(VmId("vm-3"), VmId("vm-new"), 2);
  Plan.moveSlots(VmId("vm-4"), VmId("vm-5"), 1000);
  DOUBLES_EQUAL(1.0, sumOfShares(Plan, Ward), 1e-9);
  LONGS_EQUAL(2, Plan.slotsOf(VmId("vm-new")).size());
  CHECK_TRUE(Plan.slotsOf(VmId("vm-4")).empty());
}

TEST(RatePlan, FitsIntoOneRow) {
  std::vector<VmId> Names;
  for (unsigned Index = 0; Index < 1000; ++Index)
    Names.emplace_back("frontend-with-a-long-name-" + std::to_string(Index));
  CHECK_TRUE(RatePlan::uniform(Names).format().size() < 65536);
}

TEST(RatePlan, ReadsWhatItWrites) {
  RatePlan Plan = RatePlan::uniform(vmNames(9));
  auto Read = RatePlan::parse(Plan.format());
  CHECK_TRUE(Read.has_value());
  CHECK_EQUAL(Plan.format(), Read->format());
  CHECK_FALSE(RatePlan::parse("").has_value());
}

TEST(RatePlan, LargeFleetsSpreadAnAccountOverFewVms) {
  RatePlan Plan = RatePlan::uniform(vmNames(89));
  CHECK_TRUE(Plan.holders(Ward).size() <= 4);
  LONGS_EQUAL(9, RatePlan::uniform(vmNames(9)).holders(Ward).size());
}

TEST_GROUP(RateShare){};

TEST(RateShare, SpendsNoMoreThanItsShare) {
  TwoVms Both(10, 10);
  LONGS_EQUAL(5, admitted(Both.First, 20));
}

TEST(RateShare, BorrowedTokensAreDebitedFromTheLender) {
  TwoVms Both(10, 10);
  unsigned Passed = 0;
  for (unsigned Index = 0; Index < 8; ++Index)
    Both.First.admit(Ward, {}, [&](const RateShare::Decision &Result) {
      Passed += Result.Admitted ? 1 : 0;
    });
  LONGS_EQUAL(5, Passed);
  for (int Round = 0; Round < 8; ++Round)
    Both.deliver();
  LONGS_EQUAL(8, Passed);
  unsigned Left = admitted(Both.Second, 20);
  CHECK_TRUE(Passed + Left <= 11);
}

TEST(RateShare, ALostGrantLosesTokensAndCreatesNone) {
  TwoVms Both(10, 10);
  unsigned Passed = admitted(Both.First, 8);
  Both.deliver();
  Both.ToFirst.clear();
  Passed += admitted(Both.Second, 20);
  CHECK_TRUE(Passed <= 11);
}

TEST(RateShare, ARejectionHasARetryAfter) {
  TwoVms Both(10, 10);
  admitted(Both.First, 5);
  Duration RetryAfter{};
  bool Admitted = true;
  Both.First.admit(Ward, {}, [&](const RateShare::Decision &Result) {
    Admitted = Result.Admitted;
    RetryAfter = Result.RetryAfter;
  });
  Both.advance(milliseconds(45));
  CHECK_FALSE(Admitted);
  CHECK_TRUE(RetryAfter >= milliseconds(20));
}

TEST(RateShare, RetryAfterCoversLoansOfAVmWithoutSlots) {
  TwoVms Both(10, 1);
  auto Plan = std::make_shared<const RatePlan>(RatePlan::uniform(vmNames(2)));
  Both.First.setPlan(Plan, {}, Instant::max());
  RateShare::Decision Made{true, {}};
  for (unsigned Count = 0; Count < 3; ++Count) {
    Both.First.admit(Ward, {},
                     [&](const RateShare::Decision &Result) { Made = Result; });
    Both.advance(milliseconds(45));
  }
  CHECK_FALSE(Made.Admitted);
  CHECK_TRUE(Made.RetryAfter > Duration(0));
  CHECK_TRUE(Made.RetryAfter <= seconds(5));
}

TEST(RateShare, WithoutAPlanNothingIsSpent) {
  TwoVms Both(10, 10);
  Both.First.setPlan(nullptr, {}, Instant::max());
  LONGS_EQUAL(0, admitted(Both.First, 5));
}

TEST(RateShare, NothingIsSpentOrLentAfterTheLease) {
  TwoVms Both(10, 10);
  auto Plan = std::make_shared<const RatePlan>(RatePlan::uniform(vmNames(2)));
  Both.First.setPlan(Plan, Plan->slotsOf(VmId("vm-0")),
                     Both.FirstCtx.now() + seconds(5));
  // The VM runs again after a freeze; no timer has run yet.
  Both.FirstCtx.setNow(Both.FirstCtx.now() + seconds(6));
  LONGS_EQUAL(0, admitted(Both.First, 5));
  // Those that wait for a loan do not wait for the slots' own tokens.
  CHECK_TRUE(*Both.FirstCtx.timers().next() >=
             Both.FirstCtx.now() + milliseconds(40));
  Both.ToSecond.clear();
  Both.First.onTokenMessage(VmId("vm-1"), TokenRequest{Ward, 1000, {}, {}});
  LONGS_EQUAL(0, std::get<TokenGrant>(Both.ToSecond.back()).MilliTokens);
}

TEST(RateShare, ALowerLimitRemovesExcessTokens) {
  TwoVms Both(100, 100);
  std::map<AccountId, AccountConfig> Lower{{Ward, {Ward, 4, 4}}};
  Both.First.configure(Lower);
  CHECK_TRUE(admitted(Both.First, 50) <= 3);
}
