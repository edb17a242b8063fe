#include "bergamotstage/pooling/TargetPool.h"

#include <algorithm>
#include <cmath>

// The part of TargetPool that asks module pacing how much may be sent.

namespace bergamotstage::pooling {

void TargetPool::setLimits(const Limits &NewLimits) {
  bool Promoted = m_LimitsSet && NewLimits.IsPrimary && !m_Limits.IsPrimary;
  bool TakesOver = NewLimits.IsOwner && !m_Limits.IsOwner;
  m_Limits = NewLimits;
  m_LimitsSet = true;
  m_Queue.setOrder(NewLimits.Order);
  m_Pace.setSlots(NewLimits.Slots);
  if (Promoted)
    m_Pace.onPromoted();
  if (TakesOver)
    m_Pace.adopt(NewLimits.ReportedPace);
  m_Cold.setBound(NewLimits.Cold, NewLimits.ColdRank, m_Context.now());
}

/// @brief Statements that may be in flight.
unsigned TargetPool::usableSlots() const {
  return m_Limits.AdaptivePace ? m_Pace.pace() : m_Limits.Slots;
}

/// @brief Slots with which the wait of queued statements is expected; the bound
/// of a cold target leaves some without work.
unsigned TargetPool::workingSlots() const {
  unsigned Usable = std::max(1U, usableSlots());
  auto Rate = m_Cold.rate(m_Context.now());
  if (!Rate)
    return Usable;
  double Working = std::ceil(*Rate * m_ServiceSeconds);
  return std::clamp(static_cast<unsigned>(Working), 1U, Usable);
}

/// @brief Whether the bound of a cold target allows a statement now.
bool TargetPool::mayStart(const QueueEntry &Next) const {
  if (!needsSlot(Next.Request.First.Kind))
    return true;
  return m_Cold.maySend(opensTransaction(Next) ? 2 : 1, m_Context.now());
}

/// @brief Counts a request against the bound of a cold target.
void TargetPool::chargeColdBound(LinkRequest::Kind Type) {
  bool Counts = Type == LinkRequest::Kind::CallerStatement ||
                Type == LinkRequest::Kind::Begin ||
                Type == LinkRequest::Kind::BeginReadOnly ||
                Type == LinkRequest::Kind::Status;
  if (Counts)
    m_Cold.recordSent(m_Context.now());
}

/// @brief Reports the answer to a statement to the pace.
void TargetPool::recordPace(const QueueEntry &Ended,
                            const std::optional<ErrorCode> &Error) {
  unsigned Before = m_Pace.pace();
  Instant Now = m_Context.now();
  if (!Error)
    m_Pace.onAnswer(workKind(Ended.Request), Now - Ended.SentAt, Now);
  else if (Error == ErrorCode::Busy)
    m_Pace.onBusy(Ended.SentAt, Now);
  else if (Error == ErrorCode::Failed || Error == ErrorCode::Timeout)
    m_Pace.onFailure(Ended.SentAt, Now);
  logPace(Before);
}

void TargetPool::logPace(unsigned Before) {
  if (!m_Limits.AdaptivePace || m_Pace.pace() >= Before)
    return;
  m_Context.log(WriteLog::Level::Info, "target_pace_lowered",
                {{"target", m_Id.value()},
                 {"pace", std::to_string(m_Pace.pace())},
                 {"slots", std::to_string(m_Limits.Slots)},
                 {"reason", pacing::paceReasonName(m_Pace.lastReason())}});
}

} // namespace bergamotstage::pooling
