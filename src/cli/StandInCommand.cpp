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

standin::StandInSettings readStandIn(const Json &Root) {
  standin::StandInSettings Out;
  Out.ListenAddress = Root.at("listen").get<std::string>();
  Out.LagMilliseconds = Root.value("lag_ms", 0U);
  for (const Json &Entry : Root.at("groups")) {
    standin::StandInGroup Group;
    Group.Database = DatabaseId(Entry.at("database").get<std::string>());
    for (const Json &Target : Entry.at("targets"))
      Group.Targets.push_back({TargetId(Target.at("id").get<std::string>()),
                               Target.at("port").get<std::uint16_t>()});
    Out.Groups.push_back(std::move(Group));
  }
  for (const Json &Entry : Root.at("vms"))
    Out.Vms.push_back({VmId(Entry.at("id").get<std::string>()),
                       DataCentreId(Entry.at("data_centre").get<std::string>()),
                       Entry.at("peer_address").get<std::string>(), false});
  return Out;
}

int standIn(const std::string &SettingsFile, const std::string &RulesFile) {
  auto Text = runtime::readTextFile(SettingsFile);
  auto Rules = runtime::readTextFile(RulesFile);
  if (!Text || !Rules) {
    std::cerr << (Text ? Rules.error() : Text.error()) << "\n";
    return ExitFailure;
  }
  try {
    standin::StandInSettings Chosen = readStandIn(Json::parse(*Text));
    Chosen.RulesText = *Rules;
    auto Ended = standin::runStandIn(Chosen, waitForSignal);
    if (!Ended) {
      std::cerr << Ended.error() << "\n";
      return ExitFailure;
    }
  } catch (const Json::exception &Fault) {
    std::cerr << SettingsFile << ": " << Fault.what() << "\n";
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

int fault(const FaultOptions &Options) {
  auto Known = setFault(Options.Platform, Options.Kind, Options.Name,
                        !Options.Off, Options.Milliseconds);
  if (Known && *Known)
    return ExitSuccess;
  std::cerr << (Known ? "unknown fault or name" : Known.error()) << "\n";
  return ExitFailure;
}

} // namespace

void addStandIn(CLI::App &App, int &Code) {
  auto SettingsFile = std::make_shared<std::string>();
  auto RulesFile = std::make_shared<std::string>();
  CLI::App *Command = App.add_subcommand(
      "standin", "Run a stand-in platform and its database groups.");
  Command->add_option("--settings", *SettingsFile, "JSON.")->required();
  Command->add_option("--rules", *RulesFile, "First rules text.")->required();
  Command->callback([SettingsFile, RulesFile, &Code] {
    Code = standIn(*SettingsFile, *RulesFile);
  });
}

void addFault(CLI::App &App, int &Code) {
  auto Options = std::make_shared<FaultOptions>();
  CLI::App *Command =
      App.add_subcommand("fault", "Set a fault of a stand-in platform.");
  Command->add_option("--platform", Options->Platform, "Its address.")
      ->required();
  Command->add_option("kind", Options->Kind, "Such as cut-target.")->required();
  Command->add_option("--name", Options->Name, "Target or VM.");
  Command->add_option("--milliseconds", Options->Milliseconds, "Delay or lag.");
  Command->add_flag("--off", Options->Off, "End the fault.");
  Command->callback([Options, &Code] { Code = fault(*Options); });
}

} // namespace bergamotstage::cli
