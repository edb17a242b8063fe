#ifndef BERGAMOTSTAGE_RUNTIME_TEXTFILE_H
#define BERGAMOTSTAGE_RUNTIME_TEXTFILE_H

#include <tl/expected.hpp>

#include <string>

namespace bergamotstage::runtime {

/// @brief Reads a whole file.
/// @return its content, or why it cannot be read
tl::expected<std::string, std::string> readTextFile(const std::string &Name);

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_TEXTFILE_H
