#ifndef BERGAMOTSTAGE_RULES_RULEVALUE_H
#define BERGAMOTSTAGE_RULES_RULEVALUE_H

#include <optional>
#include <string>
#include <string_view>

namespace bergamotstage {

/// @brief Whether a text is an IP number and a port, such as `127.0.0.1:5432`
/// or `[::1]:5432`.
bool isAddress(const std::string &Text);

/// @brief Whether a text can name something: letters, digits, `-`, `_`, `.`.
bool isName(std::string_view Text);

/// @brief Reads a share such as `10%` or `2.5%`, above 0 and at most 100.
std::optional<double> parsePercent(std::string_view Text);

/// @brief Whether a statement matches a pattern in which `*` stands for any
/// text. Letters match in either case, and runs of blanks as one blank.
/// Complexity: product of both lengths at worst.
bool matchesPattern(std::string_view Pattern, std::string_view Statement);

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_RULES_RULEVALUE_H
