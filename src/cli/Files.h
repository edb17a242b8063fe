#ifndef BERGAMOTSTAGE_CLI_FILES_H
#define BERGAMOTSTAGE_CLI_FILES_H

#include <tl/expected.hpp>

#include <string>

namespace bergamotstage::cli {

/// @brief Reads a whole file.
/// @return its bytes, or why it cannot be read
tl::expected<std::string, std::string> readFile(const std::string &Name);

} // namespace bergamotstage::cli

#endif // BERGAMOTSTAGE_CLI_FILES_H
