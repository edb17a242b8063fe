#include "bench/Cases.h"
#include "bergamotstage/metrics/Registry.h"

#include <chrono>
#include <string>

namespace bergamotstage::bench {

std::vector<BenchRow> benchMetrics() {
  constexpr int Records = 1'000'000;
  constexpr int Accounts = 8;
  metrics::Registry Metrics;
  metrics::Sample Samples[Accounts];
  for (int At = 0; At < Accounts; ++At)
    Samples[At].Account = AccountId("account-" + std::to_string(At));
  auto Started = std::chrono::steady_clock::now();
  for (int At = 0; At < Records; ++At) {
    metrics::Sample &Next = Samples[At % Accounts];
    Next.Latency = microseconds(500 + (At % 20000 * 7919) % 20000);
    Metrics.record(Next);
  }
  std::chrono::duration<double, std::nano> Took =
      std::chrono::steady_clock::now() - Started;
  return {{"metrics", "one record, 8 accounts", Took.count() / Records, "ns"},
          {"metrics", "memory of one series",
           static_cast<double>(sizeof(metrics::Series)), "bytes inline"}};
}

} // namespace bergamotstage::bench
