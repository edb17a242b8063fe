#ifndef BERGAMOTSTAGE_CONFIGCHECK_FINDING_H
#define BERGAMOTSTAGE_CONFIGCHECK_FINDING_H

#include <cstddef>
#include <cstdint>
#include <string>

namespace bergamotstage::configcheck {

/// @brief What a finding means for a configuration.
enum class Severity : std::uint8_t {
  Error,  ///< VMs refuse the file, or do not serve what it lists.
  Warning ///< VMs serve it, but not as its author may expect.
};

/// @brief One fault of a configuration.
struct Finding {
  Severity Level = Severity::Error;
  std::string Path;     ///< Such as `routes[3].timeout_ms`; may be empty.
  std::size_t Line = 0; ///< From 1; 0 if only the path is known.
  std::string Reason;   ///< Never contains a key of a caller.
};

} // namespace bergamotstage::configcheck

#endif // BERGAMOTSTAGE_CONFIGCHECK_FINDING_H
