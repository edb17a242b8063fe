#ifndef BERGAMOTSTAGE_NODE_STATUS_H
#define BERGAMOTSTAGE_NODE_STATUS_H

#include "bergamotstage/account/AccountManager.h"
#include "bergamotstage/node/NodeContext.h"
#include "bergamotstage/target/TargetManager.h"

#include <string>

namespace bergamotstage {

/// @brief Renders the state and the metrics of a VM as text for operators.
///
/// Contains the revision, VMs, groups with their targets, rate shares, and the
/// metrics of each client account, statement class and policy arm.
std::string renderStatusText(const NodeContext &Context,
                             const TargetManager &Targets,
                             const AccountManager &Accounts);

/// @brief Renders the same content as one JSON object.
std::string renderStatusJson(const NodeContext &Context,
                             const TargetManager &Targets,
                             const AccountManager &Accounts);

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_NODE_STATUS_H
