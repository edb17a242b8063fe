#ifndef BERGAMOTSTAGE_FLEET_RULESEDITOR_H
#define BERGAMOTSTAGE_FLEET_RULESEDITOR_H

#include "bergamotstage/fleet/RulesHead.h"
#include "bergamotstage/fleet/RulesMessage.h"
#include "bergamotstage/node/NodeContext.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace bergamotstage {

/// @brief Puts an operator's edit of the rules in force.
///
/// The text is stored as an immutable object, and one conditional write moves
/// the head from the expected revision to it. The write carries the edit's id:
/// after a lost answer, a repeated request on any VM yields its outcome. The
/// answer is "accepted" once the revision is in force everywhere: all VMs have
/// confirmed it, or a majority has and the others' freshness has expired.
class RulesEditor {
public:
  struct Hooks {
    std::function<const RulesHead &()> GetHead;
    std::function<const std::string &()> GetText;
    /// @brief Called after a write sent at the given time moved the head.
    std::function<void(const RulesHead &, const std::string &, Instant)>
        OnHeadMoved;
  };

  RulesEditor(NodeContext &Context, Hooks Callbacks)
      : m_Context(Context), m_Hooks(std::move(Callbacks)) {}

  /// @brief Handles the verb "apply" with arguments "text", "expect" and
  /// "edit-id". The answer starts with the outcome: "accepted", "refused",
  /// "conflict", "unavailable" (nothing changed), "unknown" or "unconfirmed".
  void apply(const OperatorRequested &Event);

  /// @brief Handles a VM's confirmation that it serves under no revision older
  /// than the given one.
  void onConfirm(const PeerReceived &Event, Revision Number);

private:
  /// @brief An edit that is not answered yet.
  struct PendingEdit {
    OperatorCallId Call;
    std::string Text;
    Revision Expected;
    RulesHead Head;
    std::uint64_t HeadVersion = 0;
    Instant Deadline{};
    Instant WriteTime = DistantPast;    ///< The head moved later than this.
    Instant MajorityTime = DistantPast; ///< A majority has confirmed since.
    std::map<VmId, Incarnation> Confirmed;
  };
  using EditPtr = std::shared_ptr<PendingEdit>;

  void readRows(const EditPtr &Edit);
  void onRows(const EditPtr &Edit, const RowsRead &Read);
  void putObject(const EditPtr &Edit);
  void moveHead(const EditPtr &Edit);
  void onWriteDecided(const EditPtr &Edit, const PlatformAnswer &Answer);
  void readConflictingHead(const EditPtr &Edit);
  void readConflictingText(const EditPtr &Edit, const RulesHead &InForce);
  void finishWithConflict(const EditPtr &Edit, const RulesHead &InForce,
                          const std::string &Text);
  void onHeadMoved(const EditPtr &Edit);
  void awaitConfirmations(const EditPtr &Edit);
  bool isInForceEverywhere(PendingEdit &Edit) const;
  void announce(const PendingEdit &Edit);
  void retryLater(std::function<void()> Retry);
  bool hasConfirmed(const PendingEdit &Edit, const MemberState &Member) const;
  void finish(const EditPtr &Edit, bool Succeeded, std::string Body);

  NodeContext &m_Context;
  Hooks m_Hooks;
  std::map<Revision, EditPtr> m_AwaitingConfirms;
};

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_FLEET_RULESEDITOR_H
