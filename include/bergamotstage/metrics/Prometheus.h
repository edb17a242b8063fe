#ifndef BERGAMOTSTAGE_METRICS_PROMETHEUS_H
#define BERGAMOTSTAGE_METRICS_PROMETHEUS_H

#include "bergamotstage/metrics/Registry.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <utility>

namespace bergamotstage::metrics {

/// @brief Renders counters and latency histograms of all series in the
/// Prometheus text format. Complexity: linear in the number of series.
std::string renderPrometheus(const Registry &Metrics);

/// @brief Renders a metric without labels as one line.
std::string renderGauge(const std::string &Name, std::uint64_t Value);

/// @brief Renders a metric with labels as one line.
/// @param Labels names and values; values are escaped
std::string renderLabelled(
    const std::string &Name,
    std::initializer_list<std::pair<const char *, std::string>> Labels,
    double Value);

} // namespace bergamotstage::metrics

#endif // BERGAMOTSTAGE_METRICS_PROMETHEUS_H
