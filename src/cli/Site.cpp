#include "cli/Commands.h"
#include "cli/EarlyHangup.h"
#include "platform/BootSettings.h"
#include "runtime/TextFile.h"
#include "runtime/site/PolicyFile.h"
#include "runtime/site/SiteDaemon.h"

#include <iostream>
#include <memory>

namespace bergamotstage::cli {
namespace {

int checkSite(const runtime::SiteOptions &Options) {
  std::string Path = Options.SettingsPath.empty() ? platform::bootSettingsPath()
                                                  : Options.SettingsPath;
  auto Text = runtime::readTextFile(Path);
  if (!Text) {
    std::cerr << Text.error() << "\n";
    return ExitFailure;
  }
  auto Policies = runtime::PolicyFile(Options.PolicyPath).read();
  if (!Policies)
    std::cerr << Policies.error() << "\n";
  auto Parsed = platform::parseBootSettings(*Text);
  if (Parsed)
    return Policies ? ExitSuccess : ExitInvalid;
  for (const platform::BootFault &Error : Parsed.error())
    std::cerr << Path << ": " << Error.Path << " " << Error.Reason << "\n";
  return ExitInvalid;
}

int serveSite(const runtime::SiteOptions &Options) {
  auto Result = runtime::runSite(Options);
  if (Result)
    return ExitSuccess;
  std::cerr << Result.error() << "\n";
  return ExitFailure;
}

} // namespace

void addSite(CLI::App &App, int &Code) {
  auto Options = std::make_shared<runtime::SiteOptions>();
  auto CheckOnly = std::make_shared<bool>(false);
  CLI::App *Command = App.add_subcommand(
      "site", "Run one VM on the platform's machines, with its settings.");
  Command->add_option("--settings", Options->SettingsPath,
                      "Settings file; by default the one that the platform "
                      "names in the environment.");
  Command->add_option("--rules", Options->PolicyPath,
                      "File of policies, one on each line; read again when it "
                      "changes and on SIGHUP.");
  Command->add_option("--metrics-port", Options->MetricsPort,
                      "Port for metrics on the VM's address; 0 disables them.");
  Command
      ->add_option("--log-level", Options->LogLevel,
                   "Lowest severity that is logged.")
      ->check(CLI::IsMember({"debug", "info", "warning", "error"}));
  Command->add_flag("--check", *CheckOnly,
                    "Check the settings and policies, then exit.");
  Options->SignalsHandled = deliverEarlyHangup;
  Command->callback([Options, CheckOnly, &Code] {
    Code = *CheckOnly ? checkSite(*Options) : serveSite(*Options);
  });
}

} // namespace bergamotstage::cli
