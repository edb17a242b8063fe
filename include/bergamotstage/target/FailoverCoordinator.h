#ifndef BERGAMOTSTAGE_TARGET_FAILOVERCOORDINATOR_H
#define BERGAMOTSTAGE_TARGET_FAILOVERCOORDINATOR_H

#include "bergamotstage/node/NodeContext.h"
#include "bergamotstage/target/FailoverAttempt.h"
#include "bergamotstage/target/FailoverMessage.h"
#include "bergamotstage/target/GroupState.h"
#include "bergamotstage/target/MonitorLinkPool.h"
#include "bergamotstage/target/PrimaryMonitor.h"

#include <functional>
#include <map>
#include <string>

namespace bergamotstage {

/// @brief Replaces failed primaries on the code path of `serve`: VMs vote on
/// the loss of a primary and fence a majority of its group's targets.
///
/// Starts and retries failover attempts and announces them to the other VMs.
/// pooling::FailoverController is the counterpart on the code path of `site`.
class FailoverCoordinator {
public:
  /// @brief Failover state of one database on this VM.
  enum class State : std::uint8_t {
    Normal,      ///< Statements go to the known primary.
    FailingOver, ///< A failover is running; writes wait for it.
    Blocked      ///< No failover is possible now; writes are refused.
  };
  using GroupLookup = std::function<GroupState *(const DatabaseId &)>;
  using PromotedHook =
      std::function<void(const DatabaseId &, Term, const TargetId &)>;
  using StateHook = std::function<void(const DatabaseId &, State)>;
  using RefreshHook = std::function<void()>;

  FailoverCoordinator(NodeContext &Context, MonitorLinkPool &Links,
                      GroupLookup Groups);

  /// @brief Called when a primary with a later term is known.
  void setPromotedHook(PromotedHook Hook) { m_PromotedHook = std::move(Hook); }
  void setStateHook(StateHook Hook) { m_StateHook = std::move(Hook); }
  /// @brief Called when the platform's view of the groups has to be read again.
  void setRefreshHook(RefreshHook Hook) { m_RefreshHook = std::move(Hook); }

  /// @brief Starts monitoring the primary of a database.
  void monitorPrimary(const DatabaseId &Database) { m_Monitor.start(Database); }

  /// @brief Handles a failed link to a target, or an overdue answer.
  void onTargetFailed(const DatabaseId &Database, const TargetId &Target);
  void onTargetOverdue(const DatabaseId &Database, const TargetId &Target);

  /// @brief Handles a target's refusal of a term older than its own.
  void onTermFenced(const DatabaseId &Database, Term FencedTerm);

  /// @brief Handles a new primary or term of a database, from any source.
  void onPrimaryKnown(const DatabaseId &Database);

  void onPeerMessage(const PeerReceived &Event);

  State state(const DatabaseId &Database) const;

private:
  struct GroupProgress {
    State CurrentState = State::Normal;
    bool AttemptRunning = false;    ///< An attempt of this VM is running.
    bool FenceCheckPending = false; ///< A timer of onTermFenced() is pending.
    Instant PeerAttemptUntil{}; ///< Wait for another VM's attempt until then.
    Instant PeerBlockedUntil{}; ///< Another VM could not complete a failover.
    Term HighestAttemptedTerm;
    unsigned Failures = 0;
  };

  void onPrimaryLost(const DatabaseId &Database, const std::string &Reason);
  void startAttempt(const DatabaseId &Database);
  void onAttemptEnded(const DatabaseId &Database, const FailoverResult &Result);
  void scheduleRetry(const DatabaseId &Database, Term LostTerm);
  void onPromoted(const DatabaseId &Database, Term NewTerm,
                  const TargetId &Primary);
  void broadcast(const FailoverMessage &Message);
  void setState(const DatabaseId &Database, State NewState);
  Duration backOff(unsigned Failures);

  NodeContext &m_Context;
  MonitorLinkPool &m_Links;
  GroupLookup m_FindGroup;
  PrimaryMonitor m_Monitor;
  PromotedHook m_PromotedHook;
  StateHook m_StateHook;
  RefreshHook m_RefreshHook;
  std::map<DatabaseId, GroupProgress> m_Progress;
  std::uint64_t m_LastAttempt = 0;
};

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_TARGET_FAILOVERCOORDINATOR_H
