#ifndef BERGAMOTSTAGE_CORE_PARSE_H
#define BERGAMOTSTAGE_CORE_PARSE_H

#include "bergamotstage/core/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bergamotstage {

/// @brief Reads an unsigned decimal number that fills the whole text.
std::optional<std::uint64_t> parseCount(std::string_view Text);

/// @brief Reads a finite number of at least 0 that fills the whole text.
std::optional<double> parseNumber(std::string_view Text);

/// @brief Reads a duration such as `250us`, `20ms`, `5s`, `10m` or `24h`.
std::optional<Duration> parseDuration(std::string_view Text);

/// @brief Bytes as lower-case hexadecimal digits.
std::string toHex(std::string_view Bytes);

/// @brief Bytes of hexadecimal digits, or nothing if the text is not such.
std::optional<std::string> fromHex(std::string_view Digits);

/// @brief Bytes as base64 with padding.
std::string toBase64(std::string_view Bytes);

/// @brief Bytes of a base64 text, or nothing if the text is not such.
std::optional<std::string> fromBase64(std::string_view Text);

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_CORE_PARSE_H
