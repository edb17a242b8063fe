#ifndef BERGAMOTSTAGE_METRICS_LATENCYHISTOGRAM_H
#define BERGAMOTSTAGE_METRICS_LATENCYHISTOGRAM_H

#include "bergamotstage/core/Time.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <array>
#include <cstddef>
#include <cstdint>

namespace bergamotstage::metrics {

/// @brief Latency statistics in constant memory: estimated quantiles, mean,
/// maximum, and buckets whose upper bounds double from 125 microseconds on.
class LatencyHistogram {
public:
  static constexpr std::size_t Buckets = 20;

  LatencyHistogram();

  /// @brief Adds one latency. Complexity: constant.
  void record(Duration Latency);

  std::uint64_t count() const;
  double meanMilliseconds() const;
  double maxMilliseconds() const;
  /// @brief Estimates of the quantiles 0.5, 0.9 and 0.99, in milliseconds; the
  /// maximum as long as there are too few samples.
  double median() const { return quantile(0); }
  double p90() const { return quantile(1); }
  double p99() const { return quantile(2); }

  /// @brief Counts per bucket, not cumulative. Bucket N holds latencies above
  /// bucketBound(N - 1) and up to bucketBound(N); the last one is unbounded.
  const std::array<std::uint64_t, Buckets> &buckets() const {
    return m_Buckets;
  }
  static Duration bucketBound(std::size_t Bucket);

private:
  using Summary = boost::accumulators::accumulator_set<
      double, boost::accumulators::stats<
                  boost::accumulators::tag::count,
                  boost::accumulators::tag::mean, boost::accumulators::tag::max,
                  boost::accumulators::tag::extended_p_square>>;

  double quantile(std::size_t Index) const;

  Summary m_Summary;
  std::array<std::uint64_t, Buckets> m_Buckets{};
};

} // namespace bergamotstage::metrics

#endif // BERGAMOTSTAGE_METRICS_LATENCYHISTOGRAM_H
