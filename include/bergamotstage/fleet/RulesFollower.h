#ifndef BERGAMOTSTAGE_FLEET_RULESFOLLOWER_H
#define BERGAMOTSTAGE_FLEET_RULESFOLLOWER_H

#include "bergamotstage/fleet/Membership.h"
#include "bergamotstage/fleet/RulesHead.h"
#include "bergamotstage/fleet/RulesMessage.h"
#include "bergamotstage/node/NodeContext.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace bergamotstage {

/// @brief Keeps this VM at the newest revision of the rules and tracks when
/// that revision was last known to be current.
///
/// A new revision is learnt from the VM that accepted it, by gossip or from the
/// head's row in the store. The text is fetched from the object store or, if
/// the store does not answer, from another VM, and checked against the digest
/// in the object's name. A VM that starts puts no revision in force until one
/// was known to be current.
class RulesFollower {
public:
  struct Hooks {
    /// @brief Latest time at which a quorum attested the local revision.
    std::function<Instant()> GetLastQuorumAttestation;
    /// @brief Called after a revision was put in force.
    std::function<void()> OnInForce;
  };

  RulesFollower(NodeContext &Context, Hooks Callbacks)
      : m_Context(Context), m_Hooks(std::move(Callbacks)) {}

  /// @brief Starts to poll the head.
  void start();

  void onMessage(const VmId &From, const RulesMessage &Message);
  /// @brief Handles a peer's revision and the age of its last store read.
  void onAck(const VmId &From, const GossipAck &Ack, Instant ProbeSent);
  /// @brief Installs a text to which this VM itself has moved the head.
  /// @param WriteTime time before which the head had not moved
  void onEditAccepted(const RulesHead &Head, const std::string &Text,
                      Instant WriteTime);

  LocalRevision localRevision() const;
  /// @brief Text of the local revision; empty before the first one.
  const std::string &text() const { return m_Text; }
  const RulesHead &head() const { return m_LocalHead; }

private:
  void pollHead();
  void schedulePoll();
  bool isPollDue();
  void onHeadRow(const PlatformAnswer &Answer, Instant RequestTime);
  void onNewerHead(const RulesHead &Head, const std::optional<VmId> &From);
  void fetchText();
  void continueFetch();
  void requestTextFromPeer(const RulesHead &Requested);
  std::optional<VmId> chooseReachablePeer();
  void installText(const RulesHead &Head, const std::string &Text);
  void recordStoreRead(Instant Time);
  void updateRulesInForce();
  void sendPendingConfirms();

  NodeContext &m_Context;
  Hooks m_Hooks;
  RulesHead m_LocalHead;
  std::string m_Text;
  std::shared_ptr<RuleSet> m_Rules;
  RulesHead m_NewestHead;                  ///< Newest revision known to exist.
  Instant m_NewestStoreTime = DistantPast; ///< When last seen as the head.
  std::optional<VmId> m_TextSource;        ///< VM that has m_NewestHead's text.
  std::set<VmId> m_PendingConfirms;
  Instant m_StoreTime = DistantPast;
  bool m_EverCurrent = false; ///< A local revision was known to be current.
  bool m_FetchActive = false;
  bool m_PollActive = false;
  Duration m_Backoff{}; ///< Delay after failed reads of the head.
  Instant m_NextPoll{};
};

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_FLEET_RULESFOLLOWER_H
