#ifndef BERGAMOTSTAGE_TARGET_FAILOVERATTEMPT_H
#define BERGAMOTSTAGE_TARGET_FAILOVERATTEMPT_H

#include "bergamotstage/node/NodeContext.h"
#include "bergamotstage/target/GroupState.h"
#include "bergamotstage/target/MonitorLinkPool.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace bergamotstage {

/// @brief Result of one attempt to replace a primary.
struct FailoverResult {
  enum class Kind : std::uint8_t {
    Promoted,       ///< The candidate is the primary of the new term.
    Conflict,       ///< Another attempt or a later term came first.
    NoMajority,     ///< Fewer than a majority of the targets could be fenced.
    PlatformTimeout ///< The platform did not decide the promotion in time.
  };
  Kind Outcome = Kind::Conflict;
  TargetId Primary;
  Term NewTerm;           ///< Term of the attempt, or the later term found.
  Duration Total{};       ///< Duration of the whole attempt.
  Duration UntilFenced{}; ///< From the start until a majority was fenced.
};

/// @brief One attempt to replace the primary of a database.
///
/// An attempt writes the group's row on the condition that it is unchanged,
/// fences a majority of the targets at the new term, and promotes the fenced
/// target with the highest history point. A target accepts one fence per term,
/// so two attempts never both fence a majority in the same term. The row only
/// avoids needless conflicts: the attempt continues without it while the store
/// is down or slow.
class FailoverAttempt : public std::enable_shared_from_this<FailoverAttempt> {
public:
  using EndCallback = std::function<void(const FailoverResult &)>;

  /// @brief Starts an attempt, which keeps itself alive until it ends.
  /// @param AttemptId unique over all VMs and their restarts
  static void start(NodeContext &Context, MonitorLinkPool &Links,
                    const GroupState &Group, Term NewTerm,
                    std::string AttemptId, EndCallback OnEnd);

private:
  FailoverAttempt(NodeContext &Context, MonitorLinkPool &Links,
                  const GroupState &Group, Term NewTerm, std::string AttemptId,
                  EndCallback OnEnd);

  void readRow();
  void onRowRead(const PlatformAnswer &Answer);
  void fenceTargets();
  void onFenceAnswer(const TargetId &Target, const LinkResult &Result);
  void selectCandidate();
  void requestPromotion();
  void onPromotionAnswer(const PlatformAnswer &Answer);
  void finish(FailoverResult::Kind Outcome, Term ResultTerm);
  bool isSuspected(const TargetId &Target) const;

  NodeContext &m_Context;
  MonitorLinkPool &m_Links;
  GroupState m_Group;
  Term m_NewTerm;
  std::string m_AttemptId;
  EndCallback m_OnEnd;
  Instant m_Start;
  Instant m_FencedAt{};
  bool m_Fencing = false;
  bool m_Promoting = false;
  bool m_Ended = false;
  bool m_SawLaterTerm = false;
  std::map<TargetId, HistoryPoint> m_FencedPoints;
  std::set<TargetId> m_Unanswered; ///< Targets yet to answer the fence.
  TargetId m_Candidate;
  unsigned m_PromoteCalls = 0;
};

/// @brief Key of the row that records the latest attempt for a database.
std::string groupRowKey(const DatabaseId &Database);

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_TARGET_FAILOVERATTEMPT_H
