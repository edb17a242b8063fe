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
  bool Extended = false; ///< Came as parse, bind and execute.
  std::vector<std::uint32_t> ParameterTypes;
  std::vector<std::int16_t> ParameterFormats;
  std::vector<std::optional<std::string>> Values;
  std::int16_t ResultFormat = 0; ///< 0 text, 1 binary, for all columns.
  bool WantColumns = true;       ///< Rows come after a description of columns.
  bool DescribeOnly = false; ///< Describe parameters and columns; run nothing.
};

/// @brief A body that is read by several threads and changed by none.
using SharedBody = std::shared_ptr<const StatementBody>;

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_REQUEST_STATEMENTBODY_H
