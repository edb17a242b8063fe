#ifndef BERGAMOTSTAGE_RULES_RULEVALUE_H
#define BERGAMOTSTAGE_RULES_RULEVALUE_H

#include <optional>
#include <string>
#include <string_view>

namespace bergamotstage {

/// @brief Whether a text is an IP address and a port, such as
/// `127.0.0.1:5432` or `[::1]:5432`.
bool isAddress(const std::string &Text);

/// @brief Whether a text is a valid name: 1 to 128 letters, digits, `-`, `_`
/// or `.`.
bool isName(std::string_view Text);

/// @brief Parses a percentage such as `10%` or `2.5%`, above 0 and at most 100;
/// empty if the text is invalid.
std::optional<double> parsePercent(std::string_view Text);

/// @brief Whether a statement matches a pattern in which `*` matches any text.
/// Case is ignored, and a run of whitespace equals one space.
/// Complexity: product of both lengths in the worst case.
bool matchesPattern(std::string_view Pattern, std::string_view Statement);

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_RULES_RULEVALUE_H
