#include "bergamotstage/ratelimit/RatePlan.h"
#include "bergamotstage/ratelimit/RateShare.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

using namespace bergamotstage;
using namespace bergamotstage::ratelimit;
using pooling::TokenGrant;
using pooling::TokenRequest;

namespace {

const AccountId Ward("ward");
constexpr unsigned Vms = 84;

std::vector<VmId> vmNames() {
  std::vector<VmId> Names;
  for (unsigned Index = 0; Index < Vms; ++Index)
    Names.emplace_back("vm-" + std::to_string(100 + Index));
  return Names;
}

/// @brief One VM of a large fleet, whose messages are recorded.
struct ShareBench {
  pooling::Context Ctx;
  std::shared_ptr<const RatePlan> Plan =
      std::make_shared<const RatePlan>(RatePlan::uniform(vmNames()));
  std::vector<VmId> Peers;
  std::vector<std::pair<VmId, TokenRequest>> Requests;
  std::vector<std::pair<VmId, TokenGrant>> Grants;
  std::vector<RateShare::Decision> Decisions;
  RateShare Rates;

  /// @param IsHolder whether this VM holds slots of the account
  explicit ShareBench(bool IsHolder, double Rate = 160, double Burst = 80)
      : Ctx(self(IsHolder), DataCentreId("east"), 5),
        Rates(
            Ctx,
            [this](const VmId &To, pooling::FleetMessage &&Message) {
              if (const auto *Request = std::get_if<TokenRequest>(&Message))
                Requests.emplace_back(To, *Request);
              if (const auto *Grant = std::get_if<TokenGrant>(&Message))
                Grants.emplace_back(To, *Grant);
            },
            [this](const VmId &Peer) {
              return std::find(Peers.begin(), Peers.end(), Peer) != Peers.end();
            }) {
    for (const VmId &Name : vmNames())
      if (Name != Ctx.self())
        Peers.push_back(Name);
    Ctx.setNow(Instant(seconds(100)));
    Rates.setSharing(RateSharing::Priority);
    Rates.configure({{Ward, {Ward, Rate, Burst}}});
    Rates.setPlan(Plan, Plan->slotsOf(Ctx.self()), Instant::max());
    advance(seconds(20));
  }

  static VmId self(bool IsHolder) {
    RatePlan Plan = RatePlan::uniform(vmNames());
    std::vector<VmId> Holders = Plan.holders(Ward);
    for (const VmId &Name : vmNames())
      if (std::binary_search(Holders.begin(), Holders.end(), Name) == IsHolder)
        return Name;
    return {};
  }

  void advance(Duration Span) {
    Instant End = Ctx.now() + Span;
    while (Ctx.timers().next() && *Ctx.timers().next() <= End) {
      Ctx.setNow(*Ctx.timers().next());
      Ctx.timers().runDue(Ctx.now());
    }
    Ctx.setNow(End);
  }

  void admit(unsigned Priority, Duration LatencyTarget = milliseconds(600)) {
    Rates.admit(
        Ward, {Priority, LatencyTarget, false},
        [this](const RateShare::Decision &Made) { Decisions.push_back(Made); });
  }

  /// @brief Answers the latest request of this VM.
  void answer(std::uint64_t MilliTokens,
              std::vector<PriorityShare> Shares = {}) {
    const auto &[From, Request] = Requests.back();
    Rates.onTokenMessage(From,
                         grantFor(Request, MilliTokens, std::move(Shares)));
  }

  static TokenGrant grantFor(const TokenRequest &Request,
                             std::uint64_t MilliTokens,
                             std::vector<PriorityShare> Shares = {}) {
    TokenGrant Grant;
    Grant.Account = Request.Account;
    Grant.Number = Request.Number;
    Grant.MilliTokens = MilliTokens;
    Grant.Shares = std::move(Shares);
    return Grant;
  }

  /// @brief Requests tokens of this VM for operations at another one.
  void requestFrom(const VmId &From, unsigned Priority, std::uint64_t Count,
                   Duration Wait) {
    TokenRequest Request;
    Request.Account = Ward;
    Request.MilliTokens = Count * 1000;
    Request.Demand = {{Priority, 10'000}};
    Request.Waiting = {{Priority, Count, Wait}};
    Rates.onTokenMessage(From, Request);
  }
};

} // namespace

TEST_GROUP(RateFaults){};

// Guards against a VM without slots that tells every refused caller to return
// after 5 s, because its own bucket never earns a token.
TEST(RateFaults, TheRetryDelayOfAVmWithoutSlotsFollowsTheFleetsRate) {
  ShareBench Bench(false);
  Bench.admit(1);
  Bench.answer(0, {{1, 667}});
  while (Bench.Decisions.size() < 3 || Bench.Decisions.back().Admitted)
    Bench.admit(1);
  // The rate covers two thirds: what is left of a second takes half a second.
  CHECK_FALSE(Bench.Decisions.back().Admitted);
  CHECK_TRUE(Bench.Decisions.back().RetryAfter >= milliseconds(370));
  CHECK_TRUE(Bench.Decisions.back().RetryAfter <= milliseconds(630));
}

// Guards against a silent holder that blocks all operations of an account at
// this VM: the next holder is asked 120 ms after the last answer was due.
TEST(RateFaults, AnotherHolderIsAskedOnceAnAnswerIsOverdue) {
  ShareBench Bench(false);
  Bench.admit(0, milliseconds(100));
  VmId Silent = Bench.Requests.back().first;
  Bench.advance(milliseconds(40 + 121));
  Bench.admit(0, milliseconds(100));
  LONGS_EQUAL(2, Bench.Requests.size());
  CHECK_FALSE(Bench.Requests.back().first == Silent);
}

// Guards against a holder that wakes up every millisecond, because another one
// never answered it.
TEST(RateFaults, ALostRequestCausesNoTimerWhileOnlyLoansWait) {
  ShareBench Bench(true);
  for (int Count = 0; Count < 300; ++Count)
    Bench.admit(0);
  Bench.advance(milliseconds(400));
  unsigned Wakes = 0;
  for (int Round = 0; Round < 4; ++Round) {
    for (int Vm = 0; Vm < 4; ++Vm)
      Bench.requestFrom(VmId("vm-x" + std::to_string(Vm)), 2, 1000,
                        milliseconds(250));
    Instant End = Bench.Ctx.now() + milliseconds(100);
    while (Bench.Ctx.timers().next() && *Bench.Ctx.timers().next() <= End) {
      ++Wakes;
      Bench.Ctx.setNow(*Bench.Ctx.timers().next());
      Bench.Ctx.timers().runDue(Bench.Ctx.now());
    }
    Bench.Ctx.setNow(End);
  }
  CHECK_TRUE(Wakes < 100);
}

// Guards against an urgent operation that is refused because the holders had no
// token for less urgent ones a moment before.
TEST(RateFaults, AHolderThatRefusedLessUrgentOperationsIsAskedForUrgentOnes) {
  ShareBench Bench(false);
  for (std::size_t Count = 0; Count < Bench.Plan->holders(Ward).size();
       ++Count) {
    Bench.admit(2);
    Bench.answer(0);
    Bench.advance(milliseconds(1));
  }
  Bench.Decisions.clear();
  std::size_t Before = Bench.Requests.size();
  Bench.admit(0);
  CHECK_TRUE(Bench.Decisions.empty());
  CHECK_TRUE(Bench.Requests.size() > Before);
}

// Guards against a loan that waits for ever at a holder which stops sharing by
// priority while the request waits.
TEST(RateFaults, AWaitingLoanIsAnsweredWhenThePolicyOfTheHolderChanges) {
  ShareBench Bench(true);
  for (int Count = 0; Count < 300; ++Count)
    Bench.admit(0);
  Bench.advance(milliseconds(241));
  Bench.Grants.clear();
  Bench.requestFrom(VmId("vm-x"), 2, 50, milliseconds(250));
  Bench.Rates.setSharing(RateSharing::Loans);
  Bench.admit(0);
  Bench.advance(milliseconds(600));
  CHECK_FALSE(Bench.Grants.empty());
}

// Guards against a holder without `policy rate priority` that never answers a
// borrower with it: its own admissions cancelled the timer of the loans.
TEST(RateFaults, AHolderWithAnotherPolicyAnswersABorrowerThatSharesByPriority) {
  ShareBench Bench(true);
  Bench.Rates.setSharing(RateSharing::Loans);
  for (int Count = 0; Count < 300; ++Count)
    Bench.admit(0);
  Bench.advance(milliseconds(41));
  Bench.Grants.clear();
  Bench.requestFrom(VmId("vm-x"), 2, 50, milliseconds(250));
  Bench.admit(0);
  Bench.advance(milliseconds(600));
  LONGS_EQUAL(1, Bench.Grants.size());
}

// Guards against operations that keep waiting under the rules of another
// policy.
TEST(RateFaults, EachOperationIsDecidedOnceWhenThePolicyChanges) {
  for (auto [From, To] :
       {std::pair(RateSharing::Priority, RateSharing::Loans),
        std::pair(RateSharing::Priority, RateSharing::Split),
        std::pair(RateSharing::Loans, RateSharing::Priority),
        std::pair(RateSharing::Split, RateSharing::Priority)}) {
    ShareBench Bench(false);
    Bench.Rates.setSharing(From);
    for (unsigned Count = 0; Count < 9; ++Count)
      Bench.admit(2 - Count % 3);
    Bench.Rates.setSharing(To);
    for (unsigned Count = 0; Count < 9; ++Count)
      Bench.admit(2 - Count % 3);
    Bench.advance(milliseconds(400));
    LONGS_EQUAL(18, Bench.Decisions.size());
  }
}

// Guards against a grant that is delivered twice and spent twice.
TEST(RateFaults, ARepeatedGrantCountsOnce) {
  ShareBench Bench(false);
  for (unsigned Count = 0; Count < 4; ++Count)
    Bench.admit(1);
  auto [From, Request] = Bench.Requests.back();
  Bench.answer(1000);
  Bench.Rates.onTokenMessage(From, ShareBench::grantFor(Request, 1000));
  LONGS_EQUAL(1, std::count_if(Bench.Decisions.begin(), Bench.Decisions.end(),
                               [](const auto &Made) { return Made.Admitted; }));
}

// Guards against tokens that are spent seconds after the lender's bucket has
// earned them again: they would add up to twice the burst in one window.
TEST(RateFaults, AGrantThatWasDelayedForSecondsIsNotSpent) {
  ShareBench Bench(false);
  Bench.admit(1);
  auto [From, Request] = Bench.Requests.back();
  Bench.advance(seconds(4));
  Bench.Decisions.clear();
  Bench.Rates.onTokenMessage(From, ShareBench::grantFor(Request, 5000));
  for (unsigned Count = 0; Count < 3; ++Count)
    Bench.admit(1);
  CHECK_TRUE(Bench.Decisions.empty());
}
