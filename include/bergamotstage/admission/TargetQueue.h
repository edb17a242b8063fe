#ifndef BERGAMOTSTAGE_ADMISSION_TARGETQUEUE_H
#define BERGAMOTSTAGE_ADMISSION_TARGETQUEUE_H

#include "bergamotstage/admission/FairShares.h"
#include "bergamotstage/admission/QueueOrder.h"
#include "bergamotstage/admission/SlotTimes.h"
#include "bergamotstage/core/Ids.h"
#include "bergamotstage/core/Time.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace bergamotstage::admission {

/// @brief One statement that waits for a slot of a target.
struct WaitingWork {
  std::uint64_t Key = 0; ///< Chosen by the caller of TargetQueue.
  AccountId Account;
  unsigned Priority = 0; ///< 0 is the highest.
  WorkKind Kind;
  Instant Since{};
  Instant Deadline{};     ///< Latest useful start.
  bool HoldsLink = false; ///< Of an open transaction.
  std::uint64_t ArrivalNumber = 0;
};

/// @brief A statement that cannot start in time.
struct HopelessWork {
  std::uint64_t Key = 0;
  Duration ExpectedWait{}; ///< Until it could start.
};

/// @brief Decides which waiting statement of a target runs next, and which
/// cannot run in time.
///
/// With QueueOrder::Urgency, statements run by the middle of the time that they
/// may wait, so that one of low priority with a near deadline precedes an
/// urgent one that has slack; an account beyond its fair share moves back by
/// the slot time that it is ahead. If not all can start in time, the least
/// important ones give way until the others can.
class TargetQueue {
public:
  void setOrder(QueueOrder Order) { m_Order = Order; }
  QueueOrder order() const { return m_Order; }

  SlotTimes &slotTimes() { return m_SlotTimes; }
  const SlotTimes &slotTimes() const { return m_SlotTimes; }
  FairShares &shares() { return m_Shares; }
  const FairShares &shares() const { return m_Shares; }

  /// @brief Sorts waiting statements into the order in which they should run.
  /// Complexity: O(n log n).
  void sort(std::vector<WaitingWork> &Waiting) const;

  /// @brief Finds the statements that give way in an overload.
  /// @param Sorted result of sort()
  /// @param Slots statements that the target runs at once; at least 1
  /// @param BusyFor expected time until a slot is free
  /// Complexity: O(n log n).
  std::vector<HopelessWork> findHopeless(const std::vector<WaitingWork> &Sorted,
                                         Instant Now, unsigned Slots,
                                         Duration BusyFor) const;

private:
  /// @brief A statement with what its place in the order depends on.
  struct Ranked {
    WaitingWork Work;
    Instant Start{}; ///< Time at which it should start.
    double Tag = 0;  ///< Start tag of its account.
  };
  struct Planned {
    const WaitingWork *Work;
    double Excess;     ///< Of its account.
    double Seconds;    ///< Expected slot time.
    std::size_t Place; ///< In the order.
  };
  struct IsLessImportant {
    bool operator()(const Planned &Left, const Planned &Right) const;
  };

  bool precedes(const Ranked &Left, const Ranked &Right) const;
  Instant virtualDeadline(const WaitingWork &Work) const;

  QueueOrder m_Order = QueueOrder::Fair;
  SlotTimes m_SlotTimes;
  FairShares m_Shares;
};

} // namespace bergamotstage::admission

#endif // BERGAMOTSTAGE_ADMISSION_TARGETQUEUE_H
