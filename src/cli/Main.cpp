#include "cli/Commands.h"

int main(int Argc, char **Argv) {
  using namespace bergamotstage::cli;
  CLI::App App{"A database proxy with session consistency.", "bergamotstage"};
  App.set_version_flag("--version", "bergamotstage 0.1.0");
  App.require_subcommand(1);
  App.footer("Examples:\n"
             "  bergamotstage check --settings vm.json --rules site.rules\n"
             "  bergamotstage serve --settings vm.json\n"
             "  bergamotstage apply --vm 127.0.0.1:7101 --expect 3 "
             "--rules site.rules\n");
  int Code = ExitSuccess;
  addServe(App, Code);
  addSite(App, Code);
  addExplainLog(App, Code);
  addCheck(App, Code);
  addApply(App, Code);
  addExplain(App, Code);
  addRules(App, Code);
  addMembers(App, Code);
  addStatus(App, Code);
  addDrain(App, Code);
  addKeys(App, Code);
  addStandIn(App, Code);
  addFault(App, Code);
  addDemo(App, Code);
  addBench(App, Code);
  try {
    App.parse(Argc, Argv);
  } catch (const CLI::ParseError &Error) {
    return App.exit(Error) == 0 ? ExitSuccess : ExitUsage;
  }
  return Code;
}
