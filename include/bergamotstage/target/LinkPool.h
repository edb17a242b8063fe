#ifndef BERGAMOTSTAGE_TARGET_LINKPOOL_H
#define BERGAMOTSTAGE_TARGET_LINKPOOL_H

#include "bergamotstage/core/Ids.h"
#include "bergamotstage/core/Outcome.h"
#include "bergamotstage/core/Time.h"
#include "bergamotstage/node/Event.h"
#include "bergamotstage/node/NodeContext.h"
#include "bergamotstage/target/LinkResult.h"
#include "bergamotstage/target/TargetShare.h"
#include "bergamotstage/target/WaitQueue.h"

#include <tl/expected.hpp>

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>

namespace bergamotstage {

/// @brief Pool of the connections to targets that run callers' statements.
///
/// Each target has a queue of requests for a link. A request that is still
/// queued at its deadline is refused as "not run", and one that cannot be
/// served before its deadline is refused at once. A link that ran a caller's
/// statement is reset before it is reused. A link in an unknown state is
/// closed; late events of it are ignored, because link ids are never reused.
class LinkPool {
public:
  using AcquireResult = tl::expected<LinkId, Refusal>;
  using AcquireCallback = std::function<void(AcquireResult)>;
  using Answer = LinkResult;
  using AnswerCallback = LinkResultCallback;
  using OpenHook = std::function<void(const TargetId &, bool Opened)>;
  using AnswerHook =
      std::function<void(const TargetId &, const LinkAnswered &)>;
  using OverdueHook = std::function<void(const TargetId &)>;
  using LoadHook = std::function<void(const TargetId &, unsigned Running,
                                      std::size_t Queued)>;

  explicit LinkPool(NodeContext &Context) : m_Context(Context) {}

  /// @brief Called when a link was opened, could not be opened, or was lost.
  void setOpenHook(OpenHook Hook) { m_OpenHook = std::move(Hook); }
  /// @brief Called with every answer, before the callback of its statement.
  void setAnswerHook(AnswerHook Hook) { m_AnswerHook = std::move(Hook); }
  /// @brief Called when the answer to a statement is overdue.
  void setOverdueHook(OverdueHook Hook) { m_OverdueHook = std::move(Hook); }
  /// @brief Called when the number of running or queued statements changes.
  void setLoadHook(LoadHook Hook) { m_LoadHook = std::move(Hook); }

  /// @brief Adds or reconfigures a target.
  void configure(const TargetId &Target, const std::string &Address,
                 const std::string &DatabaseName, const TargetShare &Share);

  /// @brief Sets the policy of all queues, for example queuePolicy("fair").
  void setQueuePolicy(const QueuePolicy &Policy);

  /// @brief Acquires an idle link, at once or when one becomes free.
  /// @param Account the statement's account; empty for the proxy's statements
  void acquire(const TargetId &Target, const AccountId &Account,
               Instant Deadline, AcquireCallback Callback);

  /// @brief Runs a caller's statement on an acquired link. Without an answer
  /// within the statement timeout the link is closed and the outcome is
  /// unknown.
  void run(LinkId Link, CallerId Caller, StatementId Statement, SharedBody Body,
           AnswerCallback Callback);

  /// @brief Runs a statement of the proxy itself on an acquired link.
  void runInternal(LinkId Link, const std::string &Text,
                   AnswerCallback Callback);

  /// @brief Returns an acquired link to the pool.
  /// @param Clean whether the session is in a known state; otherwise the link
  /// is closed
  void release(LinkId Link, bool Clean);

  /// @brief Refuses all requests for a target and closes its links. The outcome
  /// of their running statements is unknown.
  void closeAll(const TargetId &Target, const std::string &Reason);

  /// @brief Refuses all queued requests for a target as "not run"; its links
  /// stay open.
  void refuseWaiters(const TargetId &Target, const std::string &Reason);

  /// @brief Target of an open link; empty if the link is closed.
  TargetId targetOf(LinkId Link) const;

  void onLinkOpened(const LinkOpened &Event);
  void onLinkFailed(const LinkFailed &Event);
  void onLinkAnswered(const LinkAnswered &Event);

private:
  struct Waiter {
    AccountId Account;
    AcquireCallback Callback;
    TimerId Timer;
  };
  struct TargetEntry {
    std::string Address;
    std::string DatabaseName;
    TargetShare Share;
    unsigned InUse = 0;
    unsigned Opening = 0;
    unsigned Connections = 0;
    unsigned Failures = 0; ///< Consecutive, since a link opened or answered.
    Instant ReopenAt{};
    Instant LastRequestedAt{}; ///< Time of the latest acquire().
    std::deque<LinkId> IdleLinks;
    std::map<std::uint64_t, Waiter> Waiters;
    WaitQueue Queue;
  };
  enum class LinkPhase : std::uint8_t { Opening, Idle, InUse, Resetting };
  struct LinkState {
    TargetId Target;
    LinkPhase Phase = LinkPhase::Opening;
    bool NeedsReset = false; ///< Ran a caller's statement since its reset.
    AccountId Account;
    Instant AcquiredAt{};
    StatementId Running;
    AnswerCallback Callback; ///< Set while a statement runs.
    TimerId Timeout;         ///< Of the current phase or statement.
  };

  double weightOf(const AccountId &Account) const;
  void dispatch(const TargetId &Target);
  void assign(TargetEntry &Entry, LinkId Link, Waiter Admitted);
  void openLinks(const TargetId &Target, TargetEntry &Entry);
  void openLink(const TargetId &Target, TargetEntry &Entry);
  void onWaitTimeout(const TargetId &Target, std::uint64_t Ticket);
  void beginStatement(LinkId Link, LinkState &State, StatementId Statement,
                      AnswerCallback Callback);
  void startTimeout(LinkId Link, Duration Limit, const std::string &Reason);
  void onOverdue(LinkId Link, StatementId Statement);
  void resetSession(LinkId Link);
  void makeIdle(LinkId Link);
  void closeIfUnneeded(LinkId Link);
  void releaseSlot(const LinkState &State);
  void onLinkLost(LinkId Link, bool CloseIt, const LinkLost &Loss);
  void removeLink(LinkId Link, bool CloseIt);
  void delayReopening(const TargetId &Target);
  void reportLoad(const TargetId &Target);

  NodeContext &m_Context;
  OpenHook m_OpenHook;
  AnswerHook m_AnswerHook;
  OverdueHook m_OverdueHook;
  LoadHook m_LoadHook;
  QueuePolicy m_Policy;
  std::map<TargetId, TargetEntry> m_Targets;
  std::unordered_map<LinkId, LinkState> m_Links;
  std::uint64_t m_LastTicket = 0;
};

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_TARGET_LINKPOOL_H
