#ifndef BERGAMOTSTAGE_FLEET_FLEETDUTY_H
#define BERGAMOTSTAGE_FLEET_FLEETDUTY_H

#include "bergamotstage/node/Event.h"
#include "bergamotstage/node/NodeContext.h"

#include <functional>
#include <string>

namespace bergamotstage {

/// @brief Row of the platform's table that names the revision in force.
constexpr const char *RulesHeadKey = "rules/head";

/// @brief Name of the object that holds the rules text of a revision.
std::string rulesObjectName(Revision Number);

/// @brief Rules, membership, operators and shutdown.
class FleetDuty {
public:
  using RulesHook = std::function<void()>;

  FleetDuty(NodeContext &Context, RulesHook RulesChanged)
      : m_Context(Context), m_RulesChanged(std::move(RulesChanged)) {}

  /// @brief Starts to follow the platform's rules.
  void start();

  void peerReceived(const PeerReceived &Event);
  void operatorAsked(const OperatorAsked &Event);

private:
  void readHead();
  void takeHead(const RowsRead &Read);
  void takeRules(Revision Number, const ObjectRead &Read);
  void applyRules(const OperatorAsked &Event);
  void moveHead(OperatorCallId Call, Revision Expected, std::uint64_t Version,
                const std::string &EditId);

  NodeContext &m_Context;
  RulesHook m_RulesChanged;
  std::uint64_t m_HeadVersion = 0;
};

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_FLEET_FLEETDUTY_H
