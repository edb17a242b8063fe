#ifndef BERGAMOTSTAGE_RULES_RULELINE_H
#define BERGAMOTSTAGE_RULES_RULELINE_H

#include <tl/expected.hpp>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bergamotstage {

/// @brief An error in the rules text.
struct RuleError {
  unsigned Line = 0; ///< From 1; 0 if the error has no line.
  std::string Reason;
};

/// @brief One parsed line: `kind argument... name=value... # author`.
struct RuleLine {
  unsigned Line = 0;
  std::string Kind;
  std::vector<std::string> Arguments;
  std::map<std::string, std::string> Options;
  std::string Author;
};

/// @brief Splits a line into kind, arguments, options and author.
/// @param Line number of the line, from 1
/// @param Text the line without its line end; values with spaces are enclosed
/// in double quotes
/// @return the rule, or an error if an option is repeated or the author missing
/// Complexity: linear in the text.
tl::expected<RuleLine, RuleError> parseRuleLine(unsigned Line,
                                                std::string_view Text);

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_RULES_RULELINE_H
