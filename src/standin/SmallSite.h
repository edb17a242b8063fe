#ifndef BERGAMOTSTAGE_STANDIN_SMALLSITE_H
#define BERGAMOTSTAGE_STANDIN_SMALLSITE_H

#include "standin/LoopbackFleet.h"

#include <string>

namespace bergamotstage::standin {

/// @brief Returns the rules of a site with one database of three targets, one
/// client account "ward-1" with key "demo-key", the keyed route "waitlist" and
/// the open route "timetable".
std::string smallSiteRules();

/// @brief Returns the settings of a VM of the small site.
NodeSettings smallSiteVm(const std::string &Name, const std::string &Centre);

/// @brief Returns the connection parameters of a caller of the small site.
CallerOpened smallSiteOpening();

/// @brief Starts the small site with one VM and runs until the VM serves.
/// @param ExtraRules lines to add to the rules of the site
VmId startSmallSite(LoopbackFleet &Fleet, Duration Lag = milliseconds(20),
                    const std::string &ExtraRules = "");

/// @brief Connects a caller to the small site and runs until it is admitted.
LoopbackCaller &connectSmallSiteCaller(LoopbackFleet &Fleet, const VmId &Vm);

} // namespace bergamotstage::standin

#endif // BERGAMOTSTAGE_STANDIN_SMALLSITE_H
