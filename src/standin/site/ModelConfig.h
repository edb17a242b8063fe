#ifndef BERGAMOTSTAGE_STANDIN_SITE_MODELCONFIG_H
#define BERGAMOTSTAGE_STANDIN_SITE_MODELCONFIG_H

#include "bergamotstage/pooling/SiteConfig.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace bergamotstage::standin {

/// @brief Renders a configuration in a text of about the platform's length.
std::string renderConfig(const pooling::SiteConfig &Config);

/// @brief Returns the version of a rendered configuration, or 0 if malformed.
std::uint64_t configVersionOf(std::string_view Text);

/// @brief Length of a text in the base64 encoding of the store's rows.
constexpr std::size_t encodedSize(std::size_t Bytes) {
  constexpr std::size_t Group = 3;
  constexpr std::size_t EncodedGroup = 4;
  return (Bytes + Group - 1) / Group * EncodedGroup;
}

} // namespace bergamotstage::standin

#endif // BERGAMOTSTAGE_STANDIN_SITE_MODELCONFIG_H
