#include "bench/Bench.h"
#include "bench/Cases.h"

namespace bergamotstage::bench {

const std::vector<BenchCase> &benchCases() {
  static const std::vector<BenchCase> Cases = {
      {"step", "time that the decision core takes for one read", benchStep},
      {"refusals", "statements refused within a client account's rate",
       benchRefusals},
      {"metrics", "cost of counting one statement", benchMetrics},
      {"core", "time and memory of rules and of idle callers", benchCore},
  };
  return Cases;
}

} // namespace bergamotstage::bench
