#include "bench/Bench.h"
#include "bench/Cases.h"

namespace bergamotstage::bench {

const std::vector<BenchCase> &benchCases() {
  static const std::vector<BenchCase> Cases = {
      {"step", "time that the decision core takes for one read", benchStep},
      {"core", "time and memory of rules and of idle callers", benchCore},
      {"proxy", "cost of a VM over sockets against direct libpq", benchProxy},
  };
  return Cases;
}

} // namespace bergamotstage::bench
