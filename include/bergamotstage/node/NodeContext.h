#ifndef BERGAMOTSTAGE_NODE_NODECONTEXT_H
#define BERGAMOTSTAGE_NODE_NODECONTEXT_H

#include "bergamotstage/core/TimerQueue.h"
#include "bergamotstage/fleet/Freshness.h"
#include "bergamotstage/fleet/MemberState.h"
#include "bergamotstage/metrics/Registry.h"
#include "bergamotstage/node/Action.h"
#include "bergamotstage/node/Event.h"
#include "bergamotstage/node/NodeSettings.h"
#include "bergamotstage/rules/RuleSet.h"

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>

namespace bergamotstage {

/// @brief State that all components of a node share.
///
/// The node owns it and sets the time and the list of actions before it passes
/// an event to a component.
class NodeContext {
public:
  using PlatformCallback = std::function<void(const PlatformAnswer &)>;

  NodeContext(NodeSettings Settings, std::uint64_t Seed)
      : m_Settings(std::move(Settings)), m_Random(Seed),
        m_Rules(std::make_shared<RuleSet>()) {
    m_Members[m_Settings.Vm] = {m_Settings.Vm,
                                m_Settings.DataCentre,
                                m_Settings.PeerAddress,
                                m_Settings.ProcessIncarnation,
                                true,
                                false};
  }

  const NodeSettings &settings() const { return m_Settings; }
  Instant now() const { return m_Now; }
  TimerQueue &timers() { return m_Timers; }
  metrics::Registry &metrics() { return m_Metrics; }
  const metrics::Registry &metrics() const { return m_Metrics; }
  std::mt19937_64 &random() { return m_Random; }

  /// @brief The rules in force on this VM; revision 0 until some are read.
  const RuleSet &rules() const { return *m_Rules; }
  void setRules(std::shared_ptr<const RuleSet> Rules) {
    m_Rules = std::move(Rules);
  }

  /// @brief Last time at which this VM knew that no revision newer than its
  /// own had been accepted. The fleet component updates it.
  Instant lastKnownCurrent() const { return m_LastKnownCurrent; }
  void setLastKnownCurrent(Instant Time) { m_LastKnownCurrent = Time; }
  /// @brief Whether keyed routes may be served under the rules in force.
  bool rulesAreCurrent() const {
    return m_Now - m_LastKnownCurrent < FreshnessLimit;
  }

  /// @brief All known VMs, this one included. The fleet component updates them.
  const MemberMap &members() const { return m_Members; }
  MemberMap &mutableMembers() { return m_Members; }

  /// @brief Sends a message to a known VM, without guaranteed delivery.
  void sendPeer(const VmId &To, PeerChannel Channel, std::string Payload) {
    auto Found = m_Members.find(To);
    if (Found != m_Members.end())
      emit(SendPeer{
          To, Found->second.PeerAddress, {Channel, std::move(Payload)}});
  }

  /// @brief Starts a step: sets the time and the list that receives actions.
  void beginStep(Instant Now, Actions &Out) {
    m_Now = Now;
    m_Out = &Out;
  }

  void emit(Action NewAction) { m_Out->push_back(std::move(NewAction)); }

  /// @brief Logs an event; the pairs must not contain keys or statement values.
  void log(WriteLog::Level Severity, std::string EventName,
           std::initializer_list<std::pair<std::string, std::string>> Pairs) {
    emit(WriteLog{Severity, std::move(EventName), Pairs});
  }

  LinkId newLink() { return LinkId(++m_LastLink); }
  /// @brief New id for a statement of the proxy itself, never equal to the id
  /// of a caller's statement.
  StatementId newInternalStatement() {
    return StatementId(InternalIdBit | ++m_LastInternal);
  }

  /// @brief Calls the platform; the callback is called once with the answer.
  CallId callPlatform(PlatformRequest Request, PlatformCallback Callback) {
    CallId Call(++m_LastCall);
    m_Calls.emplace(Call, std::move(Callback));
    emit(CallPlatform{Call, std::move(Request), m_Settings.PlatformTimeout});
    return Call;
  }

  /// @brief Passes an answer to the callback of its call; unknown calls are
  /// ignored.
  void onPlatformAnswered(const PlatformAnswered &Answered) {
    auto Found = m_Calls.find(Answered.Call);
    if (Found == m_Calls.end())
      return;
    PlatformCallback Callback = std::move(Found->second);
    m_Calls.erase(Found);
    Callback(Answered.Answer);
  }

private:
  static constexpr std::uint64_t InternalIdBit = std::uint64_t{1} << 63U;

  NodeSettings m_Settings;
  Instant m_Now{};
  Actions *m_Out = nullptr;
  TimerQueue m_Timers;
  metrics::Registry m_Metrics;
  std::mt19937_64 m_Random;
  std::shared_ptr<const RuleSet> m_Rules;
  Instant m_LastKnownCurrent = DistantPast;
  MemberMap m_Members;
  std::unordered_map<CallId, PlatformCallback> m_Calls;
  std::uint64_t m_LastLink = 0;
  std::uint64_t m_LastInternal = 0;
  std::uint64_t m_LastCall = 0;
};

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_NODE_NODECONTEXT_H
