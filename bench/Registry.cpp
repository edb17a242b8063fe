#include "bench/Bench.h"
#include "bench/Cases.h"

namespace bergamotstage::bench {

const std::vector<BenchCase> &benchCases() {
  static const std::vector<BenchCase> Cases = {
      {"step", "time that the decision core takes for one read", benchStep},
      {"core", "time and memory of rules and of idle callers", benchCore},
      {"reads", "share of reads on replicas in a burst of lookups, by policy",
       benchReads},
      {"once", "cost of running a request at most once", benchOnce},
  };
  return Cases;
}

} // namespace bergamotstage::bench
