// Prints what the VMs of a fleet without callers send, by kind of message, and
// the processor time of the whole simulation. Usage:
//   fleet-cost-report VMS [REWRITE_MS [ROUTES]]
// REWRITE_MS is the interval at which each target writes its entry again.

#include "CostFleet.h"

#include <cstdio>
#include <cstdlib>
#include <ctime>

using namespace bergamotstage;
using namespace bergamotstage::standin;

namespace {

struct Sample {
  std::uint64_t Total = 0;
  std::uint64_t Middle = 0;
  std::uint64_t Most = 0;
};

Sample sample(std::vector<std::uint64_t> Values) {
  std::sort(Values.begin(), Values.end());
  Sample Result;
  for (std::uint64_t Value : Values)
    Result.Total += Value;
  Result.Middle = Values.at(Values.size() / 2);
  Result.Most = Values.back();
  return Result;
}

template <class CountOf>
void printRow(CostFleet &Fleet, const char *Name, const CountOf &Of) {
  std::vector<std::uint64_t> Messages;
  std::vector<std::uint64_t> Bytes;
  for (const VmId &Vm : Fleet.fleet().vms()) {
    CostFleet::Count Count = Of(Vm);
    Messages.push_back(Count.Messages);
    Bytes.push_back(Count.Bytes);
  }
  Sample ByMessages = sample(Messages);
  Sample ByBytes = sample(Bytes);
  if (ByMessages.Total == 0)
    return;
  std::printf("  %-18s %9lu %7lu %7lu %11lu %9lu %9lu\n", Name,
              ByMessages.Total, ByMessages.Middle, ByMessages.Most,
              ByBytes.Total, ByBytes.Middle, ByBytes.Most);
}

void report(CostFleet &Fleet, const char *Phase, Duration Span) {
  std::clock_t Start = std::clock();
  Fleet.fleet().run(Span);
  double Seconds = static_cast<double>(std::clock() - Start) / CLOCKS_PER_SEC;
  std::printf("%s: %.1f s, processor %.2f s, VMs behind %zu\n", Phase,
              toSeconds(Span), Seconds, Fleet.behind());
  std::printf("  %-18s %9s %7s %7s %11s %9s %9s\n", "sent", "messages",
              "middle", "most", "bytes", "middle", "most");
  for (std::size_t Kind = 0; Kind < fleetcost::MessageKinds; ++Kind)
    printRow(Fleet, fleetcost::messageKindName(Kind),
             [&](const VmId &Vm) { return Fleet.sent(Vm, Kind); });
  printRow(Fleet, "all", [&](const VmId &Vm) { return Fleet.sent(Vm); });
  printRow(Fleet, "calls, bytes read",
           [&](const VmId &Vm) { return Fleet.rowCalls(Vm); });
  std::fflush(stdout);
  Fleet.mark();
}

unsigned argument(int Count, char **Values, int Index, unsigned Default) {
  return Count > Index
             ? static_cast<unsigned>(std::strtoul(Values[Index], nullptr, 10))
             : Default;
}

} // namespace

int main(int Count, char **Values) {
  CostFleet::Options Chosen;
  Chosen.Vms = argument(Count, Values, 1, Chosen.Vms);
  Chosen.TargetRewriteInterval = milliseconds(argument(Count, Values, 2, 0));
  Chosen.Routes = argument(Count, Values, 3, 0);
  CostFleet Fleet(Chosen);
  std::printf("%u VMs, %u groups, targets rewritten every %.1f s\n", Chosen.Vms,
              Fleet.fleet().groups(), toSeconds(Chosen.TargetRewriteInterval));
  Fleet.fleet().start();
  report(Fleet, "start", seconds(10));
  Fleet.fleet().run(seconds(5));
  Fleet.mark();
  report(Fleet, "quiet", seconds(1));
  Fleet.fleet().kill(VmId("vm-7"), seconds(600));
  report(Fleet, "one VM lost", seconds(5));
  Fleet.changeConfig();
  report(Fleet, "one change of the configuration", seconds(3));
  return 0;
}
