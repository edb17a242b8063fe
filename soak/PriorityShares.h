#ifndef BERGAMOTSTAGE_SOAK_PRIORITYSHARES_H
#define BERGAMOTSTAGE_SOAK_PRIORITYSHARES_H

#include <array>
#include <string>
#include <vector>

namespace bergamotstage::soak {

/// @brief Shares of an account's operations that were served, by priority.
class PriorityShares {
public:
  static constexpr unsigned Priorities = 3;

  /// @param Served whether the operation was served; else it only begins
  void count(unsigned Priority, bool Served);

  /// @brief Returns the shares as text, the most urgent priority first.
  std::string text() const;

  /// @brief Describes each priority that was served worse than a less urgent
  /// one.
  std::vector<std::string> violations() const;

private:
  struct Counter {
    unsigned Begun = 0;
    unsigned Served = 0;
    double share() const;
  };
  std::array<Counter, Priorities> m_Counters;
};

} // namespace bergamotstage::soak

#endif // BERGAMOTSTAGE_SOAK_PRIORITYSHARES_H
