#ifndef BERGAMOTSTAGE_CLI_EDIT_H
#define BERGAMOTSTAGE_CLI_EDIT_H

#include <tl/expected.hpp>

#include <cstdint>
#include <string>

namespace bergamotstage::cli {

/// @brief The text of the rules with its revision.
struct RulesSnapshot {
  std::uint64_t Revision = 0;
  std::string Text;
};

/// @brief A new rules text to apply on top of an expected revision.
struct RulesEdit {
  std::uint64_t ExpectedRevision = 0;
  std::string EditId; ///< If empty, a random id is used.
  std::string Text;
};

/// @brief Reads the rules in force at a VM.
tl::expected<RulesSnapshot, std::string> readRules(const std::string &Vm);

/// @brief Sends an edit to a VM and prints the outcome.
/// @return the exit code of the outcome
int applyEdit(const std::string &Vm, const RulesEdit &Edit);

} // namespace bergamotstage::cli

#endif // BERGAMOTSTAGE_CLI_EDIT_H
