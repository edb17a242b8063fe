#include "bergamotstage/fleet/LineDiff.h"
#include "bergamotstage/fleet/RulesEditor.h"
#include "bergamotstage/fleet/RulesHead.h"
#include "standin/SmallSite.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <optional>
#include <string>
#include <variant>

using namespace bergamotstage;
using namespace bergamotstage::standin;

namespace {

constexpr Duration InForceDeadline = seconds(9); ///< Required limit of an edit.

/// @brief A fleet with the rules of the small site that records the answers to
/// operators.
struct ConfigFixture {
  LoopbackFleet Fleet{{}, 7};
  std::map<OperatorCallId, AnswerOperator> Answers;
  std::map<OperatorCallId, Instant> AnsweredAt;
  std::uint64_t LastCall = 0;

  explicit ConfigFixture(int Vms) {
    Fleet.OnAction = [this](const VmId &, const Action &Sent) {
      if (const auto *Answer = std::get_if<AnswerOperator>(&Sent)) {
        Answers[Answer->Call] = *Answer;
        AnsweredAt[Answer->Call] = Fleet.now();
      }
    };
    Fleet.storeRules(smallSiteRules());
    for (int At = 0; At < Vms; ++At)
      Fleet.startVm(smallSiteVm(vmName(At).value(), "hoan-kiem"));
    run(seconds(8));
  }

  static VmId vmName(int At) { return VmId("vm-" + std::to_string(At)); }
  void run(Duration Span) { Fleet.runUntil(Fleet.now() + Span); }
  Revision revisionInForce(int At) {
    return Fleet.node(vmName(At)).context().rules().Number;
  }
  bool isCurrent(int At) {
    const NodeContext &Context = Fleet.node(vmName(At)).context();
    return Fleet.now() - Context.lastKnownCurrent() < FreshnessLimit;
  }

  OperatorCallId apply(int At, unsigned Expected, const std::string &EditId,
                       const std::string &Text) {
    OperatorCallId Call(++LastCall);
    Fleet.deliver(vmName(At),
                  OperatorRequested{Call,
                                    "apply",
                                    {{"text", Text},
                                     {"expect", std::to_string(Expected)},
                                     {"edit-id", EditId}}});
    return Call;
  }

  bool hasAnswer(OperatorCallId Call, const std::string &FirstWord) {
    auto Found = Answers.find(Call);
    return Found != Answers.end() &&
           Found->second.Body.rfind(FirstWord, 0) == 0;
  }
};

std::string rulesWithAccount(const std::string &Account) {
  return smallSiteRules() + "account " + Account +
         " rate=5 burst=5 # Ledger office\n";
}

/// @brief Blocks a VM's messages to and from the store, its peers or both.
LoopbackFleet::BlockedHook blockVm(const VmId &Vm, bool Store, bool Peers) {
  std::string Endpoint = "vm:" + Vm.value();
  return [Endpoint, Store, Peers](const std::string &From,
                                  const std::string &To) {
    if (From != Endpoint && To != Endpoint)
      return false;
    std::string Other = From == Endpoint ? To : From;
    return Other == "platform" ? Store : Peers && Other.rfind("vm:", 0) == 0;
  };
}

} // namespace

TEST_GROUP(Config){};

TEST(Config, AcceptedEditIsInForceOnEveryVm) {
  ConfigFixture Site(9);
  auto Call = Site.apply(0, 1, "edit-a", rulesWithAccount("ward-2"));
  Site.run(seconds(2));
  CHECK(Site.hasAnswer(Call, "accepted"));
  for (int At = 0; At < 9; ++At)
    CHECK(Site.revisionInForce(At) == Revision(2));
}

TEST(Config, RacingEditsConflictWithADiffAndNeverMixTexts) {
  ConfigFixture Site(3);
  auto First = Site.apply(0, 1, "edit-a", rulesWithAccount("ward-2"));
  auto Second = Site.apply(1, 1, "edit-b", rulesWithAccount("ward-3"));
  Site.run(seconds(3));
  bool FirstWon = Site.hasAnswer(First, "accepted");
  auto Loser = FirstWon ? Second : First;
  CHECK(FirstWon != Site.hasAnswer(Second, "accepted"));
  CHECK(Site.hasAnswer(Loser, "conflict"));
  CHECK(Site.Answers[Loser].Body.find("+12: account ward-") !=
        std::string::npos);
  AccountId Winner(FirstWon ? "ward-2" : "ward-3");
  for (int At = 0; At < 3; ++At) {
    const RuleSet &Rules =
        Site.Fleet.node(ConfigFixture::vmName(At)).context().rules();
    CHECK(Rules.Number == Revision(2));
    CHECK_EQUAL(2U, Rules.Accounts.size());
    CHECK_EQUAL(1U, Rules.Accounts.count(Winner));
  }
}

TEST(Config, LostAnswerIsResolvedByTheEditIdAtAnotherVm) {
  ConfigFixture Site(3);
  Site.Fleet.LoseWriteAnswers = true;
  auto Lost = Site.apply(0, 1, "edit-a", rulesWithAccount("ward-2"));
  Site.run(seconds(1));
  Site.Fleet.killVm(ConfigFixture::vmName(0));
  Site.Fleet.LoseWriteAnswers = false;
  auto Repeat = Site.apply(1, 1, "edit-a", rulesWithAccount("ward-2"));
  Site.run(InForceDeadline);
  CHECK(!Site.hasAnswer(Lost, "accepted"));
  CHECK(Site.hasAnswer(Repeat, "accepted: revision 2"));
  CHECK(Site.revisionInForce(1) == Revision(2));
  CHECK(Site.revisionInForce(2) == Revision(2));
  auto Other = Site.apply(1, 1, "edit-a", rulesWithAccount("ward-3"));
  Site.run(seconds(1));
  CHECK(Site.hasAnswer(Other, "refused"));
}

TEST(Config, AcceptedWaitsUntilAnIsolatedVmStopsServing) {
  ConfigFixture Site(9);
  Site.Fleet.Blocked = blockVm(ConfigFixture::vmName(8), true, true);
  Instant AppliedAt = Site.Fleet.now();
  auto Call = Site.apply(0, 1, "edit-a", rulesWithAccount("ward-2"));
  while (Site.Answers.count(Call) == 0 &&
         Site.Fleet.now() < AppliedAt + seconds(30)) {
    Site.run(milliseconds(50));
    bool Stopped = !Site.isCurrent(8);
    CHECK(Site.Answers.count(Call) == 0 || Stopped);
  }
  CHECK(Site.hasAnswer(Call, "accepted"));
  CHECK(Site.AnsweredAt[Call] - AppliedAt < InForceDeadline);
  CHECK(Site.revisionInForce(8) == Revision(1));
  Site.Fleet.Blocked = nullptr;
  Site.run(InForceDeadline);
  CHECK(Site.revisionInForce(8) == Revision(2));
  CHECK(Site.isCurrent(8));
}

TEST(Config, VmWithoutStoreOrWithoutPeersStaysCurrent) {
  for (bool Store : {true, false}) {
    ConfigFixture Site(9);
    Site.Fleet.Blocked = blockVm(ConfigFixture::vmName(8), Store, !Store);
    Site.apply(0, 1, "edit-a", rulesWithAccount("ward-2"));
    Site.run(InForceDeadline);
    CHECK(Site.revisionInForce(8) == Revision(2));
    CHECK(Site.isCurrent(8));
  }
}

TEST(Config, StoreOutageStopsOnlyTheIsolatedVm) {
  ConfigFixture Site(9);
  Site.Fleet.StoreDown = true;
  Site.Fleet.Blocked = blockVm(ConfigFixture::vmName(8), true, true);
  Site.run(seconds(3600));
  for (int At = 0; At < 8; ++At)
    CHECK(Site.isCurrent(At));
  CHECK(!Site.isCurrent(8));
  auto Call = Site.apply(0, 1, "edit-a", rulesWithAccount("ward-2"));
  Site.run(seconds(30));
  CHECK(Site.hasAnswer(Call, "unavailable"));
}

TEST(Config, FleetRestartedWhileTheStoreIsDownServesNothing) {
  ConfigFixture Site(3);
  Site.Fleet.StoreDown = true;
  for (int At = 0; At < 3; ++At)
    Site.Fleet.killVm(ConfigFixture::vmName(At));
  for (int At = 0; At < 3; ++At)
    Site.Fleet.startVm(
        smallSiteVm(ConfigFixture::vmName(At).value(), "hoan-kiem"));
  Site.run(seconds(60));
  for (int At = 0; At < 3; ++At)
    CHECK(Site.revisionInForce(At) == Revision(0));
  Site.Fleet.StoreDown = false;
  Site.run(seconds(15));
  for (int At = 0; At < 3; ++At)
    CHECK(Site.revisionInForce(At) == Revision(1));
}

TEST(Config, NewVmFetchesTheRulesFromPeersWhileTheStoreIsDown) {
  ConfigFixture Site(9);
  Site.Fleet.StoreDown = true;
  Site.Fleet.killVm(ConfigFixture::vmName(8));
  Site.run(seconds(1));
  Site.Fleet.startVm(
      smallSiteVm(ConfigFixture::vmName(8).value(), "hoan-kiem"));
  Site.run(seconds(15));
  CHECK(Site.revisionInForce(8) == Revision(1));
  CHECK(Site.isCurrent(8));
}

TEST(Config, RefusedTextNamesTheLineAndChangesNothing) {
  ConfigFixture Site(3);
  auto Call = Site.apply(0, 1, "edit-a",
                         smallSiteRules() + "account ward-2 rate=5 burst=5\n");
  Site.run(seconds(1));
  CHECK(Site.hasAnswer(Call, "refused"));
  CHECK(Site.Answers[Call].Body.find("line 12: no comment") !=
        std::string::npos);
  CHECK(Site.revisionInForce(0) == Revision(1));
}

TEST(Config, AnEditIsDatedByItsFirstWrite) {
  // Between a write whose answer was lost and its retry, another edit may have
  // moved the head again.
  NodeContext Context(smallSiteVm("vm-0", "hoan-kiem"), 1);
  Actions Out;
  RulesHead Head;
  std::string Text;
  std::optional<Instant> Dated;
  RulesEditor Editor(Context, {[&]() -> const RulesHead & { return Head; },
                               [&]() -> const std::string & { return Text; },
                               [&](const RulesHead &, const std::string &,
                                   Instant WriteTime) { Dated = WriteTime; }});
  const Instant FirstWrite(seconds(100));
  Context.beginStep(FirstWrite, Out);
  Editor.apply(
      {OperatorCallId(1),
       "apply",
       {{"text", smallSiteRules()}, {"expect", "0"}, {"edit-id", "e"}}});
  unsigned Writes = 0;
  while (!Out.empty()) {
    Action Next = std::move(Out.front());
    Out.erase(Out.begin());
    const auto *Call = std::get_if<CallPlatform>(&Next);
    if (Call == nullptr)
      continue;
    PlatformAnswer Answer = RowsRead{};
    if (std::holds_alternative<PutObject>(Call->Request))
      Answer = ObjectStored{};
    if (std::holds_alternative<ConditionalWrite>(Call->Request) && ++Writes > 1)
      Answer = WriteDecided{true, true};
    else if (Writes == 1)
      Answer = PlatformFailed{true, "no answer"};
    Context.onPlatformAnswered({Call->Call, Answer});
    if (Writes == 1) {
      Context.beginStep(FirstWrite + seconds(1), Out);
      Context.timers().runDue(FirstWrite + seconds(1));
    }
  }
  LONGS_EQUAL(2, Writes);
  CHECK_TRUE(Dated == FirstWrite);
}

TEST(Config, LineDiffNumbersLinesOfBothTexts) {
  STRCMP_EQUAL("-2: b\n+2: c\n+4: e\n",
               lineDiff("a\nb\nd\n", "a\nc\nd\ne\n").c_str());
  STRCMP_EQUAL("", lineDiff("a\n", "a\n").c_str());
}
