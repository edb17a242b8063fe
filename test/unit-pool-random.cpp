#include "standin/site/PoolCallers.h"
#include "standin/site/PoolFleet.h"

#include <CppUTest/TestHarness.h>

#include <cstdio>
#include <cstdlib>

using namespace bergamotstage;
using namespace bergamotstage::standin;

namespace {

constexpr unsigned Groups = 2;
constexpr unsigned Accounts = 4;

/// @brief A fleet under random faults, with callers that check its guarantees.
class FaultRun {
public:
  /// @param Policies lines of a rules text
  FaultRun(std::uint64_t Seed, double Rate, const char *Policies = "")
      : m_Config(config(Rate, *Policies != '\0')), m_Fleet(settings(Seed)),
        m_Callers(m_Fleet, m_Config) {
    setPolicies(Policies);
    // Prints the log of a failing test: POOL_LOG=1 unit-pool-random -n ...
    if (std::getenv("POOL_LOG") != nullptr)
      m_Fleet.onLog(printLine);
    m_Fleet.configure(m_Config);
    m_Fleet.start();
    m_Fleet.run(seconds(6));
    const char *const RoutePrefixes[] = {"primary-", "bounded-", "own-"};
    unsigned Number = 0;
    for (const VmId &Vm : m_Fleet.vms())
      for (unsigned Copy = 0; Copy < 12; ++Copy, ++Number)
        m_Callers.add(
            Vm, RoutePrefixes[Number % 3] + std::to_string(Number % Groups),
            Number % Accounts, milliseconds(60));
  }

  void run(Duration Span, bool WithFaults) {
    Instant End = m_Fleet.now() + Span;
    while (m_Fleet.now() < End) {
      if (WithFaults)
        injectFault();
      m_Fleet.run(milliseconds(400));
    }
  }

  void heal() {
    m_Fleet.setStoreDown(false);
    m_Fleet.setLostWriteAnswerRatio(0);
    m_Fleet.setLostReplyRatio(0);
    m_Fleet.setLag(milliseconds(10));
    for (unsigned Group = 0; Group < Groups; ++Group)
      for (const TargetId &Target : m_Fleet.group(Group).targets()) {
        m_Fleet.setUnresponsive(Target, false);
        for (const VmId &Vm : m_Fleet.vms())
          m_Fleet.cutTarget(Vm, Target, false);
      }
    for (const VmId &Left : m_Fleet.vms())
      for (const VmId &Right : m_Fleet.vms())
        m_Fleet.cutPeers(Left, Right, false);
  }

  void setPolicies(const char *Lines) {
    auto Policies = pooling::SitePolicies::parse(Lines);
    CHECK_TRUE(Policies.has_value());
    m_Fleet.setPolicies(*Policies);
  }

  /// @brief Changes the configuration at random every 400 ms: routes move to
  /// other groups, keys are withdrawn and come back.
  void runWithChanges(Duration Span, bool WithFaults) {
    Instant End = m_Fleet.now() + Span;
    while (m_Fleet.now() < End) {
      if (WithFaults)
        injectFault();
      // VMs beside faults may learn of a change late.
      changeConfig(!WithFaults);
      m_Fleet.run(milliseconds(400));
    }
  }

  PoolFleet &fleet() { return m_Fleet; }
  const PoolCallers<PoolFleet> &callers() const { return m_Callers; }

private:
  static void printLine(Instant Now, const VmId &Vm, const WriteLog &Entry) {
    std::printf("%.3f %s %s", toSeconds(Now.time_since_epoch()),
                Vm.value().c_str(), Entry.EventName.c_str());
    for (const auto &[Name, Value] : Entry.Pairs)
      std::printf(" %s=%s", Name.c_str(), Value.c_str());
    std::printf("\n");
  }

  static pooling::SiteConfig config(double Rate, bool HasPriorities) {
    pooling::SiteConfig Config = poolConfig(Groups, Accounts, Rate);
    unsigned Number = 0;
    for (auto &[Name, Route] : Config.Routes)
      Route.Priority = HasPriorities ? Number++ / Groups : 0;
    return Config;
  }

  static PoolFleet::Settings settings(std::uint64_t Seed) {
    PoolFleet::Settings Options;
    Options.Seed = Seed;
    Options.Vms = 6;
    Options.Groups = Groups;
    return Options;
  }

  void changeConfig(bool JudgeKeys) {
    unsigned Account = randomBelow(Accounts);
    std::string Key = "key-" + std::to_string(Account);
    if (randomBelow(4) > 0) {
      pooling::RouteConfig &Route =
          m_Config.Routes.at("own-" + std::to_string(randomBelow(Groups)));
      Route.Group = DatabaseId("group-" + std::to_string(randomBelow(Groups)));
    } else if (m_Config.Keys.erase(Key) == 0) {
      m_Config.Keys[Key] = AccountId("account-" + std::to_string(Account));
      m_Callers.setKeyWithdrawn(Account, false);
    } else if (JudgeKeys) {
      m_Callers.setKeyWithdrawn(Account, true);
    }
    ++m_Config.Version;
    m_Fleet.configure(m_Config);
  }

  unsigned randomBelow(unsigned Limit) {
    return std::uniform_int_distribution<unsigned>(0,
                                                   Limit - 1)(m_Fleet.random());
  }

  VmId anyVm() {
    auto Names = m_Fleet.vms();
    return Names[randomBelow(static_cast<unsigned>(Names.size()))];
  }

  TargetId anyTarget() {
    auto Names = m_Fleet.group(randomBelow(Groups)).targets();
    return Names[randomBelow(static_cast<unsigned>(Names.size()))];
  }

  void injectFault() {
    switch (randomBelow(14)) {
    case 0: {
      VmId Vm = anyVm();
      m_Fleet.kill(Vm, milliseconds(300 + randomBelow(2500)));
      m_Callers.onVmLost(Vm);
      break;
    }
    case 1:
      m_Fleet.freeze(anyVm(), milliseconds(200 + randomBelow(4000)));
      break;
    case 2: {
      VmId Left = anyVm();
      VmId Right = anyVm();
      if (Left == Right)
        break;
      m_Fleet.cutPeers(Left, Right, true);
      m_Fleet.after(milliseconds(500 + randomBelow(4000)), [this, Left, Right] {
        m_Fleet.cutPeers(Left, Right, false);
      });
      break;
    }
    case 3: {
      VmId Vm = anyVm();
      TargetId Target = anyTarget();
      m_Fleet.cutTarget(Vm, Target, true);
      m_Fleet.after(milliseconds(500 + randomBelow(4000)), [this, Vm, Target] {
        m_Fleet.cutTarget(Vm, Target, false);
      });
      break;
    }
    case 4: {
      TargetId Target = anyTarget();
      m_Fleet.setUnresponsive(Target, true);
      m_Fleet.after(milliseconds(1000 + randomBelow(5000)),
                    [this, Target] { m_Fleet.setUnresponsive(Target, false); });
      break;
    }
    case 5:
      m_Fleet.setStoreDown(true);
      m_Fleet.after(milliseconds(500 + randomBelow(6000)),
                    [this] { m_Fleet.setStoreDown(false); });
      break;
    case 6:
      m_Fleet.setLostWriteAnswerRatio(0.1 * randomBelow(6));
      break;
    case 7:
      m_Fleet.setLostReplyRatio(0.01 * randomBelow(5));
      break;
    case 8:
      m_Fleet.setLag(milliseconds(5 + randomBelow(2000)));
      break;
    case 9: {
      TargetId Target = m_Fleet.group(randomBelow(Groups)).primary();
      m_Fleet.drain(Target, true);
      m_Fleet.after(seconds(4),
                    [this, Target] { m_Fleet.drain(Target, false); });
      break;
    }
    case 10: {
      m_Fleet.terminate(anyVm());
      break;
    }
    default:
      break;
    }
  }

  pooling::SiteConfig m_Config;
  PoolFleet m_Fleet;
  PoolCallers<PoolFleet> m_Callers;
};

/// @brief Reads a number from the environment, for longer runs by hand.
unsigned fromEnvironment(const char *Name, unsigned Default) {
  const char *Text = std::getenv(Name);
  return Text == nullptr
             ? Default
             : static_cast<unsigned>(std::strtoul(Text, nullptr, 10));
}

constexpr const char *HardLoadPolicies =
    "policy queue urgency # Ward 1 office\n"
    "policy rate priority # Ward 1 office\n"
    "policy reads least-wait # Ward 1 office\n";

void check(const FaultRun &Run, std::uint64_t Seed) {
  if (!Run.callers().violations().empty() || Run.callers().maxRateExcess() > 0)
    std::printf("seed %llu: rate excess %f\n",
                static_cast<unsigned long long>(Seed),
                Run.callers().maxRateExcess());
  for (const std::string &Violation : Run.callers().violations())
    std::printf("seed %llu: %s\n", static_cast<unsigned long long>(Seed),
                Violation.c_str());
  CHECK_TRUE(Run.callers().violations().empty());
  CHECK_TRUE(Run.callers().maxRateExcess() <= 0);
}

} // namespace

TEST_GROUP(PoolRandom){};

TEST(PoolRandom, ServesWithoutFaults) {
  FaultRun Run(7, 400);
  Run.run(seconds(20), false);
  check(Run, 7);
  const auto &Counts = Run.callers().counts();
  CHECK_TRUE(Counts.Served > 2000);
  CHECK_TRUE(Counts.Refused * 100 < Counts.Operations);
  CHECK_TRUE(Counts.ReplicaReads > Counts.PrimaryReads);
}

TEST(PoolRandom, KeepsItsGuaranteesUnderFaults) {
  for (std::uint64_t Seed = 1; Seed <= 12; ++Seed) {
    FaultRun Run(Seed, 60);
    Run.run(seconds(40), true);
    Run.heal();
    Run.run(seconds(15), false);
    check(Run, Seed);
  }
}

TEST(PoolRandom, RecoversAfterFaults) {
  for (std::uint64_t Seed = 101; Seed <= 104; ++Seed) {
    FaultRun Run(Seed, 400);
    Run.run(seconds(25), true);
    Run.heal();
    Run.run(seconds(15), false);
    unsigned Before = Run.callers().counts().Served;
    unsigned OperationsBefore = Run.callers().counts().Operations;
    Run.run(seconds(5), false);
    unsigned Served = Run.callers().counts().Served - Before;
    unsigned Operations = Run.callers().counts().Operations - OperationsBefore;
    check(Run, Seed);
    if (Served * 10 < Operations * 9)
      std::printf("seed %llu: %u of %u served\n",
                  static_cast<unsigned long long>(Seed), Served, Operations);
    CHECK_TRUE(Operations > 200);
    CHECK_TRUE(Served * 10 >= Operations * 9);
  }
}

// Guards against sessions that forget a commit when their route moves, and
// against statements that run with a withdrawn key.
TEST(PoolRandom, KeepsItsGuaranteesWhileConfigurationsChange) {
  unsigned First = fromEnvironment("POOL_FIRST_SEED", 4001);
  unsigned Seeds = fromEnvironment("POOL_SEEDS", 2);
  for (std::uint64_t Seed = First; Seed < First + Seeds; ++Seed) {
    FaultRun Run(Seed, 400);
    Run.fleet().setLag(milliseconds(1200));
    Run.runWithChanges(seconds(30), false);
    check(Run, Seed);
    CHECK_TRUE(Run.callers().counts().Served > 1000);
    Run.runWithChanges(seconds(30), true);
    Run.heal();
    check(Run, Seed);
  }
}

// Guards against operations that run twice, are reported as not run although
// they did, or exceed an account's contract, with the policies for hard load.
// POOL_FIRST_SEED and POOL_SEEDS select other seeds.
TEST(PoolRandom, KeepsItsGuaranteesWithPoliciesForHardLoad) {
  unsigned First = fromEnvironment("POOL_FIRST_SEED", 1001);
  unsigned Seeds = fromEnvironment("POOL_SEEDS", 4);
  for (std::uint64_t Seed = First; Seed < First + Seeds; ++Seed) {
    FaultRun Run(Seed, Seed % 2 == 0 ? 60 : 15, HardLoadPolicies);
    Run.run(seconds(40), true);
    Run.heal();
    Run.run(seconds(15), false);
    check(Run, Seed);
  }
}

// Guards against operations and loans that are lost when the policies change
// while they wait.
TEST(PoolRandom, KeepsItsGuaranteesWhilePoliciesChange) {
  unsigned First = fromEnvironment("POOL_FIRST_SEED", 2001);
  unsigned Seeds = fromEnvironment("POOL_SEEDS", 4);
  for (std::uint64_t Seed = First; Seed < First + Seeds; ++Seed) {
    FaultRun Run(Seed, 15, HardLoadPolicies);
    for (int Round = 0; Round < 8; ++Round) {
      Run.setPolicies(Round % 2 == 0 ? "" : HardLoadPolicies);
      Run.run(seconds(4), true);
    }
    Run.heal();
    Run.run(seconds(15), false);
    check(Run, Seed);
  }
}

// Guards against a fleet that stays overloaded after faults: estimates, ejected
// targets and shares of an account must recover.
TEST(PoolRandom, RecoversWithPoliciesForHardLoad) {
  unsigned First = fromEnvironment("POOL_FIRST_SEED", 3001);
  unsigned Seeds = fromEnvironment("POOL_SEEDS", 3);
  for (std::uint64_t Seed = First; Seed < First + Seeds; ++Seed) {
    FaultRun Run(Seed, 400, HardLoadPolicies);
    Run.run(seconds(25), true);
    Run.heal();
    Run.run(seconds(15), false);
    unsigned Before = Run.callers().counts().Served;
    unsigned OperationsBefore = Run.callers().counts().Operations;
    Run.run(seconds(5), false);
    unsigned Served = Run.callers().counts().Served - Before;
    unsigned Operations = Run.callers().counts().Operations - OperationsBefore;
    check(Run, Seed);
    if (Served * 10 < Operations * 9)
      std::printf("seed %llu: %u of %u served\n",
                  static_cast<unsigned long long>(Seed), Served, Operations);
    CHECK_TRUE(Operations > 200);
    CHECK_TRUE(Served * 10 >= Operations * 9);
  }
}
