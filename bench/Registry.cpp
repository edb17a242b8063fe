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
      {"reads", "share of reads on replicas in a burst of lookups, by policy",
       benchReads},
      {"once", "cost of running a request at most once", benchOnce},
      {"proxy", "cost of a VM over sockets against direct libpq", benchProxy},
      {"config", "time from an edit to in force everywhere", benchConfig},
      {"control", "cost of control for each VM", benchControl},
      {"failover", "time without writes when a primary is lost", benchFailover},
      {"fairness", "worst client account beside one at 5 times its rate",
       benchFairness},
      {"durable", "cost and use of confirmed acknowledgement", benchDurable},
  };
  return Cases;
}

} // namespace bergamotstage::bench
