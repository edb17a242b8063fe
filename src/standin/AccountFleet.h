#ifndef BERGAMOTSTAGE_STANDIN_ACCOUNTFLEET_H
#define BERGAMOTSTAGE_STANDIN_ACCOUNTFLEET_H

#include "bergamotstage/account/AccountManager.h"
#include "standin/Store.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace bergamotstage::standin {

/// @brief Delay and faults of messages between VMs.
struct PeerNetwork {
  Duration Delay = microseconds(1500);
  double LossRatio = 0;      ///< Fraction of lost messages.
  double DuplicateRatio = 0; ///< Fraction of messages that arrive twice.
  std::function<bool(const VmId &From, const VmId &To)>
      Cut; ///< Whether a message is lost, if set.
};

/// @brief Delay and faults of calls to the store.
struct StoreNetwork {
  Duration Delay = milliseconds(2);
  bool Down = false;
  double AnswerLossRatio = 0; ///< Fraction of answers lost after the effect.
  std::function<bool(const VmId &)> Cut; ///< Whether a VM cannot call, if set.
};

/// @brief Runs the account managers of many VMs on virtual time, with a fake
/// network and store.
class AccountFleet {
public:
  explicit AccountFleet(std::uint64_t Seed) : m_Random(Seed), m_Seed(Seed) {}

  Instant now() const { return m_Now; }
  std::mt19937_64 &random() { return m_Random; }
  Store &store() { return m_Store; }

  /// @brief Applies a new revision of the rules to all present and later VMs.
  void setRules(const std::string &Text);
  /// @brief Starts the process of a VM; a running one is killed first.
  void startVm(const VmId &Vm);
  void killVm(const VmId &Vm);
  bool isRunning(const VmId &Vm) const { return m_Vms.count(Vm) > 0; }
  std::vector<VmId> vms() const;
  AccountManager &manager(const VmId &Vm) { return *m_Vms.at(Vm).Manager; }

  /// @brief Delays all events of a VM until the given time.
  /// @param ClockStops the VM's clock stands still during the pause
  void pauseVm(const VmId &Vm, Instant Until, bool ClockStops);
  /// @brief Transfers the rate shares of a VM to others, as a shutdown does.
  void drainVm(const VmId &Vm);

  /// @brief Asks a VM to admit one statement of an account.
  void request(const VmId &Vm, const AccountId &Account,
               const std::function<void(bool Admitted)> &Callback);

  void runUntil(Instant Time);
  void at(Instant Time, std::function<void()> Callback);

  PeerNetwork Peers;
  StoreNetwork Platform;
  std::uint64_t PeerMessages = 0;
  std::uint64_t PeerBytes = 0;
  std::uint64_t StoreReads = 0;
  std::uint64_t StoreWrites = 0;
  std::uint64_t Steps = 0;

private:
  struct Vm {
    std::unique_ptr<NodeContext> Context;
    std::unique_ptr<AccountManager> Manager;
    Incarnation Start;
    Instant PausedUntil{};
    std::optional<Instant> Wake; ///< Next wake-up, by the VM's clock.
    std::uint64_t LastWake = 0;
    Duration ClockLag{}; ///< Sum of the pauses that its clock did not count.
  };
  using StepHook = std::function<void(Vm &)>;

  void step(const VmId &Name, Incarnation Start, const StepHook &Handler);
  void executeActions(const VmId &Name, Vm &From, const Actions &Emitted);
  void scheduleWake(const VmId &Name, Vm &Process, Instant Time);
  void sendPeer(const VmId &Name, const Vm &From, const SendPeer &Send);
  void callPlatform(const VmId &Name, const Vm &From, const CallPlatform &Call);
  PlatformAnswer answer(const PlatformRequest &Request);
  bool drawChance(double Probability);

  std::mt19937_64 m_Random;
  std::uint64_t m_Seed;
  Instant m_Now = Instant(seconds(1));
  std::multimap<Instant, std::function<void()>> m_Queue;
  Store m_Store;
  std::shared_ptr<const RuleSet> m_Rules;
  std::uint64_t m_LastRevision = 0;
  std::uint64_t m_LastStart = 0;
  std::map<VmId, Vm> m_Vms;
};

} // namespace bergamotstage::standin

#endif // BERGAMOTSTAGE_STANDIN_ACCOUNTFLEET_H
