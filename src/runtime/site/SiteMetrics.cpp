#include "runtime/site/SiteMetrics.h"

#include "bergamotstage/metrics/Prometheus.h"

#include <utility>

namespace bergamotstage::runtime {
namespace {

using metrics::renderLabelled;

/// @brief Admissions to the rates of accounts, by account and priority.
std::string renderRates(const ratelimit::RateShare &Rates) {
  std::string Text;
  for (const auto &[Key, Counts] : Rates.counts()) {
    const std::string &Account = Key.first.value();
    std::string Priority = std::to_string(Key.second);
    Text += renderLabelled("bergamotstage_rate_admitted_total",
                           {{"account", Account}, {"priority", Priority}},
                           static_cast<double>(Counts.Admitted));
    Text += renderLabelled("bergamotstage_rate_refused_total",
                           {{"account", Account}, {"priority", Priority}},
                           static_cast<double>(Counts.Refused));
    Text += renderLabelled("bergamotstage_rate_wait_seconds_total",
                           {{"account", Account}, {"priority", Priority}},
                           toSeconds(Counts.Waited));
  }
  return Text;
}

/// @brief Queues of the targets that this VM owns.
std::string renderPools(const pooling::PoolNode &Node) {
  std::string Text;
  for (const auto &[Key, Count] : Node.refusals())
    Text += renderLabelled("bergamotstage_target_refusals_total",
                           {{"reason", pooling::notRunReasonName(Key.first)},
                            {"priority", std::to_string(Key.second)}},
                           static_cast<double>(Count));
  Node.forEachPool([&Text](const pooling::TargetPool &Pool) {
    const std::string &Target = Pool.id().value();
    Text += renderLabelled("bergamotstage_target_waiting", {{"target", Target}},
                           Pool.waitingCount());
    Text += renderLabelled(
        "bergamotstage_target_pace",
        {{"target", Target},
         {"reason", pacing::paceReasonName(Pool.pace().lastReason())}},
        Pool.usableSlots());
    Text += renderLabelled("bergamotstage_target_slots", {{"target", Target}},
                           Pool.pace().slots());
    for (const auto &[Kind, Estimate] : Pool.slotTimes().estimates())
      Text += renderLabelled("bergamotstage_slot_seconds",
                             {{"target", Target},
                              {"route", Kind.Route.value()},
                              {"class", admission::workClassName(Kind.Class)}},
                             Estimate.Seconds);
  });
  return Text;
}

} // namespace

std::string renderSiteMetrics(const pooling::PoolNode &Node,
                              std::uint64_t LinksOpened,
                              const fleetcost::PeerTraffic &Traffic) {
  const pooling::ConfigCounts &Configs = Node.configCounts();
  const std::pair<const char *, std::uint64_t> Gauges[] = {
      {"bergamotstage_sessions", Node.sessions().size()},
      {"bergamotstage_operations_open", Node.sessions().operations()},
      {"bergamotstage_links", Node.links()},
      {"bergamotstage_evacuated_operations", Node.evacuatedOperations()},
      {"bergamotstage_links_opened_total", LinksOpened},
      {"bergamotstage_config_version", Node.configVersion()},
      {"bergamotstage_configs_applied_total", Configs.Applied},
      {"bergamotstage_configs_outdated_total", Configs.Outdated},
      {"bergamotstage_config_bytes_received_total", Configs.Bytes},
      {"bergamotstage_rate_slots", Node.rateSlots()}};
  std::string Text = metrics::renderPrometheus(Node.metrics());
  for (const auto &[Name, Value] : Gauges)
    Text += metrics::renderGauge(Name, Value);
  return Text + renderRates(Node.rates()) + renderPools(Node) +
         fleetcost::renderTraffic(Traffic);
}

} // namespace bergamotstage::runtime
