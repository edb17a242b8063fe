#include "bergamotstage/metrics/Registry.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <utility>

namespace bergamotstage::metrics {
namespace {

using Json = nlohmann::json;

double replicaPercent(const Series &Entry) {
  return Entry.Completed == 0 ? 0
                              : 100.0 * static_cast<double>(Entry.OnReplica) /
                                    static_cast<double>(Entry.Completed);
}

Json toJson(const SeriesKey &Key, const Series &Entry) {
  Json Buckets = Json::array();
  for (std::size_t Bucket = 0; Bucket < LatencyHistogram::Buckets; ++Bucket)
    if (Entry.Latency.buckets()[Bucket] > 0)
      Buckets.push_back(
          {{"up_to_ms", toMilliseconds(LatencyHistogram::bucketBound(Bucket))},
           {"count", Entry.Latency.buckets()[Bucket]}});
  return {{"account", Key.Account.value()},
          {"class", statementClassName(Key.Class)},
          {"arm", Key.Arm.value()},
          {"completed", Entry.Completed},
          {"failed", Entry.Failed},
          {"unknown", Entry.Unknown},
          {"refused_over_rate", Entry.RefusedOverRate},
          {"refused_within_contract", Entry.RefusedWithinRate},
          {"refusals", Entry.Refusals},
          {"on_replica_percent", replicaPercent(Entry)},
          {"mean_ms", Entry.Latency.meanMilliseconds()},
          {"p50_ms", Entry.Latency.median()},
          {"p90_ms", Entry.Latency.p90()},
          {"p99_ms", Entry.Latency.p99()},
          {"max_ms", Entry.Latency.maxMilliseconds()},
          {"histogram", std::move(Buckets)}};
}

std::string textLine(const SeriesKey &Key, const Series &Entry) {
  char Line[256];
  std::snprintf(Line, sizeof Line,
                "%-16.16s %-11s %-10.10s %9llu %6llu %7llu %9llu %8llu %7.1f "
                "%8.2f %8.2f %8.2f\n",
                Key.Account.value().c_str(), statementClassName(Key.Class),
                Key.Arm.value().c_str(),
                static_cast<unsigned long long>(Entry.Completed),
                static_cast<unsigned long long>(Entry.Failed),
                static_cast<unsigned long long>(Entry.Unknown),
                static_cast<unsigned long long>(Entry.RefusedOverRate),
                static_cast<unsigned long long>(Entry.RefusedWithinRate),
                replicaPercent(Entry), Entry.Latency.median(),
                Entry.Latency.p99(), Entry.Latency.maxMilliseconds());
  return Line;
}

/// @brief Values by which worstAccount() ranks the accounts.
struct AccountScore {
  std::uint64_t Refused = 0;
  std::uint64_t Statements = 0;
  double P99 = 0;

  std::pair<double, double> rank() const {
    double RefusedRatio = Statements == 0 ? 0
                                          : static_cast<double>(Refused) /
                                                static_cast<double>(Statements);
    return {RefusedRatio, P99};
  }
};

} // namespace

const char *statementClassName(StatementClass Class) {
  switch (Class) {
  case StatementClass::Read:
    return "read";
  case StatementClass::Write:
    return "write";
  case StatementClass::Transaction:
    return "transaction";
  }
  return "";
}

void Registry::record(const Sample &Statement) {
  SeriesKey Key{Statement.Account, Statement.Class, Statement.Arm,
                Statement.Route};
  bool Full = m_Series.size() >= MaxSeries && m_Series.count(Key) == 0;
  if (Full)
    Key = {AccountId(OtherAccounts), Statement.Class, ArmId(), RouteId()};
  Series &Entry = m_Series[Key];
  switch (Statement.State) {
  case RunState::Completed:
    ++Entry.Completed;
    Entry.OnReplica += Statement.OnReplica ? 1 : 0;
    return Entry.Latency.record(Statement.Latency);
  case RunState::Failed:
    ++Entry.Failed;
    return;
  case RunState::Unknown:
    ++Entry.Unknown;
    return;
  case RunState::NotRun:
    bool RefusedOverRate = Statement.SqlState == sqlstate::TooManyRequests;
    ++(RefusedOverRate ? Entry.RefusedOverRate : Entry.RefusedWithinRate);
    ++Entry.Refusals[Statement.SqlState];
    return;
  }
}

std::optional<AccountId> Registry::worstAccount() const {
  std::map<AccountId, AccountScore> Accounts;
  for (const auto &[Key, Entry] : m_Series) {
    AccountScore &Score = Accounts[Key.Account];
    Score.Refused += Entry.RefusedWithinRate;
    Score.Statements += Entry.Completed + Entry.Failed + Entry.Unknown +
                        Entry.RefusedWithinRate;
    Score.P99 = std::max(Score.P99, Entry.Latency.p99());
  }
  auto Worst =
      std::max_element(Accounts.begin(), Accounts.end(),
                       [](const auto &Left, const auto &Right) {
                         return Left.second.rank() < Right.second.rank();
                       });
  if (Worst == Accounts.end())
    return std::nullopt;
  return Worst->first;
}

std::string renderJson(const Registry &Metrics) {
  Json SeriesList = Json::array();
  for (const auto &[Key, Entry] : Metrics.series())
    SeriesList.push_back(toJson(Key, Entry));
  Json Root = {{"series", std::move(SeriesList)}};
  if (auto Worst = Metrics.worstAccount())
    Root["worst_account"] = Worst->value();
  return Root.dump(2);
}

std::string renderText(const Registry &Metrics) {
  std::string Text =
      "account          class       arm        completed failed unknown "
      "over-rate in-rate  replica%   p50 ms   p99 ms   max ms\n";
  for (const auto &[Key, Entry] : Metrics.series())
    Text += textLine(Key, Entry);
  if (auto Worst = Metrics.worstAccount())
    Text += "worst account: " + Worst->value() + "\n";
  return Text;
}

} // namespace bergamotstage::metrics
