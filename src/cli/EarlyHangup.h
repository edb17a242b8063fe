#ifndef BERGAMOTSTAGE_CLI_EARLYHANGUP_H
#define BERGAMOTSTAGE_CLI_EARLYHANGUP_H

namespace bergamotstage::cli {

/// @brief Delivers a SIGHUP that arrived since the start of `site`.
///
/// `site` starts with SIGHUP blocked, before any library is initialized: the
/// default action would end a process that does not handle the signal yet. To
/// be called once it does. Does nothing in other subcommands.
void deliverEarlyHangup();

} // namespace bergamotstage::cli

#endif // BERGAMOTSTAGE_CLI_EARLYHANGUP_H
