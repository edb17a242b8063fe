#ifndef BERGAMOTSTAGE_CORE_PARSE_H
#define BERGAMOTSTAGE_CORE_PARSE_H

#include "bergamotstage/core/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bergamotstage {

/// @brief Parses a text that is an unsigned decimal number.
std::optional<std::uint64_t> parseCount(std::string_view Text);

/// @brief Parses a text that is a finite number of at least 0.
std::optional<double> parseNumber(std::string_view Text);

/// @brief Parses a duration such as `250us`, `20ms`, `5s`, `10m` or `24h`.
std::optional<Duration> parseDuration(std::string_view Text);

/// @brief Encodes bytes as lower-case hexadecimal digits.
std::string toHex(std::string_view Bytes);

/// @brief Decodes lower-case hexadecimal digits.
/// @return the bytes, or nothing if the text is malformed
std::optional<std::string> fromHex(std::string_view Digits);

/// @brief Encodes bytes as base64 with padding.
std::string toBase64(std::string_view Bytes);

/// @brief Decodes base64 with padding.
/// @return the bytes, or nothing if the text is malformed
std::optional<std::string> fromBase64(std::string_view Text);

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_CORE_PARSE_H
