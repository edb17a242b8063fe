#include "cli/Commands.h"
#include "platform/BootSettings.h"
#include "runtime/TextFile.h"
#include "runtime/site/PolicyFile.h"
#include "runtime/site/SiteDaemon.h"

#include <iostream>
#include <memory>

namespace bergamotstage::cli {
namespace {

int checkSite(const runtime::SiteOptions &Chosen) {
  std::string Path = Chosen.SettingsPath.empty() ? platform::bootSettingsPath()
                                                 : Chosen.SettingsPath;
  auto Text = runtime::readTextFile(Path);
  if (!Text) {
    std::cerr << Text.error() << "\n";
    return ExitFailure;
  }
  auto Policies = runtime::PolicyFile(Chosen.RulesPath).read();
  if (!Policies)
    std::cerr << Policies.error() << "\n";
  auto Parsed = platform::parseBootSettings(*Text);
  if (Parsed)
    return Policies ? ExitSuccess : ExitInvalid;
  for (const platform::BootFault &Fault : Parsed.error())
    std::cerr << Path << ": " << Fault.Path << " " << Fault.Reason << "\n";
  return ExitInvalid;
}

int serveSite(const runtime::SiteOptions &Chosen) {
  auto Ended = runtime::runSite(Chosen);
  if (Ended)
    return ExitSuccess;
  std::cerr << Ended.error() << "\n";
  return ExitFailure;
}

} // namespace

void addSite(CLI::App &App, int &Code) {
  auto Chosen = std::make_shared<runtime::SiteOptions>();
  auto Check = std::make_shared<bool>(false);
  CLI::App *Command = App.add_subcommand(
      "site", "Run one VM on the platform's machines, with its settings.");
  Command->add_option("--settings", Chosen->SettingsPath,
                      "Settings file; by default the one that the platform "
                      "names in the environment.");
  Command->add_option("--rules", Chosen->RulesPath,
                      "File of policies, one on each line; read again when it "
                      "changes and on SIGHUP.");
  Command->add_option("--metrics-port", Chosen->MetricsPort,
                      "Port for metrics on the VM's address; 0 for none.");
  Command
      ->add_option("--log-level", Chosen->LogLevel,
                   "Least severe lines of the log.")
      ->check(CLI::IsMember({"debug", "info", "warning", "error"}));
  Command->add_flag("--check", *Check, "Only check the settings.");
  Command->callback([Chosen, Check, &Code] {
    Code = *Check ? checkSite(*Chosen) : serveSite(*Chosen);
  });
}

} // namespace bergamotstage::cli
