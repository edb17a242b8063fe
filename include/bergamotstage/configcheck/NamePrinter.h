#ifndef BERGAMOTSTAGE_CONFIGCHECK_NAMEPRINTER_H
#define BERGAMOTSTAGE_CONFIGCHECK_NAMEPRINTER_H

#include "bergamotstage/configcheck/Draft.h"

#include <string>
#include <string_view>
#include <unordered_set>

namespace bergamotstage::configcheck {

/// @brief Quotes names from a configuration for output.
///
/// A name that equals a key of a caller is replaced, as keys must not be
/// printed. Control characters are escaped and long names are cut.
class NamePrinter {
public:
  /// @brief Takes note of the keys of a configuration, which must outlive this.
  void hideKeysOf(const Draft &Config);

  /// @return the name in quotes
  std::string operator()(const std::string &Name) const;
  /// @return the name without quotes
  std::string plain(const std::string &Name) const;

private:
  std::unordered_set<std::string_view> m_Keys;
};

} // namespace bergamotstage::configcheck

#endif // BERGAMOTSTAGE_CONFIGCHECK_NAMEPRINTER_H
