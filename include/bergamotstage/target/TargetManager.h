#ifndef BERGAMOTSTAGE_TARGET_TARGETMANAGER_H
#define BERGAMOTSTAGE_TARGET_TARGETMANAGER_H

#include "bergamotstage/node/NodeContext.h"
#include "bergamotstage/target/CommitConfirmer.h"
#include "bergamotstage/target/FailoverCoordinator.h"
#include "bergamotstage/target/GroupState.h"
#include "bergamotstage/target/LinkPool.h"
#include "bergamotstage/target/MonitorLinkPool.h"
#include "bergamotstage/target/PrimaryWaitQueue.h"

#include <map>

namespace bergamotstage {

/// @brief Manages the targets of all databases: their links, commit
/// confirmation and failover.
class TargetManager {
public:
  explicit TargetManager(NodeContext &Context);

  /// @brief Applies the targets and limits of the new rules.
  void onRulesChanged();
  /// @brief Recomputes this VM's share of the targets after a membership
  /// change.
  void onMembersChanged() { configureLinks(); }

  /// @brief Starts polling the platform's view of the groups.
  void start();

  /// @brief The group of a database, or null if the rules do not name it.
  GroupState *group(const DatabaseId &Database);

  /// @brief Handles a failover message of another VM.
  void onPeerMessage(const PeerReceived &Event);

  /// @brief Handle events of links to targets.
  void onLinkOpened(const LinkOpened &Event);
  void onLinkFailed(const LinkFailed &Event);
  void onLinkAnswered(const LinkAnswered &Event);

  /// @brief Acquires a link to the primary; waits for it during a failover.
  ///
  /// The wait is bounded; a refused statement was "not run".
  void acquirePrimary(const DatabaseId &Database, const AccountId &Account,
                      Instant Deadline, LinkPool::AcquireCallback Callback);

  LinkPool &links() { return m_Links; }
  MonitorLinkPool &monitors() { return m_Monitors; }
  CommitConfirmer &confirmer() { return m_Confirmer; }

  /// @brief State of all groups, for status output.
  const std::map<DatabaseId, GroupState> &groups() const { return m_Groups; }

private:
  void readGroups();
  void onGroupsRead(const GroupsRead &Read);
  void setLinkHooks();
  void setFailoverHooks();
  void setPrimary(GroupState &Group, Term NewTerm, const TargetId &Primary);
  void clearSuspicion(const GroupState &Group, TargetState &Target);
  bool isHome(const DatabaseId &Database) const;
  void applyQueuePolicy();
  void configureLinks();
  void onAnswer(const TargetId &Target, const LinkAnswered &Answer);
  void onLinkOutcome(const TargetId &Target, bool Answered);
  void onLoad(const TargetId &Target, unsigned Running, std::size_t Queued);
  GroupState *findGroupOf(const TargetId &Target);

  NodeContext &m_Context;
  LinkPool m_Links;
  MonitorLinkPool m_Monitors;
  CommitConfirmer m_Confirmer;
  FailoverCoordinator m_Failover;
  PrimaryWaitQueue m_PrimaryWaiters;
  std::map<DatabaseId, GroupState> m_Groups;
  std::map<TargetId, DatabaseId> m_DatabaseOf;
};

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_TARGET_TARGETMANAGER_H
