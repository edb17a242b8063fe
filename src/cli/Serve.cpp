#include "cli/Commands.h"
#include "runtime/Daemon.h"
#include "runtime/TextFile.h"

#include <iostream>
#include <memory>

namespace bergamotstage::cli {
namespace {

void printErrors(const std::string &File,
                 const std::vector<runtime::SettingsError> &Errors) {
  for (const runtime::SettingsError &Error : Errors)
    std::cerr << File << ": " << Error.Path << " " << Error.Reason << "\n";
}

int serve(const std::string &File) {
  auto Text = runtime::readTextFile(File);
  if (!Text) {
    std::cerr << Text.error() << "\n";
    return ExitFailure;
  }
  auto Settings = runtime::parseSettings(*Text);
  if (!Settings) {
    printErrors(File, Settings.error());
    return ExitInvalid;
  }
  auto Result = runtime::runDaemon(*Settings);
  if (!Result) {
    std::cerr << Result.error() << "\n";
    return ExitFailure;
  }
  return Result->RequestsAborted ? ExitRequestsAborted : ExitSuccess;
}

} // namespace

void addServe(CLI::App &App, int &Code) {
  auto File = std::make_shared<std::string>();
  CLI::App *Command = App.add_subcommand("serve", "Run one VM of the proxy.");
  Command->add_option("--settings", *File, "Settings in JSON.")->required();
  Command->callback([File, &Code] { Code = serve(*File); });
}

} // namespace bergamotstage::cli
