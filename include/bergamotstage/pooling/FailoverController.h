#ifndef BERGAMOTSTAGE_POOLING_FAILOVERCONTROLLER_H
#define BERGAMOTSTAGE_POOLING_FAILOVERCONTROLLER_H

#include "bergamotstage/core/PlatformApi.h"
#include "bergamotstage/pooling/Context.h"
#include "bergamotstage/pooling/FleetMessage.h"
#include "bergamotstage/pooling/LinkMessage.h"
#include "bergamotstage/pooling/TargetTable.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace bergamotstage::pooling {

/// @brief Replaces primaries that are unreachable or draining.
///
/// One VM per group holds the promotion lease and its fencing token in advance,
/// so that a promotion does not depend on the store during the failure. The
/// lease holder probes the primary and asks all other VMs before it declares
/// the primary dead, then promotes the replica with the longest received log.
class FailoverController {
public:
  using ProofCallback = std::function<void(std::optional<HistoryPoint>)>;
  using ReplyCallback = std::function<void(std::optional<LinkReply>)>;
  using PromoteCallback = std::function<void(const PlatformAnswer &)>;
  using FencingTokenCallback =
      std::function<void(std::optional<std::uint64_t>)>;

  struct Hooks {
    std::function<void(const TargetId &, ProofCallback)> ProvePrimary;
    std::function<void(const TargetId &, LinkRequest, ReplyCallback)>
        SendControlRequest;
    std::function<void(Promote, PromoteCallback)> OrderPromotion;
    /// Whether this VM holds the promotion lease of a group.
    std::function<bool(const DatabaseId &)> HoldsLease;
    std::function<std::optional<std::uint64_t>(const DatabaseId &)>
        FencingToken;
    std::function<void(const DatabaseId &, FencingTokenCallback)>
        RaiseFencingToken;
    std::function<void(FleetMessage &&)> Broadcast;
    /// Number of synchronous replicas of a group.
    std::function<unsigned(const DatabaseId &)> SyncReplicas;
    /// Called when a target is the primary from a term on.
    std::function<void(const DatabaseId &, const TargetId &, Term)>
        PrimaryConfirmed;
  };

  FailoverController(Context &Ctx, const TargetTable &Targets, Hooks Callbacks)
      : m_Context(Ctx), m_Targets(Targets), m_Hooks(std::move(Callbacks)) {}

  /// @brief Handles a report that a VM cannot reach the primary.
  void onPrimarySuspected(const DatabaseId &Group, const TargetId &Target);
  /// @brief Handles a report that another VM recently received data from the
  /// target.
  void onTargetAlive(const DatabaseId &Group, const TargetId &Target);
  /// @brief Starts failover for draining primaries and groups without one.
  void checkGroups(const std::vector<DatabaseId> &Groups);

  /// @brief Whether the primary is being verified or replaced.
  bool isActive(const DatabaseId &Group) const {
    return m_Attempts.count(Group) > 0;
  }

private:
  struct Attempt {
    std::uint64_t Number = 0;
    std::optional<TargetId> OldPrimary;
    bool Planned = false; ///< The old primary is reachable and draining.
    bool SeenAlive = false;
    Instant StartedAt{};
    Instant ChosenAt{};
    std::map<TargetId, TargetStatus> Statuses;
    std::size_t ExpectedReplies = 0;
    std::size_t ReceivedReplies = 0;
    TargetId Candidate;
    Term HighestTerm;
    std::optional<HistoryPoint> RequiredLogEnd; ///< Log end of the old primary.
    Instant ConfirmDeadline{};
    bool OrderPending = false;
    std::map<TargetId, int> FailedOrders; ///< Orders without effect.
    bool TermsKnown = false;       ///< All replicas asked have replied once.
    std::optional<Term> PauseTerm; ///< Term of the latest query, if it paused.
    std::set<TargetId> PausedReplicas; ///< Asked to pause in this attempt.

    bool hasFinalLogEnds() const;
  };

  void start(const DatabaseId &Group, std::optional<TargetId> OldPrimary,
             bool Planned);
  Attempt *findAttempt(const DatabaseId &Group, std::uint64_t Number);
  void verifyPrimary(const DatabaseId &Group, std::uint64_t Number);
  void queryReplicas(const DatabaseId &Group, std::uint64_t Number);
  void onStatusReply(const DatabaseId &Group, std::uint64_t Number,
                     const TargetId &Target,
                     const std::optional<LinkReply> &Reply);
  void chooseCandidate(const DatabaseId &Group, std::uint64_t Number);
  std::map<TargetId, TargetStatus>::const_iterator
  bestReplica(const Attempt &Current, bool SkipUnresponsive) const;
  bool maySkipUnresponsive(const DatabaseId &Group) const;
  bool mustPauseReplicas(const DatabaseId &Group, const Attempt &Current) const;
  bool isCandidate(const DatabaseId &Group, const Attempt &Current,
                   const TargetId &Id) const;
  void resumeReplicas(const DatabaseId &Group,
                      const std::set<TargetId> &Paused);
  void dropEvacuated(const DatabaseId &Group, Attempt &Current);
  void stepDown(const DatabaseId &Group, std::uint64_t Number);
  void awaitCatchUp(const DatabaseId &Group, std::uint64_t Number,
                    Instant Until);
  void requestPromotion(const DatabaseId &Group, std::uint64_t Number);
  void sendPromotion(const DatabaseId &Group, std::uint64_t Number,
                     std::uint64_t FencingToken);
  void confirmPromotion(const DatabaseId &Group, std::uint64_t Number);
  void raiseFencingToken(const DatabaseId &Group, std::uint64_t Number);
  void scheduleRetry(const DatabaseId &Group, std::uint64_t Number,
                     const std::string &Reason);
  void finish(const DatabaseId &Group, const std::string &Result);

  Context &m_Context;
  const TargetTable &m_Targets;
  Hooks m_Hooks;
  std::map<DatabaseId, Attempt> m_Attempts;
  std::map<DatabaseId, Instant> m_NoPrimarySince;
  std::map<DatabaseId, std::size_t>
      m_LargestGroupSize; ///< Maximum ever listed.
  std::map<DatabaseId, Instant> m_BackoffUntil;
  std::uint64_t m_LastAttemptNumber = 0;
};

} // namespace bergamotstage::pooling

#endif // BERGAMOTSTAGE_POOLING_FAILOVERCONTROLLER_H
