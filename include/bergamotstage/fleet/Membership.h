#ifndef BERGAMOTSTAGE_FLEET_MEMBERSHIP_H
#define BERGAMOTSTAGE_FLEET_MEMBERSHIP_H

#include "bergamotstage/fleet/MemberTable.h"
#include "bergamotstage/node/NodeContext.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace bergamotstage {

/// @brief The revision of the rules that a VM holds and reports to others.
struct LocalRevision {
  Revision Number;
  std::string Object;
  Instant StoreTime = DistantPast; ///< When the store last held none newer.
  bool Attests = false; ///< This process once knew its revision to be current.
};

/// @brief Gossip about the VMs of the fleet and the rules that they hold.
///
/// Each VM probes one random peer per period, and the ack carries the peer's
/// view of the fleet as ages. The number of messages per VM does not depend on
/// the size of the fleet; their length grows by one byte per member. Ages count
/// from the time at which the probe was sent, so that a late ack never makes a
/// VM seem alive later than it was.
class Membership {
public:
  struct Hooks {
    std::function<LocalRevision()> GetLocalRevision;
    /// @brief Called when a VM has answered a probe sent at the given time.
    std::function<void(const VmId &, const GossipAck &, Instant)> OnAck;
    /// @brief Called when a VM was added, dropped, marked as leaving or changed
    /// in reachability.
    std::function<void()> OnChanged;
  };

  Membership(NodeContext &Context, Hooks Callbacks);

  void start();
  void onMessage(const PeerReceived &Event);
  /// @brief Announces to all VMs that this one leaves the fleet.
  void leave();

  const MemberTable &table() const { return m_Table; }
  /// @brief Latest time at which a quorum attested that no revision newer than
  /// the local one was accepted.
  Instant lastQuorumAttestation() const;

private:
  struct SentProbe {
    VmId To;
    Instant Time;
  };

  void requestVmList();
  void onVmList(const PlatformAnswer &Answer);
  void runPeriod();
  void probeRandomPeers(unsigned Count);
  void probe(const VmId &To);
  void sendAck(const VmId &From, const GossipProbe &Probe);
  void onAck(const VmId &From, const GossipAck &Ack);
  void mergeRecord(const MemberRecord &Record, LivenessAge Age);
  const MemberTable::Entry *choosePeer();
  Duration suspectTimeout() const;
  void publishMembers();
  bool updateReachability();
  void expireProbes();

  NodeContext &m_Context;
  Hooks m_Hooks;
  MemberTable m_Table;
  std::map<std::uint64_t, SentProbe> m_Probes;
  std::uint64_t m_LastProbe = 0;
  Duration m_ListDelay;
  bool m_HasUnpublished = false; ///< The table changed since publishMembers().
};

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_FLEET_MEMBERSHIP_H
