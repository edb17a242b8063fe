#ifndef BERGAMOTSTAGE_NODE_NODE_H
#define BERGAMOTSTAGE_NODE_NODE_H

#include "bergamotstage/core/Time.h"
#include "bergamotstage/fleet/FleetManager.h"
#include "bergamotstage/node/Action.h"
#include "bergamotstage/node/Event.h"
#include "bergamotstage/node/NodeContext.h"
#include "bergamotstage/node/NodeSettings.h"
#include "bergamotstage/request/StatementManager.h"

#include <tl/expected.hpp>

#include "bergamotstage/account/AccountManager.h"
#include "bergamotstage/target/TargetManager.h"
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace bergamotstage {

/// @brief Why a node cannot be created.
struct NodeError {
  std::string Setting; ///< Name of the invalid setting.
  std::string Reason;
};

/// @brief The decision logic of one VM, as a deterministic state machine.
///
/// It reads no clock, opens no socket and starts no thread: the same events at
/// the same times with the same seed produce the same actions.
class Node {
public:
  /// @brief Validates the settings and creates a node.
  /// @param Seed seed of all random choices
  static tl::expected<std::unique_ptr<Node>, NodeError>
  create(NodeSettings Settings, std::uint64_t Seed);

  Node(const Node &) = delete;
  Node &operator=(const Node &) = delete;

  /// @brief Performs the first step: starts to read the rules and the groups.
  void start(Instant Now, Actions &Out);

  /// @brief Handles an event and appends the resulting actions.
  /// @param Now current time, not before that of the last step
  /// Complexity: logarithmic in callers, links and timers, unless the rules
  /// change.
  void step(Instant Now, const Event &Input, Actions &Out);

  /// @brief Adds a VM before membership discovers it.
  void addMember(const MemberState &Member) {
    m_Context.mutableMembers()[Member.Vm] = Member;
  }

  const NodeContext &context() const { return m_Context; }
  const TargetManager &targets() const { return m_Targets; }

private:
  Node(NodeSettings Settings, std::uint64_t Seed);

  void dispatch(const Event &Input);
  void onPeerReceived(const PeerReceived &Event);
  /// @brief The home VM of a database; nothing if that is this VM or the rules
  /// disable home VMs.
  std::optional<VmId> findRemoteHome(const DatabaseId &Database);
  void onRulesChanged();
  void onCallerOpened(const CallerOpened &Event);
  void onOperatorRequested(const OperatorRequested &Request);
  void answerStatus(const OperatorRequested &Request);
  void shutdown();
  void exit();
  void checkDrained();
  void scheduleWake();

  NodeContext m_Context;
  AccountManager m_Accounts;
  TargetManager m_Targets;
  StatementManager m_Statements;
  FleetManager m_Fleet;
  std::optional<Instant> m_ScheduledWake;
  std::optional<Instant> m_DrainingSince;
};

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_NODE_NODE_H
