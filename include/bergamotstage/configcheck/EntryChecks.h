#ifndef BERGAMOTSTAGE_CONFIGCHECK_ENTRYCHECKS_H
#define BERGAMOTSTAGE_CONFIGCHECK_ENTRYCHECKS_H

#include "bergamotstage/configcheck/Draft.h"
#include "bergamotstage/configcheck/FindingList.h"
#include "bergamotstage/configcheck/NamePrinter.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

namespace bergamotstage::configcheck {

/// @brief Finds entries that can never match, and limits that contradict each
/// other.
///
/// Each check takes time in proportion to the entries and keys.
class EntryChecks {
public:
  /// @param Findings list to which findings are added
  EntryChecks(const Draft &Config, const NamePrinter &Print,
              FindingList &Findings);

  void run();

private:
  /// First entry of each name.
  using FirstIndex = std::unordered_map<std::string_view, std::size_t>;

  void checkRoutes();
  void checkLimitsOf(const Draft::Route &Route);
  void checkServices();
  void checkLimitsOf(const Draft::Service &Service);
  void checkAccounts();
  void checkKeysOf(const Draft::Account &Account);
  void checkLimitsOf(const Draft::Account &Account);
  /// @brief Finds routes that require a key while there is none.
  void checkKeysExist();
  /// @brief Finds routes and accounts that share no region with any other.
  void checkHomes();
  void checkName(const std::string &Name, const std::string &Path);
  /// @brief Reports a name that an earlier entry has.
  /// @param Consequence what it means, as a phrase
  void checkUnique(FirstIndex &Seen, const std::string &Name,
                   const std::string &List, const Draft::Entry &Entry,
                   const std::string &Field, const std::string &Consequence);

  struct KeyHolder {
    std::size_t Account = 0;
    std::size_t Position = 0;
  };

  const Draft &m_Config;
  const FieldNames &m_Names;
  const NamePrinter &m_Print;
  FindingList &m_Findings;
  std::unordered_set<std::string_view> m_Services;
  std::unordered_set<std::string_view> m_UsedServices;
  std::unordered_map<std::string_view, KeyHolder> m_Keys;
  bool m_AnyOpenRoute = false;
};

} // namespace bergamotstage::configcheck

#endif // BERGAMOTSTAGE_CONFIGCHECK_ENTRYCHECKS_H
