#include "cli/Commands.h"
#include "cli/DemoSteps.h"

#include <iostream>
#include <memory>

namespace bergamotstage::cli {
namespace {

int runDemo(const DemoOptions &Options) {
  int Failures = DemoSteps(Options).run();
  std::cout << (Failures == 0 ? "demo passed" : "demo failed") << "\n";
  return Failures == 0 ? ExitSuccess : ExitFailure;
}

} // namespace

void addDemo(CLI::App &App, int &Code) {
  auto Options = std::make_shared<DemoOptions>();
  CLI::App *Command = App.add_subcommand(
      "demo", "Drive sessions through two proxies that run already.");
  Command->add_option("--proxy-a", Options->ProxyA, "Callers' address of A.")
      ->required();
  Command->add_option("--proxy-b", Options->ProxyB, "Callers' address of B.")
      ->required();
  Command->add_option("--platform", Options->Platform, "Stand-in's address.")
      ->required();
  Command->add_option("--vm-a", Options->VmA, "Operators' address of A.")
      ->required();
  Command->add_option("--rules", Options->RulesFile, "Rules in force.")
      ->required();
  Command->callback([Options, &Code] { Code = runDemo(*Options); });
}

} // namespace bergamotstage::cli
