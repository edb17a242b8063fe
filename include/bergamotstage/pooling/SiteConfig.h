#ifndef BERGAMOTSTAGE_POOLING_SITECONFIG_H
#define BERGAMOTSTAGE_POOLING_SITECONFIG_H

#include "bergamotstage/core/Ids.h"
#include "bergamotstage/core/Time.h"
#include "bergamotstage/placement/HomeRegions.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace bergamotstage::pooling {

/// @brief Commits that the reads of a route are guaranteed to see.
enum class Consistency : std::uint8_t {
  Primary,       ///< All commits acknowledged before the read.
  Bounded,       ///< All commits older than a maximum staleness.
  ReadYourWrites ///< Bounded, and all commits of the session.
};

/// @brief One route, which callers select by a database name.
struct RouteConfig {
  RouteId Name;
  DatabaseId Group;
  Consistency Reads = Consistency::Primary;
  Duration MaxStaleness{};     ///< Unused for Consistency::Primary.
  Duration StatementTimeout{}; ///< For one statement at a target.
  Duration LatencyTarget{};    ///< For one statement, queueing included.
  unsigned Priority = 0;       ///< 0 is the highest.
  bool Open = false;           ///< Requires no key.
  placement::RegionSet Homes;  ///< Regions in which it may run; empty for all.
};

/// @brief Rate and burst of a client account, in operations.
struct AccountConfig {
  AccountId Id;
  double Rate = 0; ///< Operations per second.
  double Burst = 0;
  placement::RegionSet Homes{}; ///< As for RouteConfig.
};

/// @brief A group of targets that replicate one database.
struct GroupConfig {
  DatabaseId Id;
  unsigned MaxLinks = 0;     ///< Connections to one target from all VMs.
  unsigned SyncReplicas = 0; ///< Replicas that must confirm a commit.
  Duration ColdStart{};      ///< Length of a cold start; 0 means none.
  double ColdPerSecond = 0;  ///< Statements to a cold target; 0: no bound.
};

/// @brief One version of the configuration.
struct SiteConfig {
  std::uint64_t Version = 0; ///< Monotonic; 0 before the first.
  std::unordered_map<std::string, RouteConfig> Routes; ///< By database name.
  std::unordered_map<std::string, AccountId> Keys;
  std::map<AccountId, AccountConfig> Accounts;
  std::map<DatabaseId, GroupConfig> Groups;
  Duration TransactionIdle = seconds(3); ///< Idle timeout of transactions.
};

using SharedConfig = std::shared_ptr<const SiteConfig>;

/// @brief A configuration that a VM received.
struct ReceivedConfig {
  SharedConfig Config;
  std::string Text;      ///< In its stored form.
  std::string Source;    ///< "store", or the name of another VM.
  std::size_t Bytes = 0; ///< Length of what was received.
};

/// @brief Counts of the configurations that a VM has received.
struct ConfigCounts {
  std::uint64_t Applied = 0;
  std::uint64_t Outdated = 0; ///< Not newer than the one in force.
  std::uint64_t Bytes = 0;
};

} // namespace bergamotstage::pooling

#endif // BERGAMOTSTAGE_POOLING_SITECONFIG_H
