#ifndef BERGAMOTSTAGE_TARGET_LINKPOOL_H
#define BERGAMOTSTAGE_TARGET_LINKPOOL_H

#include "bergamotstage/core/Ids.h"
#include "bergamotstage/core/Outcome.h"
#include "bergamotstage/core/Time.h"
#include "bergamotstage/node/Event.h"
#include "bergamotstage/node/NodeContext.h"

#include <tl/expected.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace bergamotstage {

/// @brief A statement whose link broke before it answered.
struct LinkLost {
  std::string Reason;
  bool NeverSent = false;   ///< The statement certainly did not run.
  std::uint64_t Chunks = 0; ///< Chunks of its answer passed to the caller.
};

/// @brief Connections to targets: opens, lends, resets and closes them.
///
/// Each target has a queue of those who wait for a link; a wait ends at its
/// deadline with a refusal that is truly "not run".
class LinkPool {
public:
  using Lent = tl::expected<LinkId, Refusal>;
  using LendCallback = std::function<void(Lent)>;
  using Answer = tl::expected<LinkAnswered, LinkLost>;
  using AnswerCallback = std::function<void(const Answer &)>;
  using OpenHook = std::function<void(const TargetId &, bool Opened)>;
  using ReportHook =
      std::function<void(const TargetId &, const LinkAnswered &)>;

  explicit LinkPool(NodeContext &Context) : m_Context(Context) {}

  /// @brief Called when a link opened, or could not be opened or broke.
  void onOpen(OpenHook Hook) { m_OpenHook = std::move(Hook); }
  /// @brief Called with every answer, before the answer's own callback.
  void onReport(ReportHook Hook) { m_ReportHook = std::move(Hook); }

  /// @brief Adds or changes a target.
  /// @param Slots statements at once that this VM may run there
  /// @param Connections links that this VM may hold there
  void configure(const TargetId &Target, const std::string &Address,
                 const std::string &DatabaseName, unsigned Slots,
                 unsigned Connections);

  /// @brief Lends a link on which nothing runs, at once or later.
  /// @param Account whose statement it is for; empty for the proxy's own
  void acquire(const TargetId &Target, const AccountId &Account,
               Instant Deadline, LendCallback Callback);

  /// @brief Runs a caller's statement on a lent link.
  void run(LinkId Link, CallerId Caller, StatementId Statement, SharedBody Body,
           AnswerCallback Callback);

  /// @brief Runs a statement of the proxy's own on a lent link.
  void runInternal(LinkId Link, const std::string &Text,
                   AnswerCallback Callback);

  /// @brief Gives a lent link back. A link that is not known to be clean is
  /// closed and never lent again.
  void release(LinkId Link, bool Clean);

  /// @brief Target of a lent link.
  TargetId targetOf(LinkId Link) const;

  void opened(const LinkOpened &Event);
  void failed(const LinkFailed &Event);
  void answered(const LinkAnswered &Event);

private:
  struct Waiter {
    AccountId Account;
    LendCallback Callback;
    TimerId Timer;
  };
  struct Target {
    std::string Address;
    std::string DatabaseName;
    unsigned Slots = 1;
    unsigned Connections = 1;
    unsigned Lent = 0;
    unsigned Opening = 0;
    unsigned Total = 0;
    std::deque<LinkId> Idle;
    std::map<std::uint64_t, Waiter> Waiters; ///< By order of arrival.
  };
  struct Link {
    TargetId At;
    bool Open = false;
    bool Lent = false;
    StatementId Running;
    AnswerCallback Callback; ///< Set while a statement runs.
  };

  void serve(const TargetId &Id);
  void openMore(const TargetId &Id, Target &At);
  void expire(const TargetId &Id, std::uint64_t Ticket);
  void forget(LinkId Id, bool CloseIt);

  NodeContext &m_Context;
  OpenHook m_OpenHook;
  ReportHook m_ReportHook;
  std::map<TargetId, Target> m_Targets;
  std::unordered_map<LinkId, Link> m_Links;
  std::uint64_t m_LastTicket = 0;
};

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_TARGET_LINKPOOL_H
