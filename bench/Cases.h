#ifndef BERGAMOTSTAGE_BENCH_CASES_H
#define BERGAMOTSTAGE_BENCH_CASES_H

#include "bench/Bench.h"

namespace bergamotstage::bench {

/// @brief Each runs one measurement and returns its rows.
std::vector<BenchRow> benchStep();
std::vector<BenchRow> benchRefusals();
std::vector<BenchRow> benchMetrics();
std::vector<BenchRow> benchCore();

} // namespace bergamotstage::bench

#endif // BERGAMOTSTAGE_BENCH_CASES_H
