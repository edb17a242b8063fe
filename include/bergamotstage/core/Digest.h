#ifndef BERGAMOTSTAGE_CORE_DIGEST_H
#define BERGAMOTSTAGE_CORE_DIGEST_H

#include <string>
#include <string_view>

namespace bergamotstage {

/// @brief SHA-256 of the given bytes, 32 bytes long.
std::string sha256(std::string_view Bytes);

/// @brief HMAC-SHA-256 of the given bytes under a secret, 32 bytes long.
std::string hmacSha256(std::string_view Secret, std::string_view Bytes);

/// @brief Compares two texts in a time that depends on their lengths alone,
/// which keeps a secret safe from timing attacks.
bool equalInConstantTime(std::string_view Left, std::string_view Right);

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_CORE_DIGEST_H
