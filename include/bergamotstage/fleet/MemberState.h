#ifndef BERGAMOTSTAGE_FLEET_MEMBERSTATE_H
#define BERGAMOTSTAGE_FLEET_MEMBERSTATE_H

#include "bergamotstage/core/Ids.h"

#include <map>
#include <string>

namespace bergamotstage {

/// @brief What this VM knows of one VM of the fleet, itself included.
///
/// Steers performance only: no safety rests on it.
struct MemberState {
  VmId Vm;
  DataCentreId DataCentre;
  std::string PeerAddress;
  Incarnation Start;     ///< 0 while not heard of.
  bool Reachable = true; ///< Answered lately, or is too new to tell.
  bool Leaving = false;  ///< Gets no new work.
  double Cores = 1;      ///< Processors that it may use, also parts of one.
};

/// @brief All known VMs by name.
using MemberMap = std::map<VmId, MemberState>;

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_FLEET_MEMBERSTATE_H
