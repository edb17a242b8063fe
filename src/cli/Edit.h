#ifndef BERGAMOTSTAGE_CLI_EDIT_H
#define BERGAMOTSTAGE_CLI_EDIT_H

#include <tl/expected.hpp>

#include <cstdint>
#include <string>

namespace bergamotstage::cli {

/// @brief A rules text and the revision that it is of.
struct RulesCopy {
  std::uint64_t Number = 0;
  std::string Text;
};

/// @brief An edit for a VM to put in force.
struct RulesEdit {
  std::uint64_t Expected = 0;
  std::string EditId; ///< Empty: a new one is drawn.
  std::string Text;
};

/// @brief Reads the rules that a VM holds.
tl::expected<RulesCopy, std::string> readRules(const std::string &Vm);

/// @brief Applies an edit and prints the outcome.
/// @return the exit code that tells the outcome
int applyEdit(const std::string &Vm, const RulesEdit &Edit);

} // namespace bergamotstage::cli

#endif // BERGAMOTSTAGE_CLI_EDIT_H
