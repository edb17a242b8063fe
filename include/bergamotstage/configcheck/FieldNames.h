#ifndef BERGAMOTSTAGE_CONFIGCHECK_FIELDNAMES_H
#define BERGAMOTSTAGE_CONFIGCHECK_FIELDNAMES_H

#include <cstddef>
#include <string>

namespace bergamotstage::configcheck {

/// @brief Names of the lists and fields of a configuration, as operators write
/// them. The adapter that parses the file provides them.
struct FieldNames {
  std::string Version;
  std::string Routes;
  std::string Services;
  std::string Accounts;
  std::string Name; ///< Of a route, a service or an account.
  std::string Database;
  std::string Service;
  std::string Reads;
  std::string MaxStaleness;
  std::string Timeout;
  std::string LatencyTarget;
  std::string Priority;
  std::string Open;
  std::string Homes;
  std::string MaxLinks;
  std::string SyncReplicas;
  std::string ColdStart;
  std::string ColdRate;
  std::string Keys;
  std::string Rate;
  std::string Burst;
  std::string TransactionIdle; ///< Full path.
};

/// @brief Path of an entry of a list, such as `routes[3]`.
std::string entryPath(const std::string &List, std::size_t Index);

/// @brief Path of a field of an entry, such as `routes[3].timeout_ms`.
std::string fieldPath(const std::string &List, std::size_t Index,
                      const std::string &Field);

} // namespace bergamotstage::configcheck

#endif // BERGAMOTSTAGE_CONFIGCHECK_FIELDNAMES_H
