#ifndef BERGAMOTSTAGE_TARGET_COMMITCONFIRMER_H
#define BERGAMOTSTAGE_TARGET_COMMITCONFIRMER_H

#include "bergamotstage/core/HistoryPoint.h"
#include "bergamotstage/core/Ids.h"
#include "bergamotstage/node/NodeContext.h"
#include "bergamotstage/target/GroupState.h"
#include "bergamotstage/target/MonitorLinkPool.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace bergamotstage {

/// @brief Result of waiting for the confirmation of a commit.
enum class ConfirmationResult : std::uint8_t {
  Durable,    ///< A majority holds it: every later promotion keeps it.
  Unchecked,  ///< The policy `acknowledge immediate` asked for no check.
  Superseded, ///< A majority has seen a later term: it may be lost.
  TimedOut    ///< Not confirmed in time: its outcome is unknown.
};

/// @brief Whether a commit with this result is acknowledged to the caller.
inline bool mayAcknowledge(ConfirmationResult Result) {
  return Result == ConfirmationResult::Durable ||
         Result == ConfirmationResult::Unchecked;
}

/// @brief Statement that a target answers once it holds a history point, and
/// refuses once it has seen a later term.
std::string confirmStatement(const HistoryPoint &Point);

/// @brief SQLSTATE with which a target refuses a term older than its own.
constexpr const char *LaterTermSqlState = "55000";

/// @brief Confirms commits on the targets that did not execute them.
///
/// A commit is durable once a majority of its group, including the primary,
/// holds it in the commit's own term. A promotion fences a majority and selects
/// the fenced target with the highest history point; a fenced target accepts
/// nothing more from earlier terms.
///
/// At most one CONFIRM runs on each target, for the earliest unconfirmed
/// commit. Each answer of a target, to any statement, confirms all commits that
/// the reported position covers. Memory: one entry for each waiting caller.
class CommitConfirmer {
public:
  using Callback = std::function<void(ConfirmationResult)>;
  /// @brief Called when a target refused a term because it has seen a later
  /// one.
  using FencedHook = std::function<void(const DatabaseId &, Term)>;

  CommitConfirmer(NodeContext &Context, MonitorLinkPool &Links)
      : m_Context(Context), m_Links(Links) {}

  void setFencedHook(FencedHook Hook) { m_FencedHook = std::move(Hook); }

  /// @brief Waits until a majority of the group holds a commit.
  /// @param ExecutedOn target that executed the commit; if empty, the commit
  /// cannot be confirmed
  void confirm(const GroupState &Group, const TargetId &ExecutedOn,
               const HistoryPoint &Commit, Callback OnResult);

  /// @brief Records the history point that a target reported with an answer.
  void onPosition(const DatabaseId &Database, const TargetId &Target,
                  const HistoryPoint &Point);

  /// @brief Number of unconfirmed commits in all databases.
  std::size_t pendingCount() const;

private:
  struct PendingCommit {
    HistoryPoint Commit;
    TargetId ExecutedOn;
    std::size_t OtherTargetCount = 0; ///< Targets that did not execute it.
    std::size_t NeededHolders = 0;    ///< Of those, for a majority.
    std::set<TargetId> Holders;       ///< Other targets that hold it.
    std::set<TargetId> RefusedBy;
    Callback OnResult;
    TimerId Timer;
  };
  using PendingMap = std::map<std::uint64_t, PendingCommit>;

  void sendConfirm(const DatabaseId &Database, const TargetId &Target);
  void onConfirmAnswer(const DatabaseId &Database, const TargetId &Target,
                       const HistoryPoint &Point, const LinkResult &Result);
  void onTermRefused(const DatabaseId &Database, const TargetId &Target,
                     Term RefusedTerm);
  const PendingCommit *earliestUnconfirmed(const DatabaseId &Database,
                                           const TargetId &Target) const;
  void complete(const DatabaseId &Database, std::uint64_t Number,
                ConfirmationResult Result);

  NodeContext &m_Context;
  MonitorLinkPool &m_Links;
  FencedHook m_FencedHook;
  std::map<DatabaseId, PendingMap> m_Pending;
  std::set<TargetId> m_ConfirmRunning; ///< Targets with a running CONFIRM.
  std::uint64_t m_LastNumber = 0;
};

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_TARGET_COMMITCONFIRMER_H
