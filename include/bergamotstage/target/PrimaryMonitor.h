#ifndef BERGAMOTSTAGE_TARGET_PRIMARYMONITOR_H
#define BERGAMOTSTAGE_TARGET_PRIMARYMONITOR_H

#include "bergamotstage/node/NodeContext.h"
#include "bergamotstage/target/FailoverMessage.h"
#include "bergamotstage/target/GroupState.h"
#include "bergamotstage/target/MonitorLinkPool.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace bergamotstage {

/// @brief Detects the failure of primaries.
///
/// The watchers of a primary send heartbeats at random intervals; a failed link
/// or an overdue statement triggers a heartbeat at once. A missed heartbeat
/// starts a vote: this VM probes the target over a new connection and asks the
/// other watchers to do the same. The primary is lost when more probes failed
/// than succeeded. Without any report of another watcher, the vote is repeated
/// for several rounds before this VM decides alone.
///
/// The policy `failover fixed timeout=DURATION` uses no votes: a primary is
/// lost when this VM has had no answer from it for that long.
class PrimaryMonitor {
public:
  using GroupLookup = std::function<const GroupState *(const DatabaseId &)>;
  using LostHook =
      std::function<void(const DatabaseId &, const std::string &Reason)>;
  /// @brief Called when the primary refused its term, as fenced targets do.
  using FencedHook = std::function<void(const DatabaseId &, Term)>;

  PrimaryMonitor(NodeContext &Context, MonitorLinkPool &Links,
                 GroupLookup Groups)
      : m_Context(Context), m_Links(Links), m_FindGroup(std::move(Groups)) {}

  void setLostHook(LostHook Hook) { m_LostHook = std::move(Hook); }
  void setFencedHook(FencedHook Hook) { m_FencedHook = std::move(Hook); }

  /// @brief Starts the heartbeats to the primary of a database, once.
  void start(const DatabaseId &Database);

  /// @brief Sends a heartbeat to the primary now, unless one is running.
  void sendHeartbeat(const DatabaseId &Database);

  /// @brief Starts a vote on the primary, unless one is running.
  void startVote(const DatabaseId &Database);

  /// @brief Handles a probe of another VM, or the answer to one.
  void onMessage(const VmId &From, const FailoverMessage &Message);

private:
  struct MonitorState {
    std::uint64_t Round = 0; ///< 0 while no vote runs.
    TargetId Primary;
    Term AtTerm;
    std::size_t Voters = 0;
    std::size_t ProbesSucceeded = 0;
    std::size_t ProbesFailed = 0;
    bool OwnReported = false;
    unsigned RoundsAlone = 0; ///< Consecutive, without another VM's report.
    bool HeartbeatRunning = false;
    std::optional<Instant> SilentSince; ///< First missed heartbeat in a row.
    Instant NextVoteAt{};               ///< Earliest start of the next vote.
  };

  void onHeartbeatTimer(const DatabaseId &Database);
  void probe(const TargetId &Target, Term AtTerm,
             std::function<void(bool)> OnResult);
  void recordReport(const DatabaseId &Database, std::uint64_t Round,
                    bool Succeeded, bool Own);
  void checkFixedTimeout(const DatabaseId &Database, Duration Timeout);
  void decideVote(const DatabaseId &Database, std::uint64_t Round);
  std::vector<VmId> otherWatchers(const DatabaseId &Database) const;

  NodeContext &m_Context;
  MonitorLinkPool &m_Links;
  GroupLookup m_FindGroup;
  LostHook m_LostHook;
  FencedHook m_FencedHook;
  std::map<DatabaseId, MonitorState> m_States;
  std::uint64_t m_LastRound = 0;
};

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_TARGET_PRIMARYMONITOR_H
