#ifndef BERGAMOTSTAGE_PACING_PACECONTROLLER_H
#define BERGAMOTSTAGE_PACING_PACECONTROLLER_H

#include "bergamotstage/admission/SlotTimes.h"
#include "bergamotstage/core/Time.h"
#include "bergamotstage/pacing/PaceReason.h"

#include <cstdint>
#include <map>
#include <optional>

namespace bergamotstage::pacing {

/// @brief Decides how many statements one target may run at once, below its
/// published slots, from how it answers.
///
/// Additive increase with multiplicative decrease. After a start or a return
/// the pace rises by one with each answer until the first sign of trouble.
/// Answers to statements that were sent before the last decrease cause no
/// further one. A decrease because of slow answers is a trial: if the next ones
/// are as slow, the number of statements is not the cause, and the decrease is
/// taken back. The pace is at least 1.
class PaceController {
public:
  /// @brief Sets the published slots of the target; at least 1.
  void setSlots(unsigned Slots);

  /// @brief Continues with the pace that the previous owner reported.
  void adopt(unsigned Pace);
  /// @brief Starts again at half of the slots at most.
  void onPromoted();
  /// @brief Continues with one statement at a time.
  void onUnreachable(Instant Now);

  /// @brief A statement was executed.
  /// @param Held time for which it held its slot
  void onAnswer(const admission::WorkKind &Kind, Duration Held, Instant Now);
  /// @brief The target accepted a new connection.
  void onOpened();
  /// @brief The target refused a statement for want of capacity.
  void onBusy(Instant SentAt, Instant Now);
  /// @brief The target failed a statement or did not answer it.
  void onFailure(Instant SentAt, Instant Now);

  /// @brief Statements that may be in flight; from 1 to the slots.
  unsigned pace() const;
  unsigned slots() const { return m_Slots; }
  PaceReason lastReason() const { return m_Reason; }

private:
  /// @brief Mean slot time of one kind of statement.
  struct Usual {
    double Seconds = 0;
    std::uint64_t Samples = 0;
  };

  /// @brief A decrease because of slow answers: relative slot times of some
  /// answers before it, and of as many after it.
  struct Trial {
    double LimitBefore = 1;
    double SumBefore = 0;
    double SumAfter = 0;
    unsigned Answers = 0;
  };

  void recordRatio(double Ratio);
  void advanceTrial(double Ratio, Instant SentAt, Instant Now);
  void endTrial();
  void grow(double Step);
  void shrink(double Least, PaceReason Reason, Instant SentAt, Instant Now);
  double half() const;
  double relativeTime(const admission::WorkKind &Kind, Duration Held);
  void recordFailed(bool Failed);

  unsigned m_Slots = 1;
  double m_Limit = 1;     ///< The pace, with its fraction.
  bool m_Known = false;   ///< Slots were set.
  bool m_Ramping = true;  ///< No trouble since the start.
  double m_SlowRatio = 1; ///< Moving average of slot time to the usual one.
  double m_KnownSlow = 1; ///< The ratio that no decrease improved.
  std::optional<Trial> m_Trial;
  double m_FailureRate = 0; ///< Moving average from 0 to 1.
  Instant m_ShrunkAt{};
  PaceReason m_Reason = PaceReason::Started;
  std::map<admission::WorkKind, Usual> m_Usual;
};

} // namespace bergamotstage::pacing

#endif // BERGAMOTSTAGE_PACING_PACECONTROLLER_H
