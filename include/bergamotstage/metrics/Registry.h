#ifndef BERGAMOTSTAGE_METRICS_REGISTRY_H
#define BERGAMOTSTAGE_METRICS_REGISTRY_H

#include "bergamotstage/core/Ids.h"
#include "bergamotstage/core/Outcome.h"
#include "bergamotstage/metrics/LatencyHistogram.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>

namespace bergamotstage::metrics {

/// @brief Class of a statement; each class has series of its own.
enum class StatementClass : std::uint8_t { Read, Write, Transaction };

const char *statementClassName(StatementClass Class);

/// @brief Result of one finished statement.
struct Sample {
  AccountId Account;
  StatementClass Class = StatementClass::Read;
  ArmId Arm;
  RouteId Route; ///< Empty if series are not kept per route.
  RunState State = RunState::Completed;
  std::string SqlState; ///< Code of the error; empty on success.
  Duration Latency{};
  bool OnReplica = false;
};

/// @brief Counters and latencies of one client account, class, policy arm and
/// route.
struct Series {
  LatencyHistogram Latency; ///< Latencies of completed statements.
  std::uint64_t Completed = 0;
  std::uint64_t Failed = 0;
  std::uint64_t Unknown = 0;
  std::uint64_t RefusedOverRate = 0;   ///< Refused with SQLSTATE 53400.
  std::uint64_t RefusedWithinRate = 0; ///< Refused for any other reason.
  std::uint64_t OnReplica = 0;
  std::map<std::string, std::uint64_t> Refusals; ///< All refusals by SQLSTATE.
};

/// @brief Labels that identify one series.
struct SeriesKey {
  AccountId Account;
  StatementClass Class = StatementClass::Read;
  ArmId Arm;
  RouteId Route;

  friend bool operator<(const SeriesKey &Left, const SeriesKey &Right) {
    return std::tie(Left.Account, Left.Class, Left.Arm, Left.Route) <
           std::tie(Right.Account, Right.Class, Right.Arm, Right.Route);
  }
};

/// @brief Statement metrics of one VM, in bounded memory.
class Registry {
public:
  /// @brief Number of series above which statements of new series are counted
  /// under the account OtherAccounts.
  static constexpr std::size_t MaxSeries = 4096;
  static constexpr const char *OtherAccounts = "(others)";

  /// @brief Adds one statement. Complexity: logarithmic in the number of
  /// series.
  void record(const Sample &Statement);

  const std::map<SeriesKey, Series> &series() const { return m_Series; }

  /// @brief The account with the worst service.
  ///
  /// Ranked by the ratio of statements refused within the account's rate, then
  /// by the greatest p99 latency.
  std::optional<AccountId> worstAccount() const;

private:
  std::map<SeriesKey, Series> m_Series;
};

/// @brief Renders counters, quantiles and buckets of all series as JSON.
std::string renderJson(const Registry &Metrics);
/// @brief Renders a table for operators with one line per series, ordered by
/// account, class and arm.
std::string renderText(const Registry &Metrics);

} // namespace bergamotstage::metrics

#endif // BERGAMOTSTAGE_METRICS_REGISTRY_H
