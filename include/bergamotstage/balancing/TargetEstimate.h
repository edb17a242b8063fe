#ifndef BERGAMOTSTAGE_BALANCING_TARGETESTIMATE_H
#define BERGAMOTSTAGE_BALANCING_TARGETESTIMATE_H

#include "bergamotstage/core/Time.h"
#include "bergamotstage/pooling/OperationRequest.h"

#include <random>

namespace bergamotstage::balancing {

/// @brief What this VM knows of the load of one target, for
/// ReadRule::Kind::LeastWait.
///
/// A report of the owner loses weight with its age, and statements that this VM
/// has sent since count on top of it. Each estimate is drawn around the
/// reported wait, so that VMs which read the same report do not all choose the
/// same target.
class TargetEstimate {
public:
  /// @brief Replaces the report of the target's owner.
  void recordReport(const pooling::TargetLoad &Load, Instant Now);

  const pooling::TargetLoad &report() const { return m_Report; }
  /// @brief Age of the report; that of the process's clock without one.
  Duration reportAge(Instant Now) const { return Now - m_ReportedAt; }

  /// @brief Counts a statement that this VM sends to the target. The first one
  /// after an ejection is the trial.
  void recordSent(Instant Now);

  /// @brief Counts the outcome of a statement of this VM.
  /// @param Failed the target ran it and failed, or did not answer
  void recordOutcome(bool Failed, Instant Now);

  /// @brief Whether reads should avoid the target because it fails.
  ///
  /// It gets one trial after a back-off that doubles with each failed trial.
  bool isEjected(Instant Now) const { return Now < m_EjectedUntil; }

  /// @brief Expected time until the target answers a new statement.
  /// @param Slots published slots of the target; at least 1
  Duration expectedTime(unsigned Slots, Instant Now,
                        std::mt19937_64 &Random) const;

private:
  pooling::TargetLoad m_Report;
  Instant m_ReportedAt{};
  unsigned m_SentSinceReport = 0;
  Instant m_LastSentAt{};
  double m_FailureRate = 0; ///< Moving average of this VM, from 0 to 1.
  Duration m_Backoff{};     ///< Of the last ejection.
  Instant m_EjectedUntil{};
  bool m_OnTrial = false; ///< The outcome of a trial is not known yet.
};

} // namespace bergamotstage::balancing

#endif // BERGAMOTSTAGE_BALANCING_TARGETESTIMATE_H
