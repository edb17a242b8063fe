#ifndef BERGAMOTSTAGE_FLEET_FLEETMANAGER_H
#define BERGAMOTSTAGE_FLEET_FLEETMANAGER_H

#include "bergamotstage/fleet/Membership.h"
#include "bergamotstage/fleet/RulesEditor.h"
#include "bergamotstage/fleet/RulesFollower.h"
#include "bergamotstage/node/Event.h"
#include "bergamotstage/node/NodeContext.h"

#include <functional>

namespace bergamotstage {

/// @brief Keeps the rules and the membership of the fleet on one VM, and
/// answers operators' requests about them.
class FleetManager {
public:
  using Hook = std::function<void()>;

  FleetManager(NodeContext &Context, Hook RulesChanged, Hook MembersChanged);

  /// @brief Starts to poll the platform for the rules and the list of VMs.
  void start();

  void onPeerMessage(const PeerReceived &Event);
  void onOperatorRequest(const OperatorRequested &Event);
  /// @brief Announces to the other VMs that this one leaves the fleet.
  void leave() { m_Membership.leave(); }

private:
  void onRulesMessage(const PeerReceived &Event);
  void showRules(OperatorCallId Call);
  void showHistory(OperatorCallId Call);
  void showMembers(OperatorCallId Call);
  void explain(const OperatorRequested &Event);

  NodeContext &m_Context;
  RulesFollower m_Follower;
  RulesEditor m_Editor;
  Membership m_Membership;
};

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_FLEET_FLEETMANAGER_H
