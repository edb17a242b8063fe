#include "PriorityShares.h"

#include <cmath>
#include <cstdio>

namespace bergamotstage::soak {
namespace {

/// Three standard errors of the difference of two shares: 0.1 % of the runs
/// exceed it by chance where the priorities are served alike.
constexpr double StandardErrors = 3;
/// Faults end many operations at once, so that their outcomes are not
/// independent. Under the older policies, which give tokens without regard to
/// priority, shares of seeds 3000 to 3019 differed by up to 0.081, or 3.4
/// standard errors; this margin covers that.
constexpr double FaultMargin = 0.03;

std::string percent(double Share) {
  constexpr double PerCent = 100;
  std::array<char, 16> Text{};
  std::snprintf(Text.data(), Text.size(), "%.1f %%", Share * PerCent);
  return Text.data();
}

} // namespace

double PriorityShares::Counter::share() const {
  return Begun == 0 ? 0 : static_cast<double>(Served) / Begun;
}

void PriorityShares::count(unsigned Priority, bool Served) {
  Counter &Changed = m_Counters.at(Priority);
  ++(Served ? Changed.Served : Changed.Begun);
}

std::string PriorityShares::text() const {
  std::string Text;
  for (const Counter &Counted : m_Counters)
    Text += (Text.empty() ? "" : ", ") + percent(Counted.share()) + " of " +
            std::to_string(Counted.Begun);
  return Text;
}

std::vector<std::string> PriorityShares::violations() const {
  std::vector<std::string> Found;
  auto Variance = [](const Counter &Counted) {
    return Counted.share() * (1 - Counted.share()) / Counted.Begun;
  };
  for (unsigned Urgent = 0; Urgent < Priorities; ++Urgent)
    for (unsigned Other = Urgent + 1; Other < Priorities; ++Other) {
      const Counter &First = m_Counters.at(Urgent);
      const Counter &Second = m_Counters.at(Other);
      if (First.Begun == 0 || Second.Begun == 0)
        continue;
      double Margin =
          FaultMargin +
          StandardErrors * std::sqrt(Variance(First) + Variance(Second));
      if (First.share() + Margin < Second.share())
        Found.push_back("priority " + std::to_string(Urgent) + " was served " +
                        percent(First.share()) + ", priority " +
                        std::to_string(Other) + " " + percent(Second.share()) +
                        ", margin " + percent(Margin));
    }
  return Found;
}

} // namespace bergamotstage::soak
