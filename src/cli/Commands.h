#ifndef BERGAMOTSTAGE_CLI_COMMANDS_H
#define BERGAMOTSTAGE_CLI_COMMANDS_H

#include <CLI/CLI.hpp>

namespace bergamotstage::cli {

/// @brief Exit codes of the program.
enum ExitCode : int {
  ExitSuccess = 0,
  ExitFailure = 1,        ///< The operation failed.
  ExitUsage = 2,          ///< The command line is invalid.
  ExitInvalid = 3,        ///< Settings, rules or an edit are invalid.
  ExitConflict = 4,       ///< Another edit was applied first.
  ExitRequestsAborted = 5 ///< Shutdown aborted requests in flight.
};

/// @brief Each function adds a subcommand that stores its exit code in Code.
void addServe(CLI::App &App, int &Code);
void addSite(CLI::App &App, int &Code);
void addCheck(CLI::App &App, int &Code);
void addApply(CLI::App &App, int &Code);
void addExplain(CLI::App &App, int &Code);
void addExplainLog(CLI::App &App, int &Code);
void addRules(CLI::App &App, int &Code);
void addMembers(CLI::App &App, int &Code);
void addStatus(CLI::App &App, int &Code);
void addDrain(CLI::App &App, int &Code);
void addKeys(CLI::App &App, int &Code);
void addStandIn(CLI::App &App, int &Code);
void addFault(CLI::App &App, int &Code);
void addDemo(CLI::App &App, int &Code);
void addBench(CLI::App &App, int &Code);

} // namespace bergamotstage::cli

#endif // BERGAMOTSTAGE_CLI_COMMANDS_H
