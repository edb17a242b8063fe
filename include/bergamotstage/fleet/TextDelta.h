#ifndef BERGAMOTSTAGE_FLEET_TEXTDELTA_H
#define BERGAMOTSTAGE_FLEET_TEXTDELTA_H

#include "bergamotstage/core/Strong.h"

#include <tl/expected.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace bergamotstage {

/// @brief Hash of a text; 0 stands for no text.
using TextDigest = Strong<struct TextDigestTag, std::uint64_t>;

/// @brief Computes the digest of a text that is not empty.
TextDigest digestOf(std::string_view Text);

/// @brief Compresses a text with Zstandard.
/// @param Base text that the receiver has; only what differs is encoded
std::string compressText(std::string_view Text, std::string_view Base);

/// @brief Restores the input of compressText().
/// @param Base the same base as for compressText()
/// @param MaxBytes limit for the length of the text
/// @return the text, or why it cannot be restored
tl::expected<std::string, std::string>
decompressText(std::string_view Compressed, std::string_view Base,
               std::size_t MaxBytes);

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_FLEET_TEXTDELTA_H
