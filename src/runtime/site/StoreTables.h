#ifndef BERGAMOTSTAGE_RUNTIME_SITE_STORETABLES_H
#define BERGAMOTSTAGE_RUNTIME_SITE_STORETABLES_H

#include "bergamotstage/node/Action.h"
#include "bergamotstage/placement/Evacuations.h"
#include "bergamotstage/pooling/SiteConfig.h"
#include "bergamotstage/pooling/StoreReaders.h"
#include "bergamotstage/pooling/TargetTable.h"
#include "runtime/site/TableFollower.h"

#include <asio/io_context.hpp>

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bergamotstage::runtime {

/// @brief Reads the store's tables of the operator and of the targets, and
/// decodes their rows. A row that cannot be decoded is logged and skipped.
class StoreTables {
public:
  struct Hooks {
    std::function<void(const pooling::ReceivedConfig &)> Config;
    std::function<void(const placement::EvacuationList &)> Evacuations;
    std::function<void(const DataCentreId &, bool Evacuated,
                       std::uint64_t Version)>
        Evacuation;
    std::function<void(const std::vector<pooling::TargetEntry> &)> Targets;
    std::function<void(const pooling::TargetEntry &)> Target;
    std::function<void(const TargetId &)> TargetRemoved;
    /// The store answered a read of the operator's table.
    std::function<void()> Answered;
    std::function<void(WriteLog &&)> Log;
  };

  /// @param DataCentres those that the settings list; others are only logged
  StoreTables(asio::io_context &Io, const std::string &Address,
              std::set<DataCentreId> DataCentres, Hooks Callbacks);

  void start();
  void setFollowing(const pooling::StoreReaders::Following &How);
  /// @brief Reads the configuration at once.
  void refreshConfig() { m_Operator.refresh(); }

  /// @brief Decodes a configuration; a malformed one is logged.
  /// @param Source "store", or the name of the VM that sent it
  /// @param Bytes length of what was received
  void applyConfig(const std::string &Text, const std::string &Source,
                   std::size_t Bytes);

private:
  TableFollower::Hooks operatorHooks();
  TableFollower::Hooks targetHooks();
  /// @brief Hooks that log the state of a table's reads.
  TableFollower::Hooks loggingHooks(const std::string &Table);
  void applyOperatorRow(const platform::ListedRow &Row);
  void applyEvacuations(const std::vector<platform::ListedRow> &Rows,
                        std::uint64_t Version);
  std::optional<DataCentreId> readEvacuation(const platform::ListedRow &Row);
  std::optional<pooling::TargetEntry>
  parseEntry(const platform::ListedRow &Row);

  std::set<DataCentreId> m_DataCentres;
  Hooks m_Hooks;
  TableFollower m_Operator;
  TableFollower m_Targets;
};

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_SITE_STORETABLES_H
