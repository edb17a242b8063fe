#include "bergamotstage/session/PositionHistory.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace bergamotstage {
namespace {

constexpr Duration MinSpacing = milliseconds(20);

/// @brief Removes every second sample of the older half.
template <class Samples> void thinOlderHalf(Samples &List) {
  Samples Thinned;
  std::size_t Half = List.size() / 2;
  for (std::size_t Index = 0; Index < List.size(); ++Index)
    if (Index >= Half || Index % 2 == 0)
      Thinned.push_back(List[Index]);
  List = std::move(Thinned);
}

} // namespace

void PositionHistory::add(const DatabaseId &Database, Instant SentAt,
                          const HistoryPoint &Point) {
  auto &List = m_Samples[Database];
  if (!List.empty()) {
    Sample &Last = List.back();
    bool OutOfOrder = SentAt <= Last.SentAt || Point < Last.Point;
    if (OutOfOrder)
      return;
    if (Point == Last.Point) {
      Last.SentAt = SentAt;
      return;
    }
    if (SentAt - Last.SentAt < MinSpacing)
      return;
  }
  List.push_back({SentAt, Point});
  if (List.size() > MaxSamples)
    thinOlderHalf(List);
}

std::optional<Duration> PositionHistory::ageBound(const DatabaseId &Database,
                                                  const HistoryPoint &Replayed,
                                                  Instant Now) const {
  auto Found = m_Samples.find(Database);
  if (Found == m_Samples.end())
    return std::nullopt;
  const auto &List = Found->second;
  auto Covered =
      std::find_if(List.rbegin(), List.rend(), [&](const Sample &Entry) {
        return !(Replayed < Entry.Point);
      });
  if (Covered == List.rend())
    return std::nullopt;
  return Now - Covered->SentAt;
}

std::optional<Instant>
PositionHistory::newestSampleTime(const DatabaseId &Database,
                                  Term InTerm) const {
  auto Found = m_Samples.find(Database);
  if (Found == m_Samples.end() || Found->second.empty())
    return std::nullopt;
  const Sample &Last = Found->second.back();
  if (Last.Point.AtTerm != InTerm)
    return std::nullopt;
  return Last.SentAt;
}

} // namespace bergamotstage
