#ifndef BERGAMOTSTAGE_POOLING_POSITIONPROOFS_H
#define BERGAMOTSTAGE_POOLING_POSITIONPROOFS_H

#include "bergamotstage/core/HistoryPoint.h"
#include "bergamotstage/core/Time.h"

#include <deque>
#include <optional>

namespace bergamotstage::pooling {

/// @brief Log positions of one group that its primary has proven.
///
/// A proof (T, P) states that every commit acknowledged before T and not rolled
/// back is in a log that contains P. T is the time of the request to the
/// primary, not of its reply. A read may be as stale as the proof that it uses,
/// so the oldest proof within the staleness bound admits the most replicas.
class PositionProofs {
public:
  /// @brief Adds a proof. Complexity: amortized constant.
  void add(Instant RequestedAt, const HistoryPoint &Position);

  /// @brief Position of the oldest proof requested at @p NotBefore or later.
  /// Complexity: linear in the number of proofs, at most MaxProofs.
  std::optional<HistoryPoint> oldestSince(Instant NotBefore) const;

  /// @brief Request time of the newest proof.
  std::optional<Instant> newest() const;

  /// @brief The highest term of any proof.
  Term highestTerm() const { return m_HighestTerm; }

private:
  /// Of proofs closer together than this, only the older one is kept.
  static constexpr Duration MinSpacing = milliseconds(20);
  static constexpr std::size_t MaxProofs = 256;

  struct Proof {
    Instant RequestedAt;
    HistoryPoint Position;
  };
  std::deque<Proof> m_Proofs; ///< By time; the last may be within MinSpacing.
  Term m_HighestTerm;
};

} // namespace bergamotstage::pooling

#endif // BERGAMOTSTAGE_POOLING_POSITIONPROOFS_H
