#include "bergamotstage/configcheck/NearestName.h"

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace bergamotstage::configcheck {
namespace {

constexpr std::size_t MaxDistance = 2;
/// Among short names, two changes turn one word into another.
constexpr std::size_t ShortName = 5;

/// @brief Number of insertions, deletions and replacements between two texts,
/// or a number above MaxDistance where their lengths differ by more.
std::size_t editDistance(std::string_view Left, std::string_view Right) {
  std::size_t Longer = std::max(Left.size(), Right.size());
  if (Longer - std::min(Left.size(), Right.size()) > MaxDistance)
    return MaxDistance + 1;
  std::vector<std::size_t> Row(Right.size() + 1);
  std::iota(Row.begin(), Row.end(), 0);
  for (std::size_t I = 0; I < Left.size(); ++I) {
    std::size_t Diagonal = Row[0]++;
    for (std::size_t J = 0; J < Right.size(); ++J) {
      std::size_t Replaced = Diagonal + (Left[I] == Right[J] ? 0 : 1);
      Diagonal = Row[J + 1];
      Row[J + 1] = std::min({Replaced, Row[J] + 1, Diagonal + 1});
    }
  }
  return Row.back();
}

} // namespace

std::string nearestName(std::string_view Name,
                        const std::vector<std::string> &Known) {
  std::size_t Best = MaxDistance + 1;
  std::string Nearest;
  for (const std::string &Candidate : Known) {
    std::size_t Distance = editDistance(Name, Candidate);
    bool IsNear = Candidate.size() > ShortName || Distance < MaxDistance;
    if (IsNear && Distance < Best) {
      Best = Distance;
      Nearest = Candidate;
    }
  }
  return Nearest;
}

} // namespace bergamotstage::configcheck
