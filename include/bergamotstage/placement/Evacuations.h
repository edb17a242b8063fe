#ifndef BERGAMOTSTAGE_PLACEMENT_EVACUATIONS_H
#define BERGAMOTSTAGE_PLACEMENT_EVACUATIONS_H

#include "bergamotstage/core/Ids.h"
#include "bergamotstage/core/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace bergamotstage::placement {

/// @brief Data centres that an operator has evacuated, and the version of the
/// store that shows them.
struct EvacuationList {
  std::uint64_t Version = 0; ///< 0 if nothing was read yet.
  std::set<DataCentreId> DataCentres;
};

/// @brief What this VM knows of evacuated data centres.
///
/// Nothing is sent to the targets of an evacuated data centre from a time on
/// that is counted from when this VM learned of it.
class Evacuations {
public:
  /// @brief Time from the store's acknowledgement until nothing may arrive at
  /// the targets any more. What a VM needs to learn of it is subtracted.
  void setBound(Duration Bound);

  /// @brief Applies a full list; one with a lower version is ignored.
  /// @return whether a data centre was evacuated or taken back
  bool apply(const EvacuationList &List, Instant Now);

  /// @brief Applies the change of one data centre; an older one is ignored.
  /// @return whether the data centre was evacuated or taken back
  bool applyChange(const DataCentreId &DataCentre, bool Evacuated,
                   std::uint64_t Version, Instant Now);

  bool contains(const DataCentreId &DataCentre) const {
    return m_Since.count(DataCentre) > 0;
  }
  /// @brief Whether statements may still be sent to a data centre's targets:
  /// to a primary until it is replaced, and in transactions that are open.
  bool maySend(const DataCentreId &DataCentre, Instant Now) const;

  /// @brief Next time at which maySend() changes; empty if there is none.
  std::optional<Instant> nextDeadline(Instant Now) const;

  EvacuationList list() const;

private:
  std::uint64_t m_Version = 0;
  std::map<DataCentreId, Instant> m_Since; ///< When this VM learned of it.
  Duration m_Grace{};
};

} // namespace bergamotstage::placement

#endif // BERGAMOTSTAGE_PLACEMENT_EVACUATIONS_H
