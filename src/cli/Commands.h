#ifndef BERGAMOTSTAGE_CLI_COMMANDS_H
#define BERGAMOTSTAGE_CLI_COMMANDS_H

#include <CLI/CLI.hpp>

namespace bergamotstage::cli {

/// @brief Exit codes of the program.
enum ExitCode : int {
  ExitSuccess = 0,
  ExitFailure = 1,  ///< The work could not be done.
  ExitUsage = 2,    ///< The command line is wrong.
  ExitInvalid = 3,  ///< Settings or rules were refused.
  ExitConflict = 4, ///< Another operator's edit came first.
  ExitCut = 5       ///< A shutdown cut requests.
};

/// @brief Each adds one subcommand, which sets the exit code when it runs.
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
