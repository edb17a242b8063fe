#ifndef BERGAMOTSTAGE_TARGET_MONITORLINKPOOL_H
#define BERGAMOTSTAGE_TARGET_MONITORLINKPOOL_H

#include "bergamotstage/node/NodeContext.h"
#include "bergamotstage/target/LinkResult.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace bergamotstage {

/// @brief Pool of the connections for the proxy's own statements:
/// confirmations, heartbeats and fencing.
///
/// They use no slot of a target but count towards its connections. The timeout
/// of a statement covers connecting and the answer; a link that exceeds it is
/// closed, and late events of it are ignored.
class MonitorLinkPool {
public:
  /// @brief Selects the link that a statement runs on.
  enum class Selection : std::uint8_t {
    WaitForFree, ///< A free link, or the next one to become free.
    FreeOrNew,   ///< A free link, or a new one that replaces a busy one.
    AlwaysNew    ///< A new link: separates a failed target from a failed link.
  };
  /// @brief Called with each result that shows whether the target is alive.
  using OutcomeHook = std::function<void(const TargetId &, const LinkResult &)>;

  explicit MonitorLinkPool(NodeContext &Context) : m_Context(Context) {}

  void setOutcomeHook(OutcomeHook Hook) { m_OutcomeHook = std::move(Hook); }

  /// @brief Adds or reconfigures a target.
  /// @param Limit most monitoring connections of this VM to the target
  void configure(const TargetId &Target, const std::string &Address,
                 const std::string &DatabaseName, unsigned Limit);

  /// @brief Runs a statement; the callback is called exactly once.
  void run(const TargetId &Target, std::string Text, Duration Timeout,
           Selection Mode, LinkResultCallback Callback);

  /// @brief Handle events of links; links of other pools are ignored.
  void onLinkOpened(const LinkOpened &Event);
  void onLinkFailed(const LinkFailed &Event);
  void onLinkAnswered(const LinkAnswered &Event);

private:
  struct PendingStatement {
    TargetId Target;
    std::string Text;
    LinkResultCallback Callback;
    TimerId Timer;
    std::optional<LinkId> Link; ///< Unset while it waits for a link.
    StatementId Id;             ///< 0 until it is sent.
  };
  struct LinkState {
    TargetId Target;
    bool Open = false;
    std::uint64_t Number = 0; ///< Statement, as in m_Pending; 0 if free.
  };
  struct TargetEntry {
    std::string Address;
    std::string DatabaseName;
    unsigned Limit = 1;
    std::vector<LinkId> Links; ///< Oldest first.
    std::deque<std::uint64_t> Waiting;
  };

  LinkId open(const TargetId &Target, TargetEntry &Entry, std::uint64_t Number);
  std::optional<LinkId> freeLink(const TargetEntry &Entry) const;
  void assign(LinkId Link, std::uint64_t Number);
  void closeOneLink(const TargetId &Target);
  void removeLink(LinkId Link, bool CloseIt, const std::string &Reason);
  void dispatch(const TargetId &Target);
  void onTimeout(std::uint64_t Number);
  void complete(std::uint64_t Number, const LinkResult &Result,
                bool ConcernsTarget = true);

  NodeContext &m_Context;
  OutcomeHook m_OutcomeHook;
  std::map<TargetId, TargetEntry> m_Targets;
  std::unordered_map<LinkId, LinkState> m_Links;
  std::map<std::uint64_t, PendingStatement> m_Pending;
  std::uint64_t m_LastNumber = 0;
};

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_TARGET_MONITORLINKPOOL_H
