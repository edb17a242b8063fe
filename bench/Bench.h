#ifndef BERGAMOTSTAGE_BENCH_BENCH_H
#define BERGAMOTSTAGE_BENCH_BENCH_H

#include <functional>
#include <string>
#include <vector>

namespace bergamotstage::bench {

/// @brief One measured figure.
struct BenchRow {
  std::string Figure;  ///< Such as "reads-on-replicas".
  std::string Variant; ///< Such as "lag=1s policy=nearest-covered".
  double Value = 0;
  std::string Unit; ///< Such as "%", "ms", "bytes/s".
};

/// @brief One measurement that can be run by name.
struct BenchCase {
  std::string Name;
  std::string Purpose;
  std::function<std::vector<BenchRow>()> Run;
};

/// @brief All measurements, in the order in which they run.
const std::vector<BenchCase> &benchCases();

} // namespace bergamotstage::bench

#endif // BERGAMOTSTAGE_BENCH_BENCH_H
