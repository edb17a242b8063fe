#ifndef BERGAMOTSTAGE_NODE_NODESETTINGS_H
#define BERGAMOTSTAGE_NODE_NODESETTINGS_H

#include "bergamotstage/core/Ids.h"
#include "bergamotstage/core/Time.h"

#include <string>

namespace bergamotstage {

/// @brief Settings of a VM, fixed at the start of its process.
struct NodeSettings {
  VmId Vm;
  DataCentreId DataCentre;
  Incarnation ProcessIncarnation; ///< Higher than in all earlier processes.
  std::string PeerAddress;        ///< IP address and port for peers.
  std::string TokenSecret;        ///< Shared by all VMs; authenticates tokens.
  Duration StatementTimeout = seconds(10); ///< Limit for a statement.
  Duration ConfirmTimeout = seconds(3); ///< Limit for a commit's confirmation.
  Duration RulesPollInterval = seconds(2);
  Duration GroupsPollInterval = milliseconds(500);
  Duration PlatformTimeout = seconds(2);
  Duration DrainTimeout = seconds(30); ///< Limit for a drain.
  unsigned MaxCallers = 10000;
};

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_NODE_NODESETTINGS_H
