#include "bergamotstage/ratelimit/RatePlan.h"
#include "bergamotstage/ratelimit/RateShare.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

using namespace bergamotstage;
using namespace bergamotstage::ratelimit;

namespace {

const AccountId Busy("busy");
constexpr double Rate = 60;
constexpr double Burst = 40;
constexpr Duration Lease = seconds(4);

/// @brief VMs whose messages are lost, delayed and repeated, and which are cut
/// off, frozen, restarted and given other policies.
class FaultyFleet {
public:
  FaultyFleet(std::uint64_t Seed, unsigned Vms) : m_Random(Seed) {
    std::vector<VmId> Names;
    for (unsigned Index = 0; Index < Vms; ++Index)
      Names.emplace_back("vm-" + std::to_string(100 + Index));
    m_Plan = std::make_shared<const RatePlan>(RatePlan::uniform(Names));
    for (const VmId &Name : Names) {
      m_Names.push_back(Name);
      start(Name);
    }
    step(seconds(5), 0);
  }

  /// @brief Runs a time span with random arrivals.
  void step(Duration Span, double PerSecond) {
    Instant End = m_Now + Span;
    while (m_Now < End) {
      std::poisson_distribution<int> Arrivals(PerSecond / 1000);
      for (int Count = Arrivals(m_Random); Count > 0; --Count)
        ask();
      m_Now += milliseconds(1);
      deliver();
      for (auto &[Name, Each] : m_Vms)
        if (!isFrozen(Name))
          wake(*Each);
    }
  }

  void injectFault() {
    const VmId &Name = anyName();
    switch (below(9)) {
    case 0:
      m_LossRatio = 0.1 * below(4);
      break;
    case 1:
      m_RepeatRatio = 0.2 * below(4);
      break;
    case 2:
      m_MaxDelay = milliseconds(1 + below(2) * below(3000));
      break;
    case 3:
      m_Cut.insert(Name);
      break;
    case 4:
      m_Cut.clear();
      break;
    case 5:
      m_FrozenUntil[Name] = m_Now + milliseconds(below(6000));
      break;
    case 6:
      restart(Name);
      break;
    default:
      setSharing(Name);
      break;
    }
  }

  /// @brief Ends all faults and waits until each operation is decided.
  void settle() {
    m_LossRatio = 0;
    m_RepeatRatio = 0;
    m_MaxDelay = milliseconds(1);
    m_Cut.clear();
    m_FrozenUntil.clear();
    step(seconds(2), 0);
  }

  std::size_t mostAdmittedInFiveSeconds() const {
    std::size_t Most = 0;
    std::size_t First = 0;
    for (std::size_t Last = 0; Last < m_AdmittedAt.size(); ++Last) {
      while (m_AdmittedAt[First] + seconds(5) < m_AdmittedAt[Last])
        ++First;
      Most = std::max(Most, Last - First + 1);
    }
    return Most;
  }
  std::size_t admitted() const { return m_AdmittedAt.size(); }
  /// @brief Operations that were not decided, or more than once.
  std::size_t wronglyDecided() const {
    return static_cast<std::size_t>(
        std::count_if(m_Decisions.begin(), m_Decisions.end(),
                      [](const auto &Entry) { return Entry.second != 1; }));
  }

private:
  struct Vm {
    pooling::Context Ctx;
    RateShare Rates;
    std::set<std::uint64_t> Undecided;

    Vm(const VmId &Name, FaultyFleet &Fleet, std::uint64_t Seed)
        : Ctx(Name, DataCentreId("east"), Seed),
          Rates(
              Ctx,
              [&Fleet, Name](const VmId &To, pooling::FleetMessage &&Message) {
                Fleet.send(Name, To, Message);
              },
              [&Fleet, Name](const VmId &Peer) {
                return Fleet.reaches(Name, Peer);
              }) {}
  };
  struct Sent {
    VmId From;
    VmId To;
    pooling::FleetMessage Message;
  };

  unsigned below(unsigned Limit) {
    return std::uniform_int_distribution<unsigned>(0, Limit - 1)(m_Random);
  }
  bool happens(double Ratio) {
    return std::uniform_real_distribution<double>(0, 1)(m_Random) < Ratio;
  }
  const VmId &anyName() {
    return m_Names[below(static_cast<unsigned>(m_Names.size()))];
  }
  bool isFrozen(const VmId &Name) const {
    auto Found = m_FrozenUntil.find(Name);
    return Found != m_FrozenUntil.end() && m_Now < Found->second;
  }

  void start(const VmId &Name) {
    auto Created = std::make_unique<Vm>(Name, *this, m_Random());
    Created->Ctx.setNow(m_Now);
    Created->Rates.setSharing(RateSharing::Priority);
    Created->Rates.configure({{Busy, {Busy, Rate, Burst}}});
    m_Vms[Name] = std::move(Created);
  }

  /// A new process has no slots until the lease of the old one has ended.
  void restart(const VmId &Name) {
    for (std::uint64_t Number : m_Vms.at(Name)->Undecided)
      m_Decisions.erase(Number);
    start(Name);
    m_FrozenUntil.erase(Name);
    m_RestartedAt[Name] = m_Now;
  }

  void setSharing(const VmId &Name) {
    const RateSharing Kinds[] = {RateSharing::Priority, RateSharing::Priority,
                                 RateSharing::Loans, RateSharing::Split};
    if (!isFrozen(Name))
      m_Vms.at(Name)->Rates.setSharing(Kinds[below(4)]);
  }

  void wake(Vm &Each) {
    Each.Ctx.setNow(m_Now);
    const VmId &Name = Each.Ctx.self();
    auto Restarted = m_RestartedAt.find(Name);
    bool HasLease =
        Restarted == m_RestartedAt.end() || Restarted->second + Lease <= m_Now;
    if (HasLease)
      Each.Rates.setPlan(m_Plan, m_Plan->slotsOf(Name), m_Now + Lease);
    else
      Each.Rates.setPlan(m_Plan, {}, m_Now);
    Each.Ctx.timers().runDue(m_Now);
  }

  bool reaches(const VmId &Self, const VmId &Peer) const {
    return Self != Peer && m_Cut.count(Self) == m_Cut.count(Peer);
  }

  void send(const VmId &From, const VmId &To,
            const pooling::FleetMessage &Message) {
    for (unsigned Copies = happens(m_RepeatRatio) ? 2 : 1; Copies > 0;
         --Copies) {
      if (happens(m_LossRatio))
        continue;
      auto Most = static_cast<unsigned>(toMilliseconds(m_MaxDelay));
      m_Messages.emplace(m_Now + milliseconds(1 + below(Most + 1)),
                         Sent{From, To, Message});
    }
  }

  void deliver() {
    while (!m_Messages.empty() && m_Messages.begin()->first <= m_Now) {
      Sent Next = std::move(m_Messages.begin()->second);
      m_Messages.erase(m_Messages.begin());
      if (m_Cut.count(Next.From) != m_Cut.count(Next.To))
        continue;
      if (isFrozen(Next.To)) {
        m_Messages.emplace(m_FrozenUntil.at(Next.To), std::move(Next));
        continue;
      }
      Vm &Receiver = *m_Vms.at(Next.To);
      Receiver.Ctx.setNow(m_Now);
      if (const auto *Request =
              std::get_if<pooling::TokenRequest>(&Next.Message))
        Receiver.Rates.onTokenMessage(Next.From, *Request);
      if (const auto *Grant = std::get_if<pooling::TokenGrant>(&Next.Message))
        Receiver.Rates.onTokenMessage(Next.From, *Grant);
    }
  }

  void ask(bool MayFollow = true) {
    const VmId &Name = anyName();
    if (isFrozen(Name))
      return;
    Vm &Asked = *m_Vms.at(Name);
    Asked.Ctx.setNow(m_Now);
    unsigned Priority = below(3);
    const Duration Targets[] = {milliseconds(100), milliseconds(200),
                                milliseconds(600)};
    std::uint64_t Number = ++m_LastOperation;
    m_Decisions[Number] = 0;
    Asked.Undecided.insert(Number);
    Asked.Rates.admit(Busy, {Priority, Targets[Priority], below(4) == 0},
                      [this, Number, MayFollow, Process = &Asked,
                       Name](const RateShare::Decision &Made) {
                        ++m_Decisions[Number];
                        Process->Undecided.erase(Number);
                        if (Made.Admitted)
                          m_AdmittedAt.push_back(m_Now);
                        // An operation that was not run; a caller that sends
                        // the next one.
                        if (Made.Admitted && below(20) == 0) {
                          m_AdmittedAt.pop_back();
                          Process->Rates.refund(Busy);
                        }
                        if (MayFollow && below(8) == 0)
                          ask(false);
                      });
  }

  std::mt19937_64 m_Random;
  Instant m_Now{seconds(100)};
  std::shared_ptr<const RatePlan> m_Plan;
  std::vector<VmId> m_Names;
  std::map<VmId, std::unique_ptr<Vm>> m_Vms;
  std::multimap<Instant, Sent> m_Messages;
  std::set<VmId> m_Cut; ///< These reach only each other.
  std::map<VmId, Instant> m_FrozenUntil;
  std::map<VmId, Instant> m_RestartedAt;
  double m_LossRatio = 0;
  double m_RepeatRatio = 0;
  Duration m_MaxDelay = milliseconds(1);
  std::uint64_t m_LastOperation = 0;
  std::map<std::uint64_t, unsigned> m_Decisions;
  std::vector<Instant> m_AdmittedAt;
};

unsigned seeds() {
  const char *Text = std::getenv("SHARE_SEEDS");
  return Text == nullptr
             ? 4
             : static_cast<unsigned>(std::strtoul(Text, nullptr, 10));
}

} // namespace

TEST_GROUP(RandomShares){};

// Guards against a token that is spent twice, an operation that is never
// decided or decided twice, with messages lost, delayed and repeated, VMs cut
// off, frozen and restarted, and other policies. SHARE_SEEDS selects more
// seeds.
TEST(RandomShares, NoWindowHoldsMoreThanTheContract) {
  const auto Limit = static_cast<std::size_t>((Rate * 5 + Burst) * 1.1 + 20);
  for (std::uint64_t Seed = 1; Seed <= seeds(); ++Seed) {
    FaultyFleet Fleet(Seed, Seed % 2 == 0 ? 6 : 24);
    for (int Round = 0; Round < 60; ++Round) {
      Fleet.injectFault();
      Fleet.step(milliseconds(500), Round % 3 == 0 ? 30 : 600);
    }
    Fleet.settle();
    std::size_t Most = Fleet.mostAdmittedInFiveSeconds();
    if (Most > Limit || Fleet.wronglyDecided() > 0)
      std::printf("seed %lu: %zu of %zu in 5 s, %zu wrongly decided\n",
                  static_cast<unsigned long>(Seed), Most, Limit,
                  Fleet.wronglyDecided());
    CHECK_TRUE(Most <= Limit);
    LONGS_EQUAL(0, Fleet.wronglyDecided());
    CHECK_TRUE(Fleet.admitted() > 200);
  }
}
