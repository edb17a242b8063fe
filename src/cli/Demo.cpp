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
      "demo", "Run the demonstration against two running proxies.");
  Command
      ->add_option("--proxy-a", Options->ProxyA, "Caller address of proxy A.")
      ->required();
  Command
      ->add_option("--proxy-b", Options->ProxyB, "Caller address of proxy B.")
      ->required();
  Command
      ->add_option("--platform", Options->Platform,
                   "Address of the stand-in platform.")
      ->required();
  Command
      ->add_option("--vm-a", Options->VmA,
                   "Peer address of the VM that runs proxy A.")
      ->required();
  Command
      ->add_option("--rules", Options->RulesFile, "File of the rules in force.")
      ->required();
  Command->callback([Options, &Code] { Code = runDemo(*Options); });
}

} // namespace bergamotstage::cli
