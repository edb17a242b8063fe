#ifndef BERGAMOTSTAGE_RUNTIME_STARTUPOPTIONS_H
#define BERGAMOTSTAGE_RUNTIME_STARTUPOPTIONS_H

#include "bergamotstage/node/Event.h"
#include "bergamotstage/wire/Frontend.h"

namespace bergamotstage::runtime {

/// @brief Extracts user, database and bergamotstage.* settings from a startup
/// packet, including those in its `options`. Other settings are ignored.
/// Complexity: linear in the size of the packet.
CallerOpened parseStartup(CallerId Caller, const wire::Startup &Message);

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_STARTUPOPTIONS_H
