#ifndef BERGAMOTSTAGE_CONFIGCHECK_DRAFT_H
#define BERGAMOTSTAGE_CONFIGCHECK_DRAFT_H

#include "bergamotstage/configcheck/FieldNames.h"
#include "bergamotstage/configcheck/FindingList.h"
#include "bergamotstage/pooling/SiteConfig.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace bergamotstage::configcheck {

/// @brief A configuration as written, before entries of one name replace each
/// other, with the faults that were found while it was parsed.
struct Draft {
  /// @brief An entry of a list.
  struct Entry {
    std::size_t Index = 0; ///< In its list.
    bool Complete = false; ///< Whether each of its fields could be read.
  };
  struct Route : Entry {
    std::string Database; ///< Empty if it could not be read.
    pooling::RouteConfig Config;
    bool EmptyHomes = false; ///< Lists regions, but none.
  };
  struct Service : Entry {
    pooling::GroupConfig Config;
  };
  struct Account : Entry {
    pooling::AccountConfig Config;
    std::vector<std::string> Keys;
    bool EmptyHomes = false;
  };

  bool Readable = false; ///< Whether the file has the form of a configuration.
  std::uint64_t Version = 0;
  std::vector<Route> Routes;
  std::vector<Service> Services;
  std::vector<Account> Accounts;
  Duration TransactionIdle = seconds(3);
  FieldNames Names;
  FindingList Findings;
};

} // namespace bergamotstage::configcheck

#endif // BERGAMOTSTAGE_CONFIGCHECK_DRAFT_H
