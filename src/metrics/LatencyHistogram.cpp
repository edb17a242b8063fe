#include "bergamotstage/metrics/LatencyHistogram.h"

#include <cstddef>

namespace bergamotstage::metrics {
namespace {

namespace acc = boost::accumulators;

constexpr Duration FirstBound = microseconds(125);
constexpr std::array<double, 3> Probabilities = {0.5, 0.9, 0.99};

} // namespace

LatencyHistogram::LatencyHistogram()
    : m_Summary(acc::tag::extended_p_square::probabilities = Probabilities) {}

Duration LatencyHistogram::bucketBound(std::size_t Bucket) {
  return FirstBound * (std::int64_t{1} << Bucket);
}

void LatencyHistogram::record(Duration Latency) {
  m_Summary(toMilliseconds(Latency));
  std::size_t Bucket = 0;
  while (Bucket + 1 < Buckets && bucketBound(Bucket) < Latency)
    ++Bucket;
  ++m_Buckets[Bucket];
}

std::uint64_t LatencyHistogram::count() const { return acc::count(m_Summary); }

double LatencyHistogram::meanMilliseconds() const {
  return count() == 0 ? 0 : acc::mean(m_Summary);
}

double LatencyHistogram::maxMilliseconds() const {
  return count() == 0 ? 0 : (acc::max)(m_Summary);
}

double LatencyHistogram::quantile(std::size_t Index) const {
  // The P-square estimator needs at least one sample per marker.
  constexpr std::size_t Markers = 2 * Probabilities.size() + 3;
  if (count() < Markers)
    return maxMilliseconds();
  return acc::extended_p_square(m_Summary)[static_cast<std::ptrdiff_t>(Index)];
}

} // namespace bergamotstage::metrics
