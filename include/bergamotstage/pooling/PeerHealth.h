#ifndef BERGAMOTSTAGE_POOLING_PEERHEALTH_H
#define BERGAMOTSTAGE_POOLING_PEERHEALTH_H

#include "bergamotstage/core/Ids.h"
#include "bergamotstage/core/Time.h"

#include <map>
#include <vector>

namespace bergamotstage::pooling {

/// @brief Failure detector for other VMs.
///
/// A VM that is silent while an answer is outstanding is pinged, and is lost
/// if the ping times out. A lost VM is pinged until it responds.
class PeerHealth {
public:
  /// @brief VMs to ping and VMs to declare lost.
  struct Actions {
    std::vector<VmId> Ping;
    std::vector<VmId> Lost;
  };

  /// @brief A message that requires an answer was sent.
  void expectAnswer(const VmId &Vm, Instant Now);
  /// @brief A message was received from the VM.
  /// @return whether the VM was lost before
  bool onReceived(const VmId &Vm, Instant Now);
  /// @brief The connection to the VM failed or could not be opened.
  void onConnectionLost(const VmId &Vm, Instant Now);
  void remove(const VmId &Vm) { m_Peers.erase(Vm); }

  /// @brief Checks all timeouts. Complexity: linear in the VMs.
  Actions check(Instant Now);

  bool isLost(const VmId &Vm) const;
  /// @brief Time since a VM was lost; zero if it is not lost.
  Duration lostDuration(const VmId &Vm, Instant Now) const;

private:
  struct Peer {
    Instant AwaitingSince{}; ///< Zero if no answer is due.
    Instant PingedAt{};
    bool PingPending = false;
    bool Lost = false;
    Instant LostAt{};
  };
  std::map<VmId, Peer> m_Peers;
};

} // namespace bergamotstage::pooling

#endif // BERGAMOTSTAGE_POOLING_PEERHEALTH_H
