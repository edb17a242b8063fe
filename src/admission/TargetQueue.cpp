#include "bergamotstage/admission/TargetQueue.h"

#include <algorithm>
#include <tuple>

namespace bergamotstage::admission {
namespace {

/// Part of the time that a statement may wait after which it should start. The
/// rest is a margin for statements that take longer than expected.
constexpr double UrgencyFraction = 0.5;
/// The same after which less important statements give way. What starts later
/// ends after the latency target of its route.
constexpr double PunctualFraction = 0.65;

Instant punctualStart(const WaitingWork &Work) {
  return Work.Since + scaled(Work.Deadline - Work.Since, PunctualFraction);
}

} // namespace

/// @brief Time at which a statement should start.
Instant TargetQueue::virtualDeadline(const WaitingWork &Work) const {
  Duration Excess = scaled(seconds(1), m_Shares.excess(Work.Account));
  return Work.Since + scaled(Work.Deadline - Work.Since, UrgencyFraction) +
         Excess;
}

bool TargetQueue::precedes(const WaitingWork &Left,
                           const WaitingWork &Right) const {
  // Open transactions hold a link and locks.
  if (Left.HoldsLink != Right.HoldsLink)
    return Left.HoldsLink;
  if (m_Order == QueueOrder::Urgency) {
    Instant LeftStart = virtualDeadline(Left);
    Instant RightStart = virtualDeadline(Right);
    return std::tie(LeftStart, Left.ArrivalNumber) <
           std::tie(RightStart, Right.ArrivalNumber);
  }
  if (Left.Priority != Right.Priority)
    return Left.Priority < Right.Priority;
  bool Fair = m_Order == QueueOrder::Fair;
  double LeftTag = Fair ? m_Shares.startTag(Left.Account) : 0;
  double RightTag = Fair ? m_Shares.startTag(Right.Account) : 0;
  return std::tie(LeftTag, Left.ArrivalNumber) <
         std::tie(RightTag, Right.ArrivalNumber);
}

void TargetQueue::sort(std::vector<WaitingWork> &Waiting) const {
  std::sort(Waiting.begin(), Waiting.end(),
            [this](const WaitingWork &Left, const WaitingWork &Right) {
              return precedes(Left, Right);
            });
}

/// @brief Whether a statement gives way to another one: it has a lower
/// priority, its account is further beyond its fair share, or it takes longer.
bool TargetQueue::isLessImportant(const Planned &Left,
                                  const Planned &Right) const {
  if (Left.Work->HoldsLink != Right.Work->HoldsLink)
    return Right.Work->HoldsLink;
  if (Left.Work->Priority != Right.Work->Priority)
    return Left.Work->Priority > Right.Work->Priority;
  double LeftExcess = m_Shares.excess(Left.Work->Account);
  double RightExcess = m_Shares.excess(Right.Work->Account);
  return std::tie(LeftExcess, Left.Seconds) >
         std::tie(RightExcess, Right.Seconds);
}

std::vector<HopelessWork>
TargetQueue::findHopeless(const std::vector<WaitingWork> &Sorted, Instant Now,
                          unsigned Slots, Duration BusyFor) const {
  std::vector<HopelessWork> Hopeless;
  std::vector<Planned> Kept;
  double Ahead = toSeconds(BusyFor) * Slots; // Slot time before the next one.
  auto StartAfter = [Slots, Now](double SlotSeconds) {
    return Now + scaled(seconds(1), SlotSeconds / Slots);
  };
  auto LessImportant = [this](const Planned &Left, const Planned &Right) {
    return isLessImportant(Left, Right);
  };
  for (const WaitingWork &Work : Sorted) {
    Planned Newest{&Work, m_SlotTimes.expected(Work.Kind)};
    Kept.push_back(Newest);
    while (StartAfter(Ahead) > punctualStart(Work)) {
      auto Least = std::min_element(Kept.begin(), Kept.end(), LessImportant);
      bool Itself = Least->Work == &Work;
      bool GivesWay = !Least->Work->HoldsLink &&
                      (Itself ? StartAfter(Ahead) > Work.Deadline
                              : Least->Work->Priority > Work.Priority ||
                                    StartAfter(Ahead) > Work.Deadline);
      if (!GivesWay)
        break;
      Hopeless.push_back({Least->Work->Key, StartAfter(Ahead) - Now});
      if (!Itself)
        Ahead -= Least->Seconds;
      Kept.erase(Least);
      if (Itself)
        break;
    }
    if (!Kept.empty() && Kept.back().Work == &Work)
      Ahead += Newest.Seconds;
  }
  return Hopeless;
}

} // namespace bergamotstage::admission
