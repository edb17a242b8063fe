#include "cli/Commands.h"
#include "cli/OperatorClient.h"
#include "runtime/TextFile.h"
#include "standin/StandIn.h"

#include <asio.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <iostream>
#include <memory>

namespace bergamotstage::cli {
namespace {

using Json = nlohmann::json;

void waitForSignal() {
  asio::io_context Io;
  asio::signal_set Signals(Io, SIGTERM, SIGINT);
  Signals.async_wait([](std::error_code, int) {});
  Io.run();
}

standin::StandInSettings parseStandInSettings(const Json &Root) {
  standin::StandInSettings Settings;
  Settings.ListenAddress = Root.at("listen").get<std::string>();
  Settings.LagMilliseconds = Root.value("lag_ms", 0U);
  for (const Json &Entry : Root.at("groups")) {
    standin::StandInGroup Group;
    Group.Database = DatabaseId(Entry.at("database").get<std::string>());
    for (const Json &Target : Entry.at("targets"))
      Group.Targets.push_back({TargetId(Target.at("id").get<std::string>()),
                               Target.at("port").get<std::uint16_t>()});
    Settings.Groups.push_back(std::move(Group));
  }
  for (const Json &Entry : Root.at("vms"))
    Settings.Vms.push_back(
        {VmId(Entry.at("id").get<std::string>()),
         DataCentreId(Entry.at("data_centre").get<std::string>()),
         Entry.at("peer_address").get<std::string>(), false});
  return Settings;
}

int runStandInCommand(const std::string &SettingsFile,
                      const std::string &RulesFile) {
  auto Text = runtime::readTextFile(SettingsFile);
  auto Rules = runtime::readTextFile(RulesFile);
  if (!Text || !Rules) {
    std::cerr << (Text ? Rules.error() : Text.error()) << "\n";
    return ExitFailure;
  }
  try {
    standin::StandInSettings Settings =
        parseStandInSettings(Json::parse(*Text));
    Settings.RulesText = *Rules;
    auto Result = standin::runStandIn(Settings, waitForSignal);
    if (!Result) {
      std::cerr << Result.error() << "\n";
      return ExitFailure;
    }
  } catch (const Json::exception &Error) {
    std::cerr << SettingsFile << ": " << Error.what() << "\n";
    return ExitInvalid;
  }
  return ExitSuccess;
}

struct FaultOptions {
  std::string Platform;
  std::string Kind;
  std::string Name;
  unsigned Milliseconds = 0;
  bool Off = false;
};

int runFaultCommand(const FaultOptions &Options) {
  auto Accepted = setFault(Options.Platform, Options.Kind, Options.Name,
                           !Options.Off, Options.Milliseconds);
  if (Accepted && *Accepted)
    return ExitSuccess;
  if (Accepted)
    std::cerr << "unknown fault " << Options.Kind << ", or no target named \""
              << Options.Name << "\"\n";
  else
    std::cerr << Accepted.error() << "\n";
  return ExitFailure;
}

} // namespace

void addStandIn(CLI::App &App, int &Code) {
  auto SettingsFile = std::make_shared<std::string>();
  auto RulesFile = std::make_shared<std::string>();
  CLI::App *Command = App.add_subcommand(
      "standin", "Run a stand-in platform with its database groups.");
  Command->add_option("--settings", *SettingsFile, "Settings in JSON.")
      ->required();
  Command->add_option("--rules", *RulesFile, "Initial rules.")->required();
  Command->callback([SettingsFile, RulesFile, &Code] {
    Code = runStandInCommand(*SettingsFile, *RulesFile);
  });
}

void addFault(CLI::App &App, int &Code) {
  auto Options = std::make_shared<FaultOptions>();
  CLI::App *Command = App.add_subcommand(
      "fault", "Start or end a fault of a stand-in platform.");
  Command
      ->add_option("--platform", Options->Platform, "Address of the platform.")
      ->required();
  Command
      ->add_option("kind", Options->Kind, "Kind of fault, such as cut-target.")
      ->required();
  Command->add_option("--name", Options->Name,
                      "Target or VM that the fault applies to.");
  Command->add_option("--milliseconds", Options->Milliseconds,
                      "Delay or lag in milliseconds.");
  Command->add_flag("--off", Options->Off, "End the fault.");
  Command->callback([Options, &Code] { Code = runFaultCommand(*Options); });
}

} // namespace bergamotstage::cli
