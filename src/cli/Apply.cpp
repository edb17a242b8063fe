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
      App.add_subcommand("apply", "Apply a new revision of the rules.");
  Command->add_option("--vm", Options->Vm, "Peer address of any VM.")
      ->required();
  Command->add_option("--rules", Options->RulesFile, "File of rules.")
      ->required();
  Command
      ->add_option("--expect", Options->Edit.ExpectedRevision,
                   "Revision that the edit is based on.")
      ->required();
  Command->add_option("--edit-id", Options->Edit.EditId,
                      "Edit id of an earlier attempt whose answer was lost.");
  Command->footer(
      "Exit codes: 0 in force everywhere; 3 refused, nothing changed;\n"
      "4 another edit came first, its diff is printed; 1 outcome unknown.\n"
      "Example:\n  bergamotstage apply --vm 127.0.0.1:7101 --expect 3 "
      "--rules site.rules");
  Command->callback([Options, &Code] { Code = apply(*Options); });
}

} // namespace bergamotstage::cli
