#include "bergamotstage/admission/TargetQueue.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

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

bool TargetQueue::precedes(const Ranked &Left, const Ranked &Right) const {
  const WaitingWork &LeftWork = Left.Work;
  const WaitingWork &RightWork = Right.Work;
  // Open transactions hold a link and locks.
  if (LeftWork.HoldsLink != RightWork.HoldsLink)
    return LeftWork.HoldsLink;
  if (m_Order == QueueOrder::Urgency)
    return std::tie(Left.Start, LeftWork.ArrivalNumber) <
           std::tie(Right.Start, RightWork.ArrivalNumber);
  if (LeftWork.Priority != RightWork.Priority)
    return LeftWork.Priority < RightWork.Priority;
  return std::tie(Left.Tag, LeftWork.ArrivalNumber) <
         std::tie(Right.Tag, RightWork.ArrivalNumber);
}

void TargetQueue::sort(std::vector<WaitingWork> &Waiting) const {
  // The shares are looked up once for each statement, not for each comparison.
  std::vector<Ranked> Sorted;
  Sorted.reserve(Waiting.size());
  for (WaitingWork &Work : Waiting) {
    Ranked Next;
    if (m_Order == QueueOrder::Urgency)
      Next.Start = virtualDeadline(Work);
    if (m_Order == QueueOrder::Fair)
      Next.Tag = m_Shares.startTag(Work.Account);
    Next.Work = std::move(Work);
    Sorted.push_back(std::move(Next));
  }
  std::sort(Sorted.begin(), Sorted.end(),
            [this](const Ranked &Left, const Ranked &Right) {
              return precedes(Left, Right);
            });
  std::transform(Sorted.begin(), Sorted.end(), Waiting.begin(),
                 [](Ranked &Next) { return std::move(Next.Work); });
}

/// @brief Whether a statement gives way to another one: it has a lower
/// priority, its account is further beyond its fair share, or it takes longer.
bool TargetQueue::IsLessImportant::operator()(const Planned &Left,
                                              const Planned &Right) const {
  if (Left.Work->HoldsLink != Right.Work->HoldsLink)
    return Right.Work->HoldsLink;
  if (Left.Work->Priority != Right.Work->Priority)
    return Left.Work->Priority > Right.Work->Priority;
  if (Left.Excess != Right.Excess)
    return Left.Excess > Right.Excess;
  if (Left.Seconds != Right.Seconds)
    return Left.Seconds > Right.Seconds;
  return Left.Place < Right.Place;
}

std::vector<HopelessWork>
TargetQueue::findHopeless(const std::vector<WaitingWork> &Sorted, Instant Now,
                          unsigned Slots, Duration BusyFor) const {
  std::vector<HopelessWork> Hopeless;
  std::set<Planned, IsLessImportant> Kept;
  double Ahead = toSeconds(BusyFor) * Slots; // Slot time before the next one.
  auto StartAfter = [Slots, Now](double SlotSeconds) {
    return Now + scaled(seconds(1), SlotSeconds / Slots);
  };
  for (std::size_t Place = 0; Place < Sorted.size(); ++Place) {
    const WaitingWork &Work = Sorted[Place];
    Planned Newest{&Work, m_Shares.excess(Work.Account),
                   m_SlotTimes.expected(Work.Kind), Place};
    Kept.insert(Newest);
    bool Remains = true;
    while (Remains && StartAfter(Ahead) > punctualStart(Work)) {
      auto Least = Kept.begin();
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
      Remains = !Itself;
    }
    if (Remains)
      Ahead += Newest.Seconds;
  }
  return Hopeless;
}

} // namespace bergamotstage::admission
