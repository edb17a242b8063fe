#ifndef BERGAMOTSTAGE_RUNTIME_SITE_POLICYFILE_H
#define BERGAMOTSTAGE_RUNTIME_SITE_POLICYFILE_H

#include "bergamotstage/pooling/SitePolicies.h"

#include <tl/expected.hpp>

#include <optional>
#include <string>

namespace bergamotstage::runtime {

/// @brief Reads the policy file at startup and whenever it changes.
class PolicyFile {
public:
  /// @param Path empty to use the default policies
  explicit PolicyFile(std::string Path) : m_Path(std::move(Path)) {}

  /// @brief Reads the file.
  /// @return the policies, nothing if the file is unchanged, or all errors in
  /// one line
  tl::expected<std::optional<pooling::SitePolicies>, std::string> read();

private:
  std::string m_Path;
  std::optional<std::string> m_LastText;
};

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_SITE_POLICYFILE_H
