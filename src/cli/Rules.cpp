#include "bergamotstage/rules/Explain.h"
#include "cli/Commands.h"
#include "cli/OperatorClient.h"
#include "runtime/TextFile.h"

#include <iostream>
#include <map>
#include <memory>

namespace bergamotstage::cli {
namespace {

using Arguments = std::map<std::string, std::string>;

/// @brief Sends a request to a VM, prints its answer and returns an exit code.
int requestAndPrint(const std::string &Vm, const std::string &Verb,
                    const Arguments &Parameters) {
  auto Answer = requestFromVm(Vm, Verb, Parameters);
  if (!Answer) {
    std::cerr << Answer.error() << "\n";
    return ExitFailure;
  }
  (Answer->Succeeded ? std::cout : std::cerr) << Answer->Body << "\n";
  return Answer->Succeeded ? ExitSuccess : ExitFailure;
}

struct ExplainOptions {
  std::string Vm;
  std::string RulesFile;
  std::string Account;
  std::string Route;
  std::string Statement;
  std::uint64_t Session = 0;
};

int explainFile(const ExplainOptions &Options) {
  auto Text = runtime::readTextFile(Options.RulesFile);
  if (!Text) {
    std::cerr << Text.error() << "\n";
    return ExitFailure;
  }
  auto Rules = parseRules(Revision(1), *Text);
  if (!Rules) {
    std::cerr << Options.RulesFile
              << ": the rules are invalid: run check --rules for details\n";
    return ExitInvalid;
  }
  ExplainRequest Request{AccountId(Options.Account), RouteId(Options.Route),
                         Options.Statement, Options.Session};
  std::cout << explanationText(explainRequest(*Rules, Request));
  return ExitSuccess;
}

int explain(const ExplainOptions &Options) {
  if (!Options.RulesFile.empty())
    return explainFile(Options);
  return requestAndPrint(Options.Vm, "explain",
                         {{"account", Options.Account},
                          {"route", Options.Route},
                          {"statement", Options.Statement},
                          {"session", std::to_string(Options.Session)}});
}

void addVmQuery(CLI::App &App, const std::string &Name,
                const std::string &Purpose, const std::string &Verb,
                int &Code) {
  auto Vm = std::make_shared<std::string>();
  CLI::App *Command = App.add_subcommand(Name, Purpose);
  Command->add_option("--vm", *Vm, "Peer address of any VM.")->required();
  Command->callback(
      [Vm, Verb, &Code] { Code = requestAndPrint(*Vm, Verb, {}); });
}

} // namespace

void addExplain(CLI::App &App, int &Code) {
  auto Options = std::make_shared<ExplainOptions>();
  CLI::App *Command = App.add_subcommand(
      "explain",
      "Show each decision about a request with its rule and author.");
  auto *Vm = Command->add_option(
      "--vm", Options->Vm, "Peer address of a VM whose rules in force apply.");
  auto *File = Command->add_option("--rules", Options->RulesFile,
                                   "File of rules to use instead of a VM's.");
  Vm->excludes(File);
  Command->add_option("--account", Options->Account, "Client account.");
  Command->add_option("--route", Options->Route, "Route.")->required();
  Command->add_option("--statement", Options->Statement, "SQL text.");
  Command->add_option("--session", Options->Session,
                      "Session number, which selects the arm of each share.");
  Command->footer("Example:\n  bergamotstage explain --rules site.rules "
                  "--account ward-1 --route waitlist --statement 'SELECT 1'");
  Command->callback([Options, &Code] {
    if (Options->Vm.empty() && Options->RulesFile.empty())
      throw CLI::RequiredError("--vm or --rules");
    Code = explain(*Options);
  });
}

void addRules(CLI::App &App, int &Code) {
  CLI::App *Rules = App.add_subcommand("rules", "Current and earlier rules.");
  Rules->require_subcommand(1);
  addVmQuery(*Rules, "show", "Print the revision, then the text in force.",
             "rules-show", Code);
  addVmQuery(*Rules, "history",
             "Print revision, object and edit id of the last revisions.",
             "rules-history", Code);
}

void addMembers(CLI::App &App, int &Code) {
  addVmQuery(App, "members", "Print the VMs that a VM knows.", "members", Code);
}

void addStatus(CLI::App &App, int &Code) {
  auto Vm = std::make_shared<std::string>();
  auto AsJson = std::make_shared<bool>(false);
  CLI::App *Command = App.add_subcommand(
      "status",
      "Print the state of a VM and its counters for each policy arm.");
  Command->add_option("--vm", *Vm, "Peer address of the VM.")->required();
  Command->add_flag("--json", *AsJson, "Print one JSON object.");
  Command->callback([Vm, AsJson, &Code] {
    Code = requestAndPrint(*Vm, "status",
                           *AsJson ? Arguments{{"json", "on"}} : Arguments{});
  });
}

void addDrain(CLI::App &App, int &Code) {
  addVmQuery(App, "drain", "Ask a VM to finish its requests and shut down.",
             "drain", Code);
}

} // namespace bergamotstage::cli
