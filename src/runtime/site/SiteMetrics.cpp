#include "runtime/site/SiteMetrics.h"

#include "bergamotstage/metrics/Prometheus.h"

#include <utility>

namespace bergamotstage::runtime {

std::string renderSiteMetrics(const pooling::PoolNode &Node,
                              std::uint64_t LinksOpened) {
  const pooling::ConfigCounts &Configs = Node.configCounts();
  const std::pair<const char *, std::uint64_t> Gauges[] = {
      {"bergamotstage_sessions", Node.sessions().size()},
      {"bergamotstage_operations_open", Node.sessions().operations()},
      {"bergamotstage_links", Node.links()},
      {"bergamotstage_links_opened_total", LinksOpened},
      {"bergamotstage_config_version", Node.configVersion()},
      {"bergamotstage_configs_applied_total", Configs.Applied},
      {"bergamotstage_configs_outdated_total", Configs.Outdated},
      {"bergamotstage_config_bytes_received_total", Configs.Bytes},
      {"bergamotstage_rate_slots", Node.rateSlots()}};
  std::string Text = metrics::renderPrometheus(Node.metrics());
  for (const auto &[Name, Value] : Gauges)
    Text += metrics::renderGauge(Name, Value);
  return Text;
}

} // namespace bergamotstage::runtime
