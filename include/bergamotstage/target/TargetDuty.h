#ifndef BERGAMOTSTAGE_TARGET_TARGETDUTY_H
#define BERGAMOTSTAGE_TARGET_TARGETDUTY_H

#include "bergamotstage/node/NodeContext.h"
#include "bergamotstage/target/Confirmation.h"
#include "bergamotstage/target/GroupState.h"
#include "bergamotstage/target/LinkPool.h"

#include <map>

namespace bergamotstage {

/// @brief Everything towards the targets of all databases.
class TargetDuty {
public:
  explicit TargetDuty(NodeContext &Context);

  /// @brief Takes over targets and limits of the rules now in force.
  void rulesChanged();

  /// @brief Starts to follow the platform's view of the groups.
  void start();

  /// @brief The group of a database, or null if the rules do not name it.
  GroupState *group(const DatabaseId &Database);

  /// @brief Takes a message about targets from another VM.
  void peerReceived(const PeerReceived &Event);

  LinkPool &links() { return m_Links; }
  Confirmation &confirmation() { return m_Confirmation; }

  /// @brief Name and state of all groups, for status.
  const std::map<DatabaseId, GroupState> &groups() const { return m_Groups; }

private:
  void readGroups();
  void takeGroups(const GroupsRead &Read);
  void takeReport(const TargetId &Target, const LinkAnswered &Answer);

  NodeContext &m_Context;
  LinkPool m_Links;
  Confirmation m_Confirmation;
  std::map<DatabaseId, GroupState> m_Groups;
  std::map<TargetId, DatabaseId> m_DatabaseOf;
};

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_TARGET_TARGETDUTY_H
