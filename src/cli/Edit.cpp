#include "cli/Edit.h"

#include "bergamotstage/core/Parse.h"
#include "cli/Commands.h"
#include "cli/OperatorClient.h"

#include <iostream>
#include <random>

namespace bergamotstage::cli {
namespace {

std::string randomEditId() {
  std::random_device Device;
  return "edit-" + std::to_string(Device()) + "-" + std::to_string(Device());
}

/// @brief Maps the first word of an answer to an exit code.
int outcomeCode(const std::string &Body) {
  std::string Outcome = Body.substr(0, Body.find(':'));
  if (Outcome == "accepted")
    return ExitSuccess;
  if (Outcome == "refused")
    return ExitInvalid;
  if (Outcome == "conflict")
    return ExitConflict;
  return ExitFailure;
}

} // namespace

tl::expected<RulesSnapshot, std::string> readRules(const std::string &Vm) {
  auto Answer = requestFromVm(Vm, "rules-show", {});
  if (!Answer)
    return tl::make_unexpected(Answer.error());
  std::size_t End = Answer->Body.find('\n');
  auto Number = parseCount(Answer->Body.substr(0, End));
  if (!Answer->Succeeded || !Number || End == std::string::npos)
    return tl::make_unexpected("the VM at " + Vm +
                               " returned no valid rules: " + Answer->Body);
  return RulesSnapshot{*Number, Answer->Body.substr(End + 1)};
}

int applyEdit(const std::string &Vm, const RulesEdit &Edit) {
  std::string EditId = Edit.EditId.empty() ? randomEditId() : Edit.EditId;
  auto Answer =
      requestFromVm(Vm, "apply",
                    {{"text", Edit.Text},
                     {"expect", std::to_string(Edit.ExpectedRevision)},
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
