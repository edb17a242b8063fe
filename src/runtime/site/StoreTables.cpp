#include "runtime/site/StoreTables.h"

#include "platform/Documents.h"
#include "platform/StoreCodec.h"
#include "runtime/Address.h"

#include <memory>
#include <utility>

namespace bergamotstage::runtime {
namespace {

/// New configurations must apply within 3 s despite a silent connection loss;
/// a reader's data must stay valid until 0.5 s after the next reply is due.
constexpr Duration OperatorPollTimeout = milliseconds(1500);
/// A leaving target must receive no new statements after seven seconds.
constexpr Duration TargetsPollTimeout = seconds(5);
/// Length of an address of another writer in a log line.
constexpr std::size_t MaxShownAddress = 64;

} // namespace

StoreTables::StoreTables(asio::io_context &Io, const std::string &Address,
                         std::set<DataCentreId> DataCentres, Hooks Callbacks)
    : m_DataCentres(std::move(DataCentres)), m_Hooks(std::move(Callbacks)),
      m_Operator(Io, Address, platform::ConfigTable, OperatorPollTimeout,
                 operatorHooks()),
      m_Targets(Io, Address, platform::TargetTableName, TargetsPollTimeout,
                targetHooks()) {}

void StoreTables::start() {
  m_Operator.start();
  m_Targets.start();
}

void StoreTables::setFollowing(const pooling::StoreReaders::Following &How) {
  m_Operator.setFollowing(How);
  m_Targets.setFollowing(How);
}

TableFollower::Hooks StoreTables::loggingHooks(const std::string &Table) {
  TableFollower::Hooks Hooks;
  Hooks.Reachable = [this, Table](bool Reachable, const std::string &Reason) {
    m_Hooks.Log({Reachable ? WriteLog::Level::Info : WriteLog::Level::Warning,
                 Reachable ? "store_regained" : "store_lost",
                 {{"table", Table}, {"reason", Reason}}});
  };
  Hooks.RefreshFailed = [this, Table](const std::string &Reason) {
    m_Hooks.Log({WriteLog::Level::Warning,
                 "store_refresh_failed",
                 {{"table", Table}, {"reason", Reason}}});
  };
  return Hooks;
}

TableFollower::Hooks StoreTables::operatorHooks() {
  TableFollower::Hooks Hooks = loggingHooks(platform::ConfigTable);
  Hooks.Listed = [this](const std::vector<platform::ListedRow> &Rows,
                        std::uint64_t Version) {
    applyEvacuations(Rows, Version);
    for (const platform::ListedRow &Row : Rows)
      if (!platform::evacuatedDataCentre(Row))
        applyOperatorRow(Row);
  };
  Hooks.Changed = [this](const platform::ListedRow &Row) {
    applyOperatorRow(Row);
  };
  Hooks.Answered = [this] { m_Hooks.Answered(); };
  return Hooks;
}

TableFollower::Hooks StoreTables::targetHooks() {
  TableFollower::Hooks Hooks = loggingHooks(platform::TargetTableName);
  Hooks.Listed = [this](const std::vector<platform::ListedRow> &Rows,
                        std::uint64_t /*Version*/) {
    std::vector<pooling::TargetEntry> All;
    for (const platform::ListedRow &Row : Rows)
      if (auto Entry = parseEntry(Row))
        All.push_back(*Entry);
    m_Hooks.Targets(All);
  };
  Hooks.Changed = [this](const platform::ListedRow &Row) {
    auto Entry = Row.Deleted ? std::nullopt : parseEntry(Row);
    // A row that names no usable target does not keep the earlier one, as if
    // the table were read again.
    if (!Entry)
      return m_Hooks.TargetRemoved(TargetId(Row.Key));
    m_Hooks.Target(*Entry);
  };
  Hooks.Answered = [] {};
  return Hooks;
}

std::optional<pooling::TargetEntry>
StoreTables::parseEntry(const platform::ListedRow &Row) {
  auto Entry = platform::parseTargetEntry(Row.Key, Row.Value, Row.Version);
  if (Entry) {
    auto Endpoint = parseEndpoint(Entry->Address);
    if (!Endpoint || !isConnectable(*Endpoint))
      Entry = tl::make_unexpected(
          "address is not an IP address with a port from 1 to 65535: " +
          Entry->Address.substr(0, MaxShownAddress));
  }
  if (Entry)
    return *Entry;
  m_Hooks.Log({WriteLog::Level::Warning,
               "target_entry_skipped",
               {{"target", Row.Key}, {"reason", Entry.error()}}});
  return std::nullopt;
}

/// @brief Returns the data centre of an evacuation. One that the settings do
/// not list is logged; no target is in it.
std::optional<DataCentreId>
StoreTables::readEvacuation(const platform::ListedRow &Row) {
  auto DataCentre = platform::evacuatedDataCentre(Row);
  if (DataCentre && m_DataCentres.count(*DataCentre) == 0)
    m_Hooks.Log({WriteLog::Level::Warning,
                 "evacuation_of_unknown_data_centre",
                 {{"data_centre", DataCentre->value()},
                  {"version", std::to_string(Row.Version)}}});
  return DataCentre;
}

void StoreTables::applyEvacuations(const std::vector<platform::ListedRow> &Rows,
                                   std::uint64_t Version) {
  placement::EvacuationList List{Version, {}};
  for (const platform::ListedRow &Row : Rows)
    if (auto DataCentre = readEvacuation(Row))
      List.DataCentres.insert(*DataCentre);
  m_Hooks.Evacuations(List);
}

void StoreTables::applyOperatorRow(const platform::ListedRow &Row) {
  if (auto DataCentre = readEvacuation(Row))
    return m_Hooks.Evacuation(*DataCentre, !Row.Deleted, Row.Version);
  if (Row.Key == platform::ConfigKey && !Row.Deleted)
    applyConfig(Row.Value, "store", Row.Value.size());
}

void StoreTables::applyConfig(const std::string &Text,
                              const std::string &Source, std::size_t Bytes) {
  auto Read = platform::parseConfig(Text);
  if (!Read) {
    m_Hooks.Log({WriteLog::Level::Error,
                 "config_malformed",
                 {{"source", Source}, {"reason", Read.error()}}});
    return;
  }
  m_Hooks.Config({std::make_shared<const pooling::SiteConfig>(std::move(*Read)),
                  Text, Source, Bytes});
}

} // namespace bergamotstage::runtime
