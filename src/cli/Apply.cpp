#include "cli/Commands.h"
#include "cli/Edit.h"
#include "runtime/TextFile.h"

#include <iostream>
#include <memory>

namespace bergamotstage::cli {
namespace {

struct ApplyOptions {
  std::string Vm;
  std::string RulesFile;
  RulesEdit Edit;
};

int apply(ApplyOptions &Options) {
  auto Text = runtime::readTextFile(Options.RulesFile);
  if (!Text) {
    std::cerr << Text.error() << "\n";
    return ExitFailure;
  }
  Options.Edit.Text = *Text;
  return applyEdit(Options.Vm, Options.Edit);
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
      ->add_option("--expect", Options->Edit.Expected,
                   "Revision that the edit started from.")
      ->required();
  Command->add_option("--edit-id", Options->Edit.EditId,
                      "Repeat of an edit whose answer was lost.");
  Command->footer(
      "Exit codes: 0 in force everywhere; 3 refused, nothing changed;\n"
      "4 another edit came first, its difference is printed; 1 not known.\n"
      "Example:\n  bergamotstage apply --vm 127.0.0.1:7101 --expect 3 "
      "--rules site.rules");
  Command->callback([Options, &Code] { Code = apply(*Options); });
}

} // namespace bergamotstage::cli
