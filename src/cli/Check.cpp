#include "bergamotstage/configcheck/Report.h"
#include "bergamotstage/rules/RuleSet.h"
#include "cli/Commands.h"
#include "platform/Documents.h"
#include "runtime/Settings.h"
#include "runtime/TextFile.h"

#include <iostream>
#include <memory>

namespace bergamotstage::cli {
namespace {

int checkSettings(const std::string &File) {
  auto Text = runtime::readTextFile(File);
  if (!Text) {
    std::cerr << Text.error() << "\n";
    return ExitFailure;
  }
  auto Settings = runtime::parseSettings(*Text);
  if (Settings) {
    std::cout << File << ": settings are valid\n";
    return ExitSuccess;
  }
  for (const runtime::SettingsError &Error : Settings.error())
    std::cerr << File << ": " << Error.Path << " " << Error.Reason << "\n";
  return ExitInvalid;
}

int checkRules(const std::string &File) {
  auto Text = runtime::readTextFile(File);
  if (!Text) {
    std::cerr << Text.error() << "\n";
    return ExitFailure;
  }
  auto Rules = parseRules(Revision(1), *Text);
  if (Rules) {
    std::cout << File << ": rules are valid\n";
    return ExitSuccess;
  }
  for (const RuleError &Error : Rules.error())
    std::cerr << File << ":" << Error.Line << ": " << Error.Reason << "\n";
  return ExitInvalid;
}

/// Options of a check of a configuration.
struct ConfigOptions {
  std::string File;
  std::string InForce; ///< File of the configuration in force; may be empty.
  bool Json = false;
  bool Strict = false; ///< Whether warnings count for the exit code.
};

configcheck::Draft readDraft(const std::string &File) {
  auto Text = runtime::readTextFile(File);
  if (Text)
    return platform::readConfigDraft(*Text);
  configcheck::Draft Unread;
  Unread.Findings.addError("", Text.error());
  return Unread;
}

int checkConfig(const ConfigOptions &Options) {
  configcheck::Draft Config = readDraft(Options.File);
  configcheck::Draft InForce;
  if (!Options.InForce.empty())
    InForce = readDraft(Options.InForce);
  configcheck::Report Result =
      configcheck::check(Config, Options.InForce.empty() ? nullptr : &InForce);
  std::cout << (Options.Json ? renderJson(Result, Options.File, Options.Strict)
                             : renderText(Result, Options.File));
  return exitCode(Result, Options.Strict);
}

void addConfigOptions(CLI::App &Command, ConfigOptions &Options) {
  CLI::Option *File = Command.add_option(
      "--config", Options.File,
      "File of a configuration. Exit code 0, also with warnings, or 2 with "
      "errors.");
  Command
      .add_option("--in-force", Options.InForce,
                  "File of the configuration in force, to list the changes.")
      ->needs(File);
  Command.add_flag("--json", Options.Json, "Print one JSON object.")
      ->needs(File);
  Command
      .add_flag("--strict", Options.Strict,
                "Exit code 1 where there are warnings, but no errors.")
      ->needs(File);
}

} // namespace

void addCheck(CLI::App &App, int &Code) {
  auto SettingsFile = std::make_shared<std::string>();
  auto RulesFile = std::make_shared<std::string>();
  CLI::App *Command = App.add_subcommand(
      "check",
      "Validate settings, rules or a configuration without applying them.");
  Command->add_option("--settings", *SettingsFile, "File of settings in JSON.");
  Command->add_option("--rules", *RulesFile, "File of rules, one per line.");
  auto Config = std::make_shared<ConfigOptions>();
  addConfigOptions(*Command, *Config);
  Command->callback([SettingsFile, RulesFile, Config, &Code] {
    if (!SettingsFile->empty())
      Code = checkSettings(*SettingsFile);
    if (Code == ExitSuccess && !RulesFile->empty())
      Code = checkRules(*RulesFile);
    if (Code == ExitSuccess && !Config->File.empty())
      Code = checkConfig(*Config);
  });
}

} // namespace bergamotstage::cli
