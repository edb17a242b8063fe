#include "cli/Commands.h"
#include "cli/Files.h"
#include "cli/OperatorClient.h"

#include <iostream>
#include <memory>
#include <random>

namespace bergamotstage::cli {
namespace {

struct ApplyOptions {
  std::string Vm;
  std::string RulesFile;
  unsigned Expected = 0;
  std::string EditId;
};

std::string newEditId() {
  std::random_device Device;
  return "edit-" + std::to_string(Device()) + "-" + std::to_string(Device());
}

int apply(const ApplyOptions &Options) {
  auto Text = readFile(Options.RulesFile);
  if (!Text) {
    std::cerr << Text.error() << "\n";
    return ExitFailure;
  }
  auto Answer = askVm(
      Options.Vm, "apply",
      {{"text", *Text},
       {"expect", std::to_string(Options.Expected)},
       {"edit-id", Options.EditId.empty() ? newEditId() : Options.EditId}});
  if (!Answer) {
    std::cerr << Answer.error() << "\n";
    return ExitFailure;
  }
  (Answer->Succeeded ? std::cout : std::cerr) << Answer->Body << "\n";
  if (Answer->Succeeded)
    return ExitSuccess;
  return Answer->Body.rfind("conflict", 0) == 0 ? ExitConflict : ExitInvalid;
}

} // namespace

void addApply(CLI::App &App, int &Code) {
  auto Options = std::make_shared<ApplyOptions>();
  CLI::App *Command =
      App.add_subcommand("apply", "Put a new revision of the rules in force.");
  Command->add_option("--vm", Options->Vm, "Peer address of any VM.")
      ->required();
  Command->add_option("--rules", Options->RulesFile, "Rules text.")->required();
  Command
      ->add_option("--expect", Options->Expected,
                   "Revision that the edit started from.")
      ->required();
  Command->add_option("--edit-id", Options->EditId,
                      "Repeat of an edit whose answer was lost.");
  Command->callback([Options, &Code] { Code = apply(*Options); });
}

} // namespace bergamotstage::cli
