#include "bergamotstage/metrics/Prometheus.h"
#include "bergamotstage/pooling/SitePolicies.h"
#include "standin/site/PoolCallers.h"
#include "standin/site/PoolFleet.h"

#include <CppUTest/TestHarness.h>

#include <set>
#include <string>

using namespace bergamotstage;
using namespace bergamotstage::pooling;

namespace {

SitePolicies parsed(const char *Text) {
  auto Policies = SitePolicies::parse(Text);
  CHECK_TRUE(Policies.has_value());
  return *Policies;
}

std::string faultOf(const char *Text) {
  auto Policies = SitePolicies::parse(Text);
  CHECK_FALSE(Policies.has_value());
  return std::to_string(Policies.error().front().Line) + ": " +
         Policies.error().front().Reason;
}

} // namespace

TEST_GROUP(SitePolicies){};

TEST(SitePolicies, AppliesDefaultsToEmptyRules) {
  SitePolicies Policies = parsed("");
  CHECK_TRUE(Policies.readRule(1)->Type == ReadRule::Kind::EarliestFinish);
  CHECK_EQUAL(0U, Policies.readRule(1)->Source.Line);
  CHECK_TRUE(Policies.rateSharing() == ratelimit::RateSharing::Loans);
  CHECK_TRUE(Policies.queueOrder() == admission::QueueOrder::Fair);
  CHECK_FALSE(Policies.adaptsPace());
}

TEST(SitePolicies, ReadsPoliciesWithTheirAuthor) {
  SitePolicies Policies =
      parsed("policy reads earliest-finish primary-cost=30ms # ops\n"
             "policy queue fifo # ops\n"
             "policy rate split # ops\n"
             "policy pace adaptive # ops\n");
  CHECK_TRUE(Policies.adaptsPace());
  CHECK_TRUE(Policies.readRule(1)->PrimaryCost == milliseconds(30));
  CHECK_EQUAL("ops", Policies.readRule(1)->Source.Author);
  CHECK_TRUE(Policies.rateSharing() == ratelimit::RateSharing::Split);
  CHECK_TRUE(Policies.queueOrder() == admission::QueueOrder::Fifo);
}

TEST(SitePolicies, AssignsAShareOfSessionsToAnotherPolicy) {
  SitePolicies Policies = parsed("policy reads earliest-finish # ops\n"
                                 "share reads 25% primary-only # ops\n");
  unsigned Other = 0;
  for (std::uint64_t Session = 0; Session < 4000; ++Session) {
    auto Rule = Policies.readRule(Session);
    bool Same = Rule->Type == Policies.readRule(Session)->Type;
    CHECK_TRUE(Same);
    Other += Rule->Type == ReadRule::Kind::PrimaryOnly ? 1 : 0;
  }
  CHECK_TRUE(Other > 900 && Other < 1100);
}

TEST(SitePolicies, RejectsRulesThatThePlatformDecides) {
  CHECK_EQUAL("1: policy 'failover' has no effect here; the platform decides "
              "it",
              faultOf("policy failover fixed # ops\n"));
  CHECK_EQUAL("2: 'database' comes from the platform's configuration",
              faultOf("policy queue fair # ops\ndatabase g # ops\n"));
  CHECK_EQUAL("1: parameter 'wait' has no effect here",
              faultOf("policy reads nearest-covered wait=20ms # ops\n"));
}

TEST(SitePolicies, AppliesChangedPoliciesToOpenSessions) {
  standin::PoolFleet::Settings Chosen;
  Chosen.Vms = 1;
  standin::PoolFleet Fleet(Chosen);
  SiteConfig Config = standin::poolConfig(1, 1, 1000);
  std::set<bool> OnPrimary;
  Fleet.group(0).onExecution([&](const standin::ModelGroup::Execution &Run) {
    OnPrimary.insert(Run.Target == Fleet.group(0).primary());
  });
  Fleet.onAnswer([](const VmId &, CallerId, const CallerReply &) {});
  Fleet.configure(Config);
  Fleet.start();
  Fleet.run(seconds(6));
  VmId Vm("vm-0");
  CallerId Caller = Fleet.connect(Vm, "bounded-0", "key-0");
  auto ReadSome = [&] {
    OnPrimary.clear();
    for (unsigned Number = 0; Number < 20; ++Number) {
      Statement Stmt;
      Stmt.Kind = Verb::Read;
      Stmt.RequestId = "r";
      Fleet.send(Vm, Caller, Stmt);
      Fleet.run(milliseconds(100));
    }
  };
  ReadSome();
  CHECK_TRUE(OnPrimary == std::set<bool>{false});
  Fleet.node(Vm)->onPoliciesRead(Fleet.now(),
                                 parsed("policy reads primary-only # ops\n"));
  ReadSome();
  CHECK_TRUE(OnPrimary == std::set<bool>{true});
  Fleet.node(Vm)->onPoliciesRead(
      Fleet.now(), parsed("policy reads earliest-finish # ops\n"
                          "share reads 100% random-replica # ops\n"));
  ReadSome();
  CHECK_TRUE(OnPrimary == std::set<bool>{false});
  std::string Text = metrics::renderPrometheus(Fleet.node(Vm)->metrics());
  CHECK_TRUE(Text.find("arm=\"random-replica\",route=\"bounded-0\"") !=
             std::string::npos);
}
