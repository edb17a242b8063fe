#include "PriorityShares.h"
#include "ProcessFleet.h"

#include "standin/site/PoolCallers.h"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <filesystem>
#include <iterator>
#include <random>
#include <string>
#include <vector>

namespace {

using namespace bergamotstage;
using soak::FaultProxy;
using soak::ProcessFleet;
using soak::StoreStandIn;

constexpr unsigned Accounts = 4;
constexpr Duration WarmUpTime = seconds(4);
constexpr Duration FaultInterval = milliseconds(350);
constexpr Duration RecoveryTime = seconds(12);
constexpr Duration FinalCheckTime = seconds(4);
/// Smallest share of operations that must be served after recovery.
constexpr double MinServedShare = 0.9;
/// Spans of a run with --evacuate.
constexpr Duration EvacuationTime = seconds(10);
constexpr Duration SpanAround = seconds(6);
/// An account whose callers ask for about four times its rate for a while. Its
/// routes differ in their priority only, and each VM has one caller of each.
constexpr unsigned Overloaded = Accounts;
constexpr double OverloadedRatePerVm = 5;
constexpr Duration UsualPause = milliseconds(900);
constexpr Duration OverloadPause = milliseconds(15);
const char *const OverloadedRoutes[] = {"urgent", "usual", "late"};
const char *const NewPolicies[] = {"queue urgency", "rate priority",
                                   "reads least-wait"};
const char *const OldPolicies[] = {"queue fair", "rate loans",
                                   "reads earliest-finish"};
enum class PolicyMix : std::uint8_t { Old, New, Mixed };

struct SoakOptions {
  std::string Program;
  std::string Folder = "/tmp/bergamotstage-soak";
  std::uint64_t FirstSeed = 1;
  unsigned Seeds = 1;
  unsigned Seconds = 20;
  unsigned Vms = 4;
  unsigned Groups = 2;
  unsigned Callers = 32;
  double Rate = 300;
  bool Evacuate = false;
};

pooling::SiteConfig soakConfig(const SoakOptions &Options) {
  pooling::SiteConfig Config =
      standin::poolConfig(Options.Groups, Accounts + 1, Options.Rate);
  for (auto &[Name, Route] : Config.Routes) {
    if (Route.Reads == pooling::Consistency::ReadYourWrites)
      Route.Priority = 1;
    if (Route.Reads == pooling::Consistency::Bounded)
      Route.Priority = 2;
  }
  for (unsigned Priority = 0; Priority < soak::PriorityShares::Priorities;
       ++Priority) {
    std::string Name = OverloadedRoutes[Priority];
    pooling::RouteConfig &Route = Config.Routes[Name];
    Route = Config.Routes.at("bounded-0");
    Route.Name = RouteId(Name);
    Route.Priority = Priority;
  }
  auto &Account =
      Config.Accounts.at(AccountId("account-" + std::to_string(Overloaded)));
  Account.Rate = Account.Burst = OverloadedRatePerVm * Options.Vms;
  return Config;
}

PolicyMix policyMix(std::uint64_t Seed) {
  return std::array{PolicyMix::Old, PolicyMix::New, PolicyMix::Mixed}[Seed % 3];
}

/// @brief Returns the rules of each VM. With a mix, the VMs differ, as while an
/// operator changes one VM after the other.
std::vector<std::string> rulesOfVms(std::uint64_t Seed, unsigned Vms) {
  std::mt19937_64 Random(Seed);
  std::vector<std::string> Rules(Vms);
  for (std::string &Text : Rules)
    for (std::size_t Kind = 0; Kind < std::size(NewPolicies); ++Kind) {
      PolicyMix Mix = policyMix(Seed);
      bool New =
          Mix == PolicyMix::Mixed ? Random() % 2 == 0 : Mix == PolicyMix::New;
      Text += std::string("policy ") +
              (New ? NewPolicies[Kind] : OldPolicies[Kind]) + " # soak\n";
    }
  return Rules;
}

/// @brief Runs one seed: overlapping faults, recovery, final check.
class SoakRun {
public:
  SoakRun(const SoakOptions &Options, std::uint64_t Seed)
      : m_Options(Options), m_Config(soakConfig(Options)),
        m_Mix(policyMix(Seed)), m_Fleet(fleetSettings(Options, Seed), m_Config),
        m_Callers(m_Fleet, m_Config) {
    m_Callers.onOperation([this](const std::string &Route, bool Served) {
      const auto *Found = std::find(std::begin(OverloadedRoutes),
                                    std::end(OverloadedRoutes), Route);
      if (m_IsOverloaded && Found != std::end(OverloadedRoutes))
        m_Shares.count(static_cast<unsigned>(Found - OverloadedRoutes), Served);
    });
  }

  bool runSeed(std::uint64_t Seed) {
    m_Fleet.start();
    m_Fleet.run(WarmUpTime);
    addCallers();
    if (m_Options.Evacuate)
      return runEvacuation(Seed);
    overload(seconds(m_Options.Seconds));
    for (Instant End = m_Fleet.now() + seconds(m_Options.Seconds);
         m_Fleet.now() < End;) {
      injectFault();
      m_Fleet.run(FaultInterval);
    }
    m_Fleet.setLag(milliseconds(10));
    m_Fleet.run(RecoveryTime);
    auto Before = m_Callers.counts();
    m_Fleet.run(FinalCheckTime);
    return report(Seed, Before);
  }

private:
  static ProcessFleet::Settings fleetSettings(const SoakOptions &Options,
                                              std::uint64_t Seed) {
    ProcessFleet::Settings Result;
    Result.Program = Options.Program;
    Result.Folder = Options.Folder + "/seed-" + std::to_string(Seed);
    Result.Seed = Seed;
    Result.Vms = Options.Vms;
    Result.Groups = Options.Groups;
    Result.Rules = rulesOfVms(Seed, Options.Vms);
    Result.SpreadTargets = Options.Evacuate || Seed % 2 == 0;
    std::filesystem::remove_all(Result.Folder);
    std::filesystem::create_directories(Result.Folder);
    return Result;
  }

  void addCallers() {
    const char *const Kinds[] = {"primary-", "bounded-", "own-"};
    auto Vms = m_Fleet.vms();
    for (unsigned Number = 0; Number < m_Options.Callers; ++Number)
      m_Callers.add(Vms[Number % Vms.size()],
                    Kinds[Number % 3] +
                        std::to_string(Number % m_Options.Groups),
                    Number % Accounts, milliseconds(80));
    for (const VmId &Vm : Vms)
      for (const char *Route : OverloadedRoutes)
        m_Callers.add(Vm, Route, Overloaded, UsualPause);
  }

  /// @brief Puts one account far over its rate for two thirds of a span.
  void overload(Duration Span) {
    m_Fleet.after(Span / 6, [this] {
      m_IsOverloaded = true;
      m_Callers.setPause(Overloaded, OverloadPause);
    });
    m_Fleet.after(Span * 5 / 6, [this] {
      m_IsOverloaded = false;
      m_Callers.setPause(Overloaded, UsualPause);
    });
  }

  void evacuate(const DataCentreId &DataCentre, Duration Span) {
    const char *const Bodies[] = {"", "{}", "[1,", R"({"zone":7})"};
    m_Fleet.evacuate(DataCentre, Bodies[pick(4)], Span);
  }

  /// @brief Evacuates the data centre of a primary, without other faults.
  bool runEvacuation(std::uint64_t Seed) {
    DataCentreId DataCentre = m_Fleet.dataCentreOf(m_Fleet.group(0).primary());
    std::string Shares = runShare(SpanAround) + " before, ";
    evacuate(DataCentre, EvacuationTime + milliseconds(100));
    Shares += runShare(EvacuationTime) + " during, ";
    auto Last = m_Fleet.evacuations().lastStatement(DataCentre);
    Shares += runShare(SpanAround) + " after";
    std::printf("evacuation of %s: last statement there after %.0f ms; served "
                "%s\n",
                DataCentre.value().c_str(), Last ? toMilliseconds(*Last) : 0,
                Shares.c_str());
    auto Before = m_Callers.counts();
    m_Fleet.run(FinalCheckTime);
    return report(Seed, Before);
  }

  /// @brief Runs for a span and returns the share of operations served in it.
  std::string runShare(Duration Span) {
    auto Before = m_Callers.counts();
    m_Fleet.run(Span);
    unsigned Begun = m_Callers.counts().Operations - Before.Operations;
    unsigned Served = m_Callers.counts().Served - Before.Served;
    std::array<char, 16> Text{};
    std::snprintf(Text.data(), Text.size(), "%.4f",
                  Begun == 0 ? 0.0 : static_cast<double>(Served) / Begun);
    return Text.data();
  }

  unsigned pick(unsigned Limit) {
    return std::uniform_int_distribution<unsigned>(0,
                                                   Limit - 1)(m_Fleet.random());
  }
  unsigned anyVm() { return pick(m_Options.Vms); }
  TargetId anyTarget() {
    auto Targets = m_Fleet.group(pick(m_Options.Groups)).targets();
    return Targets[pick(static_cast<unsigned>(Targets.size()))];
  }
  Duration randomSpan(unsigned Minimum, unsigned Maximum) {
    return milliseconds(Minimum + pick(Maximum - Minimum));
  }

  void injectFault() {
    switch (pick(15)) {
    case 0:
      return m_Fleet.kill(anyVm(), randomSpan(200, 2500));
    case 1:
      return m_Fleet.freeze(anyVm(), randomSpan(200, 3500));
    case 2:
      return m_Fleet.terminate(anyVm());
    case 3:
      return m_Fleet.sendHangup(anyVm());
    case 4:
      return m_Fleet.setLinkFault(anyVm(), anyTarget(), FaultProxy::Mode::Drop,
                                  randomSpan(500, 4000));
    case 5:
      return m_Fleet.setLinkFault(anyVm(), anyTarget(),
                                  FaultProxy::Mode::OneWay,
                                  randomSpan(500, 4000));
    case 6:
      return m_Fleet.setLinkFault(anyVm(), anyTarget(), FaultProxy::Mode::Delay,
                                  randomSpan(500, 4000));
    case 7:
      return m_Fleet.setLinkFault(anyVm(), anyTarget(),
                                  FaultProxy::Mode::Refuse,
                                  randomSpan(500, 3000));
    case 8:
      return m_Fleet.resetLinks(anyVm());
    case 9: {
      const StoreStandIn::Mode Modes[] = {StoreStandIn::Mode::Busy,
                                          StoreStandIn::Mode::Silent,
                                          StoreStandIn::Mode::LoseReplies};
      return m_Fleet.setStoreFault(anyVm(), Modes[pick(3)],
                                   randomSpan(500, 6000));
    }
    case 10: {
      Duration Span = randomSpan(500, 5000);
      for (unsigned Vm = 0; Vm < m_Options.Vms; ++Vm)
        m_Fleet.setStoreFault(Vm, StoreStandIn::Mode::Silent, Span);
      return;
    }
    case 11:
      return m_Fleet.makeUnresponsive(anyTarget(), randomSpan(1500, 5000));
    case 12:
      return m_Fleet.loseReplies(anyTarget(), 0.02, randomSpan(500, 3000));
    case 13:
      return evacuate(pick(8) == 0 ? DataCentreId("nowhere")
                                   : ProcessFleet::dataCentres().at(pick(3)),
                      randomSpan(200, 9000));
    default:
      if (pick(2) == 0)
        return m_Fleet.setLag(randomSpan(5, 1500));
      return m_Fleet.drainTarget(
          m_Fleet.group(pick(m_Options.Groups)).primary(), seconds(4));
    }
  }

  bool report(std::uint64_t Seed,
              const standin::PoolCallers<ProcessFleet>::Counts &Before) {
    const auto &Counts = m_Callers.counts();
    unsigned Sent = Counts.Operations - Before.Operations;
    unsigned Served = Counts.Served - Before.Served;
    bool Recovered = Sent > 0 && Served >= Sent * MinServedShare;
    std::vector<std::string> Broken = violations();
    std::printf("seed %llu: %s; %u operations, %u served, %u refused, %u "
                "unknown, %u commits, %llu promotions; afterwards %u of %u; "
                "over its rate (%s policies): %s\n",
                static_cast<unsigned long long>(Seed),
                Broken.empty() && Recovered ? "kept" : "BROKEN",
                Counts.Operations, Counts.Served, Counts.Refused,
                Counts.Unknown, Counts.Commits,
                static_cast<unsigned long long>(m_Fleet.promotions()), Served,
                Sent, std::array{"old", "new", "mixed"}[std::size_t(m_Mix)],
                m_Shares.text().c_str());
    for (const std::string &Violation : Broken)
      std::printf("  %s\n", Violation.c_str());
    std::fflush(stdout);
    return Broken.empty() && Recovered;
  }

  std::vector<std::string> violations() const {
    std::vector<std::string> All = m_Callers.violations();
    auto Add = [&All](const std::vector<std::string> &Others) {
      All.insert(All.end(), Others.begin(), Others.end());
    };
    Add(m_Fleet.failures());
    Add(m_Fleet.evacuations().violations());
    if (m_Mix == PolicyMix::New)
      Add(m_Shares.violations());
    if (m_Callers.maxRateExcess() > 0)
      All.push_back("an account ran " +
                    std::to_string(std::lround(m_Callers.maxRateExcess())) +
                    " operations too many in 5 s");
    return All;
  }

  SoakOptions m_Options;
  pooling::SiteConfig m_Config;
  PolicyMix m_Mix;
  bool m_IsOverloaded = false;
  soak::PriorityShares m_Shares;
  ProcessFleet m_Fleet;
  standin::PoolCallers<ProcessFleet> m_Callers;
};

} // namespace

int main(int Argc, char **Argv) {
  SoakOptions Options;
  CLI::App App{"Soak test: runs the program on loopback under faults."};
  App.add_option("--program", Options.Program, "Path of the program.")
      ->required();
  App.add_option("--folder", Options.Folder, "Folder for settings and logs.");
  App.add_option("--seed", Options.FirstSeed, "The first seed.");
  App.add_option("--seeds", Options.Seeds, "Number of seeds.");
  App.add_option("--seconds", Options.Seconds, "Seconds of fault injection.");
  App.add_option("--vms", Options.Vms, "VM processes.");
  App.add_option("--groups", Options.Groups, "Groups of three targets.");
  App.add_option("--callers", Options.Callers, "Caller connections.");
  App.add_option("--rate", Options.Rate, "Operations per second and account.");
  App.add_flag("--evacuate", Options.Evacuate,
               "Only evacuate a data centre, and print the shares served.");
  CLI11_PARSE(App, Argc, Argv);
  unsigned Broken = 0;
  for (unsigned Index = 0; Index < Options.Seeds; ++Index) {
    std::uint64_t Seed = Options.FirstSeed + Index;
    SoakRun Soak(Options, Seed);
    Broken += Soak.runSeed(Seed) ? 0 : 1;
  }
  std::printf("%u seeds, %u broken\n", Options.Seeds, Broken);
  return Broken == 0 ? 0 : 1;
}
