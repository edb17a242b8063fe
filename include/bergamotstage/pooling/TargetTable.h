#ifndef BERGAMOTSTAGE_POOLING_TARGETTABLE_H
#define BERGAMOTSTAGE_POOLING_TARGETTABLE_H

#include "bergamotstage/core/Ids.h"
#include "bergamotstage/core/Time.h"
#include "bergamotstage/placement/Evacuations.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bergamotstage::pooling {

/// @brief A target as it registers itself in the platform's store.
struct TargetEntry {
  TargetId Id;
  DatabaseId Group;
  std::string Address; ///< IP address and port.
  DataCentreId DataCentre;
  unsigned Slots = 1;             ///< Concurrent statements.
  bool Draining = false;          ///< Accepts no new operations; will leave.
  bool ReportsPrimary = false;    ///< Reports itself as primary.
  std::uint64_t ProcessStart = 0; ///< Changes when a restart loses state.
  Duration ColdFor{};        ///< Remaining time of its cold start; 0 if warm.
  std::uint64_t Version = 0; ///< Row version; rises with each change.
};

/// @brief Targets and primaries of all groups, as listed by the store.
class TargetTable {
public:
  /// @brief Effect of an entry on the table. Rewritten: only the version of the
  /// row is new.
  enum class Change : std::uint8_t {
    None,
    Rewritten,
    Added,
    Modified,
    Restarted
  };

  /// @brief Inserts or updates an entry. Complexity: logarithmic.
  Change apply(const TargetEntry &Entry, Instant Now);

  /// @brief Records that a target's entry was removed from the store.
  ///
  /// The target is kept until removeExpired(): entries also expire while
  /// targets cannot reach the store.
  /// @return whether the entry was listed until now
  bool remove(const TargetId &Id, Instant Now);

  /// @brief Removes targets whose entries have been missing for @p Grace.
  std::vector<TargetId> removeExpired(Instant Now, Duration Grace);

  const TargetEntry *find(const TargetId &Id) const;
  /// @brief Whether the store lists a target.
  bool isListed(const TargetId &Id) const;
  /// @brief Targets of a group; empty if it is unknown.
  std::vector<TargetId> groupMembers(const DatabaseId &Group) const;
  /// @brief Uses the evacuated data centres, which outlive the table.
  void setEvacuations(const placement::Evacuations &Known) {
    m_Evacuations = &Known;
  }
  /// @brief Whether a target is listed, not draining, and not in an evacuated
  /// data centre.
  bool acceptsOperations(const TargetId &Id) const;
  /// @brief Whether a primary may get operations. A draining or evacuated one
  /// may until the deadline for its failover.
  bool mayServeAsPrimary(const TargetId &Id, Instant Now) const;
  /// @brief Whether a target is in an evacuated data centre.
  bool isEvacuated(const TargetId &Id) const;
  /// @brief End of a target's cold start; the epoch if it is warm.
  Instant coldUntil(const TargetId &Id) const;
  /// @brief Whether statements of open transactions may be sent to a target.
  bool maySend(const TargetId &Id, Instant Now) const;
  /// @brief Whether all targets of a group are in evacuated data centres.
  bool isWhollyEvacuated(const DatabaseId &Group) const;

  /// @brief The primary of a group; empty if unknown.
  std::optional<TargetId> primary(const DatabaseId &Group) const;
  /// @brief Records a promotion that has taken effect.
  void recordPromotion(const DatabaseId &Group, const TargetId &Id,
                       Term NewTerm);
  /// @brief Targets that claim to be primary and were rejected, of groups
  /// without a known primary. Complexity: linear in the targets for each.
  std::vector<TargetId> unresolvedClaims() const;
  /// @brief The newest version of a row that the store is known to have.
  std::uint64_t newestVersion() const { return m_NewestVersion; }
  void recordVersion(std::uint64_t Version) {
    m_NewestVersion = std::max(m_NewestVersion, Version);
  }
  /// @brief Records that a target refused a request as not being primary.
  void rejectPrimaryClaim(const TargetId &Id);

  const std::map<TargetId, TargetEntry> &entries() const { return m_Entries; }

private:
  bool wasPrimary(const TargetEntry &Before);
  struct PromotionRecord {
    TargetId Id;
    Term AtTerm;
    std::uint64_t KnownVersion = 0; ///< Newest row version when recorded.
  };

  std::map<TargetId, TargetEntry> m_Entries;
  std::map<TargetId, Instant> m_MissingSince;
  std::map<TargetId, Instant> m_DrainingSince;
  std::map<TargetId, Instant> m_ColdUntil;
  std::map<TargetId, std::uint64_t> m_RejectedClaims; ///< Version of the row.
  std::map<DatabaseId, PromotionRecord> m_Promoted;
  std::uint64_t m_NewestVersion = 0;
  const placement::Evacuations *m_Evacuations = nullptr;
};

} // namespace bergamotstage::pooling

#endif // BERGAMOTSTAGE_POOLING_TARGETTABLE_H
