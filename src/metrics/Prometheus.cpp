#include "bergamotstage/metrics/Prometheus.h"

#include <cmath>
#include <cstdint>
#include <sstream>

namespace bergamotstage::metrics {
namespace {

const char *const Statements = "bergamotstage_statements_total";
const char *const Latency = "bergamotstage_statement_seconds";

/// @brief Escapes a label value; a line feed becomes a space.
std::string escapeLabel(const std::string &Value) {
  std::string Out;
  for (char Character : Value) {
    if (Character == '\\' || Character == '"')
      Out += '\\';
    Out += Character == '\n' ? ' ' : Character;
  }
  return Out;
}

std::string renderLabels(const SeriesKey &Key) {
  std::string Labels = "account=\"" + escapeLabel(Key.Account.value()) +
                       "\",class=\"" + statementClassName(Key.Class) +
                       "\",arm=\"" + escapeLabel(Key.Arm.value()) + "\"";
  if (!Key.Route.value().empty())
    Labels += ",route=\"" + escapeLabel(Key.Route.value()) + "\"";
  return Labels;
}

void renderCounter(std::ostream &Out, const std::string &Labels,
                   const std::string &Outcome, std::uint64_t Value) {
  if (Value > 0)
    Out << Statements << "{" << Labels << ",outcome=\"" << Outcome << "\"} "
        << Value << "\n";
}

void renderCounts(std::ostream &Out, const std::string &Labels,
                  const Series &Entry) {
  renderCounter(Out, Labels, "completed", Entry.Completed);
  renderCounter(Out, Labels, "failed", Entry.Failed);
  renderCounter(Out, Labels, "unknown", Entry.Unknown);
  for (const auto &[Reason, Value] : Entry.Refusals)
    renderCounter(Out, Labels, "refused:" + escapeLabel(Reason), Value);
  if (Entry.OnReplica > 0)
    Out << "bergamotstage_replica_reads_total{" << Labels << "} "
        << Entry.OnReplica << "\n";
}

void renderLatency(std::ostream &Out, const std::string &Labels,
                   const LatencyHistogram &Histogram) {
  constexpr double MillisecondsPerSecond = 1000;
  std::uint64_t Cumulative = 0;
  for (std::size_t Bucket = 0; Bucket < LatencyHistogram::Buckets; ++Bucket) {
    Cumulative += Histogram.buckets()[Bucket];
    Out << Latency << "_bucket{" << Labels << ",le=\""
        << toSeconds(LatencyHistogram::bucketBound(Bucket)) << "\"} "
        << Cumulative << "\n";
  }
  Out << Latency << "_bucket{" << Labels << ",le=\"+Inf\"} "
      << Histogram.count() << "\n";
  double Sum = Histogram.meanMilliseconds() / MillisecondsPerSecond *
               static_cast<double>(Histogram.count());
  Out << Latency << "_sum{" << Labels << "} "
      << (Histogram.count() > 0 ? Sum : 0) << "\n"
      << Latency << "_count{" << Labels << "} " << Histogram.count() << "\n";
}

} // namespace

std::string renderPrometheus(const Registry &Metrics) {
  std::ostringstream Out;
  Out << "# TYPE " << Statements << " counter\n"
      << "# TYPE " << Latency << " histogram\n";
  for (const auto &[Key, Entry] : Metrics.series()) {
    std::string Labels = renderLabels(Key);
    renderCounts(Out, Labels, Entry);
    renderLatency(Out, Labels, Entry.Latency);
  }
  return Out.str();
}

std::string renderGauge(const std::string &Name, std::uint64_t Value) {
  return Name + " " + std::to_string(Value) + "\n";
}

std::string renderLabelled(
    const std::string &Name,
    std::initializer_list<std::pair<const char *, std::string>> Labels,
    double Value) {
  std::ostringstream Out;
  Out << Name << "{";
  const char *Separator = "";
  for (const auto &[Label, Text] : Labels) {
    Out << Separator << Label << "=\"" << escapeLabel(Text) << "\"";
    Separator = ",";
  }
  Out << "} ";
  // A stream prints six digits of a double, too few for a counter of bytes.
  constexpr double MaxExact = 1e15;
  if (Value == std::floor(Value) && std::fabs(Value) < MaxExact)
    Out << static_cast<std::int64_t>(Value) << "\n";
  else
    Out << Value << "\n";
  return Out.str();
}

} // namespace bergamotstage::metrics
