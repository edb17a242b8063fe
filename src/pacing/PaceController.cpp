#include "bergamotstage/pacing/PaceController.h"

#include <algorithm>

namespace bergamotstage::pacing {
namespace {

/// Factor of a decrease: four slots become three, two and one.
constexpr double ShrinkFactor = 0.75;
/// Increase for one round of answers after the first trouble.
constexpr double GrowthPerRound = 0.5;
/// Weight of the newest answer in the moving averages; a target that turns six
/// times slower is noticed after five answers, and one bad answer is not.
constexpr double NewestWeight = 0.1;
/// Slot times vary about as much as their mean, so that the average of the
/// latest ones rarely exceeds this multiple of the usual by chance.
constexpr double SlowRatio = 3;
/// Neither grows nor shrinks between the two.
constexpr double UsualRatio = 2;
constexpr double MaxSampleRatio = 10;
/// Weight of the newest answer in the usual time, which counts at most as
/// UsualRatio times the usual, so that a slow target stays known as slow.
constexpr double UsualWeight = 0.01;
/// Answers before and after a decrease that show its effect. Where slot times
/// fall by no more than the number of statements, the target does not get more
/// work done, and the decrease only costs throughput.
constexpr unsigned TrialAnswers = 12;
constexpr double NoEffectRatio = ShrinkFactor;
/// Answers of a kind before its usual time is known.
constexpr std::uint64_t MinSamples = 10;
/// Routes come and go with the configuration.
constexpr std::size_t MaxKinds = 256;
/// Failing shares from which the pace shrinks by one step, and further. Up to
/// half of the statements are known to fail on targets that are otherwise well
/// and would only lose throughput.
constexpr double FailingRate = 0.2;
constexpr double BrokenRate = 0.7;

} // namespace

const char *paceReasonName(PaceReason Reason) {
  switch (Reason) {
  case PaceReason::Started:
    return "started";
  case PaceReason::Learned:
    return "learned";
  case PaceReason::Promoted:
    return "promoted";
  case PaceReason::Grown:
    return "grown";
  case PaceReason::Busy:
    return "busy";
  case PaceReason::Slow:
    return "slow";
  case PaceReason::Failed:
    return "failed";
  case PaceReason::Unreachable:
    return "unreachable";
  }
  return "unknown";
}

double PaceController::half() const { return std::max(1.0, m_Slots / 2.0); }

void PaceController::setSlots(unsigned Slots) {
  bool Raised = Slots > m_Slots && m_Limit >= m_Slots;
  m_Slots = std::max(1U, Slots);
  if (!m_Known)
    m_Limit = half();
  else if (Raised)
    m_Ramping = true;
  m_Known = true;
  m_Limit = std::min<double>(m_Limit, m_Slots);
}

void PaceController::adopt(unsigned Pace) {
  if (Pace == 0)
    return;
  m_Limit = std::min(Pace, m_Slots);
  m_Ramping = m_Limit >= m_Slots;
  m_Reason = PaceReason::Learned;
}

void PaceController::onPromoted() {
  m_Limit = std::min(m_Limit, half());
  m_Trial.reset();
  m_Ramping = true;
  m_Reason = PaceReason::Promoted;
}

void PaceController::onUnreachable(Instant Now) {
  m_Limit = 1;
  m_Ramping = true;
  m_Trial.reset();
  m_ShrunkAt = Now;
  m_Reason = PaceReason::Unreachable;
}

/// @brief Slot time relative to the usual one of its kind.
double PaceController::relativeTime(const admission::WorkKind &Kind,
                                    Duration Held) {
  if (m_Usual.size() >= MaxKinds && m_Usual.count(Kind) == 0)
    m_Usual.clear();
  Usual &Known = m_Usual[Kind];
  double Seconds = toSeconds(Held);
  bool Judged = Known.Samples >= MinSamples && Known.Seconds > 0;
  double Ratio = Judged ? Seconds / Known.Seconds : m_KnownSlow;
  // A slow target must not become the measure of itself.
  if (Judged && m_SlowRatio > UsualRatio)
    return Ratio;
  ++Known.Samples;
  double Weight = std::max(UsualWeight, 1 / static_cast<double>(Known.Samples));
  double Counted =
      Judged ? std::min(Seconds, UsualRatio * Known.Seconds) : Seconds;
  Known.Seconds += Weight * (Counted - Known.Seconds);
  return Ratio;
}

void PaceController::recordFailed(bool Failed) {
  m_FailureRate += NewestWeight * ((Failed ? 1 : 0) - m_FailureRate);
}

void PaceController::recordRatio(double Ratio) {
  double Counted = std::min(Ratio, MaxSampleRatio * m_KnownSlow);
  m_SlowRatio += NewestWeight * (Counted - m_SlowRatio);
  m_KnownSlow = std::max(1.0, std::min(m_KnownSlow, m_SlowRatio));
}

void PaceController::advanceTrial(double Ratio, Instant SentAt, Instant Now) {
  if (m_Trial->Answers < TrialAnswers) {
    m_Trial->SumBefore += Ratio;
    if (++m_Trial->Answers == TrialAnswers)
      shrink(1, PaceReason::Slow, Now, Now);
    return;
  }
  if (SentAt < m_ShrunkAt)
    return;
  m_Trial->SumAfter += Ratio;
  if (++m_Trial->Answers == 2 * TrialAnswers)
    endTrial();
}

/// @brief Takes a decrease back if the answers after it were as slow.
void PaceController::endTrial() {
  Trial Ended = *m_Trial;
  m_Trial.reset();
  m_SlowRatio = Ended.SumAfter / TrialAnswers;
  if (Ended.SumAfter < NoEffectRatio * Ended.SumBefore)
    return;
  m_KnownSlow = std::max(1.0, m_SlowRatio);
  m_Limit = std::min<double>(Ended.LimitBefore, m_Slots);
  m_Reason = PaceReason::Grown;
}

void PaceController::onAnswer(const admission::WorkKind &Kind, Duration Held,
                              Instant Now) {
  double Ratio = relativeTime(Kind, Held);
  recordFailed(false);
  recordRatio(Ratio);
  if (m_Trial)
    return advanceTrial(Ratio, Now - Held, Now);
  bool Slow = m_SlowRatio > SlowRatio * m_KnownSlow;
  if (Slow && m_Limit > 1) {
    m_Ramping = false;
    m_Trial = Trial{m_Limit};
    return;
  }
  double Usually = UsualRatio * m_KnownSlow;
  if (Ratio <= Usually && m_SlowRatio <= Usually)
    grow(m_Ramping ? 1 : GrowthPerRound / m_Limit);
}

void PaceController::onOpened() {
  if (m_Ramping)
    grow(1);
}

void PaceController::onBusy(Instant SentAt, Instant Now) {
  m_Trial.reset();
  shrink(1, PaceReason::Busy, SentAt, Now);
}

void PaceController::onFailure(Instant SentAt, Instant Now) {
  recordFailed(true);
  if (m_FailureRate > FailingRate)
    shrink(m_FailureRate > BrokenRate ? 1 : m_Slots * ShrinkFactor,
           PaceReason::Failed, SentAt, Now);
}

void PaceController::grow(double Step) {
  if (m_Limit >= m_Slots)
    return;
  unsigned Before = pace();
  m_Limit = std::min<double>(m_Limit + Step, m_Slots);
  if (pace() != Before)
    m_Reason = PaceReason::Grown;
}

void PaceController::shrink(double Least, PaceReason Reason, Instant SentAt,
                            Instant Now) {
  if (SentAt < m_ShrunkAt)
    return;
  m_Ramping = false;
  if (m_Limit <= Least)
    return;
  m_Limit = std::max(Least, m_Limit * ShrinkFactor);
  m_ShrunkAt = Now;
  m_Reason = Reason;
}

unsigned PaceController::pace() const {
  return std::max(1U, static_cast<unsigned>(m_Limit));
}

} // namespace bergamotstage::pacing
