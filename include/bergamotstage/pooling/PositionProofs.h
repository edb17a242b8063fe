#ifndef BERGAMOTSTAGE_POOLING_POSITIONPROOFS_H
#define BERGAMOTSTAGE_POOLING_POSITIONPROOFS_H

#include "bergamotstage/core/HistoryPoint.h"
#include "bergamotstage/core/Time.h"

#include <deque>
#include <optional>

namespace bergamotstage::pooling {

/// @brief Positions of one group's log that its leader has proven.
///
/// A proof (T, P) says: every commit acknowledged before T that was not rolled
/// back is in a log that holds P. T is when the leader was asked, not when it
/// answered. A read may lag behind by the age of the proof that it relies on,
/// so the oldest proof that is young enough lets the most replicas serve it.
class PositionProofs {
public:
  /// @brief Adds a proof. Complexity: amortized constant.
  void add(Instant AskedAt, const HistoryPoint &Position);

  /// @brief The oldest proof that was asked for at @p NotBefore or later.
  /// Complexity: linear in the proofs kept, which are at most MaxKept.
  std::optional<HistoryPoint> oldestSince(Instant NotBefore) const;

  /// @brief When the newest proof was asked for.
  std::optional<Instant> newest() const;

  /// @brief The highest term of any proof.
  Term highestTerm() const { return m_HighestTerm; }

private:
  /// Proofs closer together than this are kept as one: the older stays.
  static constexpr Duration Spacing = milliseconds(20);
  static constexpr std::size_t MaxKept = 256;

  struct Proof {
    Instant AskedAt;
    HistoryPoint Position;
  };
  std::deque<Proof> m_Proofs; ///< By time; the last may be within Spacing.
  Term m_HighestTerm;
};

} // namespace bergamotstage::pooling

#endif // BERGAMOTSTAGE_POOLING_POSITIONPROOFS_H
