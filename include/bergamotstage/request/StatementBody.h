#ifndef BERGAMOTSTAGE_REQUEST_STATEMENTBODY_H
#define BERGAMOTSTAGE_REQUEST_STATEMENTBODY_H

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bergamotstage {

/// @brief The text of a caller's statement and the values of its parameters.
struct StatementBody {
  std::string Text;
  bool Extended = false; ///< Sent as Parse, Bind and Execute.
  std::vector<std::uint32_t> ParameterTypes;
  std::vector<std::int16_t> ParameterFormats;
  std::vector<std::optional<std::string>> Values;
  std::int16_t ResultFormat = 0; ///< 0 text, 1 binary, for all columns.
  bool WantColumns = true; ///< Sends a description of columns before the rows.
  bool DescribeOnly = false; ///< Describes columns; runs nothing.
};

/// @brief An immutable body that threads share.
using SharedBody = std::shared_ptr<const StatementBody>;

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_REQUEST_STATEMENTBODY_H
