#ifndef BERGAMOTSTAGE_FLEET_MEMBERSTATE_H
#define BERGAMOTSTAGE_FLEET_MEMBERSTATE_H

#include "bergamotstage/core/Ids.h"

#include <map>
#include <string>

namespace bergamotstage {

/// @brief This VM's view of one VM of the fleet, itself included.
///
/// Guides performance only; no safety property depends on it.
struct MemberState {
  VmId Vm;
  DataCentreId DataCentre;
  std::string PeerAddress;
  Incarnation Start;     ///< 0 until the VM itself has reported it.
  bool Reachable = true; ///< Alive recently, or added recently.
  bool Leaving = false;  ///< Receives no new statements.
  double Cores = 1;      ///< Processors that it may use; may be fractional.
};

/// @brief All known VMs by name.
using MemberMap = std::map<VmId, MemberState>;

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_FLEET_MEMBERSTATE_H
