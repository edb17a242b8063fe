#include "cli/Edit.h"

#include "bergamotstage/core/Parse.h"
#include "cli/Commands.h"
#include "cli/OperatorClient.h"

#include <iostream>
#include <random>

namespace bergamotstage::cli {
namespace {

std::string newEditId() {
  std::random_device Device;
  return "edit-" + std::to_string(Device()) + "-" + std::to_string(Device());
}

/// @brief Exit code of an answer's first word.
int outcomeCode(const std::string &Body) {
  std::string Word = Body.substr(0, Body.find(':'));
  if (Word == "accepted")
    return ExitSuccess;
  if (Word == "refused")
    return ExitInvalid;
  if (Word == "conflict")
    return ExitConflict;
  return ExitFailure;
}

} // namespace

tl::expected<RulesCopy, std::string> readRules(const std::string &Vm) {
  auto Answer = askVm(Vm, "rules-show", {});
  if (!Answer)
    return tl::make_unexpected(Answer.error());
  std::size_t End = Answer->Body.find('\n');
  auto Number = parseCount(Answer->Body.substr(0, End));
  if (!Answer->Succeeded || !Number || End == std::string::npos)
    return tl::make_unexpected(std::string("the VM shows no rules"));
  return RulesCopy{*Number, Answer->Body.substr(End + 1)};
}

int applyEdit(const std::string &Vm, const RulesEdit &Edit) {
  std::string EditId = Edit.EditId.empty() ? newEditId() : Edit.EditId;
  auto Answer = askVm(Vm, "apply",
                      {{"text", Edit.Text},
                       {"expect", std::to_string(Edit.Expected)},
                       {"edit-id", EditId}});
  if (!Answer) {
    std::cerr << "unknown: " << Answer.error() << "; repeat with --edit-id "
              << EditId << "\n";
    return ExitFailure;
  }
  (Answer->Succeeded ? std::cout : std::cerr) << Answer->Body << "\n";
  return outcomeCode(Answer->Body);
}

} // namespace bergamotstage::cli
