#ifndef BERGAMOTSTAGE_TARGET_TARGETDUTY_H
#define BERGAMOTSTAGE_TARGET_TARGETDUTY_H

#include "bergamotstage/node/NodeContext.h"
#include "bergamotstage/target/Confirmation.h"
#include "bergamotstage/target/Failover.h"
#include "bergamotstage/target/GroupState.h"
#include "bergamotstage/target/LinkPool.h"
#include "bergamotstage/target/MonitorLinks.h"
#include "bergamotstage/target/WriteHold.h"

#include <map>

namespace bergamotstage {

/// @brief Everything towards the targets of all databases.
class TargetDuty {
public:
  explicit TargetDuty(NodeContext &Context);

  /// @brief Takes over targets and limits of the rules now in force.
  void rulesChanged();
  /// @brief Takes over which VMs share the targets.
  void membersChanged() { configureLinks(); }

  /// @brief Starts to follow the platform's view of the groups.
  void start();

  /// @brief The group of a database, or null if the rules do not name it.
  GroupState *group(const DatabaseId &Database);

  /// @brief Takes a message about targets from another VM.
  void peerReceived(const PeerReceived &Event);

  /// @brief Take what happened to links to targets.
  void linkOpened(const LinkOpened &Event);
  void linkFailed(const LinkFailed &Event);
  void linkAnswered(const LinkAnswered &Event);

  /// @brief Lends a link to the primary, now or once the next one is known.
  ///
  /// The wait is bounded; the refusal is truly "not run".
  void acquirePrimary(const DatabaseId &Database, const AccountId &Account,
                      Instant Deadline, LinkPool::LendCallback Callback);

  LinkPool &links() { return m_Links; }
  MonitorLinks &monitors() { return m_Monitors; }
  Confirmation &confirmation() { return m_Confirmation; }

  /// @brief Name and state of all groups, for status.
  const std::map<DatabaseId, GroupState> &groups() const { return m_Groups; }

private:
  void readGroups();
  void takeGroups(const GroupsRead &Read);
  void followLinks();
  void followFailover();
  void adopt(GroupState &Group, Term NewTerm, const TargetId &Primary);
  void clearSuspicion(const GroupState &Group, TargetState &Target);
  bool isHome(const DatabaseId &Database) const;
  void chooseQueue();
  void configureLinks();
  void takeReport(const TargetId &Target, const LinkAnswered &Answer);
  void takeOutcome(const TargetId &Target, bool Answered);
  void takeLoad(const TargetId &Target, unsigned Running, std::size_t Queued);
  GroupState *groupOf(const TargetId &Target);

  NodeContext &m_Context;
  LinkPool m_Links;
  MonitorLinks m_Monitors;
  Confirmation m_Confirmation;
  Failover m_Failover;
  WriteHold m_Hold;
  std::map<DatabaseId, GroupState> m_Groups;
  std::map<TargetId, DatabaseId> m_DatabaseOf;
};

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_TARGET_TARGETDUTY_H
