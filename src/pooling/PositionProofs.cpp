#include "bergamotstage/pooling/PositionProofs.h"

#include <algorithm>

namespace bergamotstage::pooling {

void PositionProofs::add(Instant RequestedAt, const HistoryPoint &Position) {
  if (Position.AtTerm < m_HighestTerm)
    return;
  // A promotion may have rolled back the log that earlier proofs refer to.
  bool RolledBack = !m_Proofs.empty() && Position < m_Proofs.back().Position &&
                    m_Proofs.back().RequestedAt < RequestedAt;
  if (m_HighestTerm < Position.AtTerm || RolledBack)
    m_Proofs.clear();
  m_HighestTerm = Position.AtTerm;
  // A late reply to an earlier request proves less than the newest proof.
  if (!m_Proofs.empty() && RequestedAt <= m_Proofs.back().RequestedAt)
    return;
  bool TooClose =
      m_Proofs.size() >= 2 &&
      RequestedAt - m_Proofs[m_Proofs.size() - 2].RequestedAt < MinSpacing;
  if (TooClose)
    m_Proofs.pop_back();
  m_Proofs.push_back({RequestedAt, Position});
  if (m_Proofs.size() > MaxProofs)
    m_Proofs.pop_front();
}

std::optional<HistoryPoint>
PositionProofs::oldestSince(Instant NotBefore) const {
  auto Found = std::find_if(m_Proofs.begin(), m_Proofs.end(),
                            [&](const Proof &Candidate) {
                              return Candidate.RequestedAt >= NotBefore;
                            });
  if (Found == m_Proofs.end())
    return std::nullopt;
  return Found->Position;
}

std::optional<Instant> PositionProofs::newest() const {
  if (m_Proofs.empty())
    return std::nullopt;
  return m_Proofs.back().RequestedAt;
}

} // namespace bergamotstage::pooling
