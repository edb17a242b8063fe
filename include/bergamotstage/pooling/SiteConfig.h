#ifndef BERGAMOTSTAGE_POOLING_SITECONFIG_H
#define BERGAMOTSTAGE_POOLING_SITECONFIG_H

#include "bergamotstage/core/Ids.h"
#include "bergamotstage/core/Time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace bergamotstage::pooling {

/// @brief What a route promises of the records that its reads see.
enum class Consistency : std::uint8_t {
  Primary,       ///< Every commit that was acknowledged before the read.
  Bounded,       ///< Every commit acknowledged longer ago than a given age.
  ReadYourWrites ///< Bounded, and every commit of the same session.
};

/// @brief One route: what a caller names as its database.
struct RouteConfig {
  RouteId Name;
  DatabaseId Group;
  Consistency Reads = Consistency::Primary;
  Duration MaxStaleness{};     ///< Not used by Consistency::Primary.
  Duration StatementTimeout{}; ///< Of a single statement at a target.
  Duration LatencyTarget{};    ///< Of a whole operation.
  unsigned Priority = 0;       ///< 0 is served first.
  bool Open = false;           ///< Needs no key.
};

/// @brief Rate and burst of a client account, in operations.
struct AccountConfig {
  AccountId Id;
  double Rate = 0; ///< Operations a second.
  double Burst = 0;
};

/// @brief One group of targets.
struct GroupConfig {
  DatabaseId Id;
  unsigned MaxLinks = 0;     ///< Connections to one target, of all VMs.
  unsigned SyncReplicas = 0; ///< Replicas that a commit waits for.
};

/// @brief One version of the configuration.
struct SiteConfig {
  std::uint64_t Version = 0; ///< Only grows; 0 before the first.
  std::unordered_map<std::string, RouteConfig> Routes; ///< By database name.
  std::unordered_map<std::string, AccountId> Keys;
  std::map<AccountId, AccountConfig> Accounts;
  std::map<DatabaseId, GroupConfig> Groups;
  Duration TransactionIdle = seconds(3); ///< Then it may be rolled back.
};

using SharedConfig = std::shared_ptr<const SiteConfig>;

} // namespace bergamotstage::pooling

#endif // BERGAMOTSTAGE_POOLING_SITECONFIG_H
