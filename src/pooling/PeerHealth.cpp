#include "bergamotstage/pooling/PeerHealth.h"

namespace bergamotstage::pooling {
namespace {

/// Silence after which a VM is pinged; a statement takes about 10 ms.
constexpr Duration SilenceBeforePing = milliseconds(150);
/// Exceeds the 100 ms for which a CPU quota may stop a VM.
constexpr Duration PingTimeout = milliseconds(450);
/// Ping interval of lost VMs.
constexpr Duration LostPingInterval = milliseconds(500);

} // namespace

void PeerHealth::expectAnswer(const VmId &Vm, Instant Now) {
  Peer &State = m_Peers[Vm];
  if (State.AwaitingSince == Instant())
    State.AwaitingSince = Now;
}

bool PeerHealth::onReceived(const VmId &Vm, Instant Now) {
  Peer &State = m_Peers[Vm];
  bool WasLost = State.Lost;
  State.Lost = false;
  State.PingPending = false;
  // More answers may be outstanding; the silence starts anew.
  if (State.AwaitingSince != Instant())
    State.AwaitingSince = Now;
  return WasLost;
}

void PeerHealth::onConnectionLost(const VmId &Vm, Instant Now) {
  Peer &State = m_Peers[Vm];
  if (!State.Lost)
    State.LostAt = Now;
  State.Lost = true;
  State.PingPending = false;
  State.PingedAt = Now;
  State.AwaitingSince = Instant();
}

PeerHealth::Actions PeerHealth::check(Instant Now) {
  Actions Result;
  for (auto &[Vm, State] : m_Peers) {
    if (State.Lost) {
      if (State.PingedAt + LostPingInterval <= Now) {
        State.PingedAt = Now;
        Result.Ping.push_back(Vm);
      }
      continue;
    }
    if (State.PingPending) {
      if (State.PingedAt + PingTimeout <= Now)
        Result.Lost.push_back(Vm);
      continue;
    }
    if (State.AwaitingSince != Instant() &&
        State.AwaitingSince + SilenceBeforePing <= Now) {
      State.PingPending = true;
      State.PingedAt = Now;
      Result.Ping.push_back(Vm);
      State.AwaitingSince = Instant();
    }
  }
  return Result;
}

bool PeerHealth::isLost(const VmId &Vm) const {
  auto Found = m_Peers.find(Vm);
  return Found != m_Peers.end() && Found->second.Lost;
}

Duration PeerHealth::lostDuration(const VmId &Vm, Instant Now) const {
  auto Found = m_Peers.find(Vm);
  if (Found == m_Peers.end() || !Found->second.Lost)
    return Duration(0);
  return Now - Found->second.LostAt;
}

} // namespace bergamotstage::pooling
