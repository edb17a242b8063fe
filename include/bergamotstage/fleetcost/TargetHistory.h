#ifndef BERGAMOTSTAGE_FLEETCOST_TARGETHISTORY_H
#define BERGAMOTSTAGE_FLEETCOST_TARGETHISTORY_H

#include "bergamotstage/core/Ids.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace bergamotstage::fleetcost {

/// @brief Which targets of a list changed since an earlier version of it.
///
/// Keeps the latest change of each target, so that its size is that of the
/// list. The entries are looked up in the list itself.
class TargetHistory {
public:
  /// @brief Starts with a list of unknown history.
  /// @param Version version of the list; above 0
  void start(std::uint64_t Version);
  bool isStarted() const { return m_Version > 0; }
  std::uint64_t version() const { return m_Version; }

  /// @brief Records that a target was added, changed or removed, which makes
  /// a new version.
  void record(const TargetId &Id);

  /// @brief Targets that changed after a version.
  /// @return std::nullopt if that version is unknown or too old
  std::optional<std::vector<TargetId>>
  changedSince(std::uint64_t Version) const;

private:
  /// Bounds what removed targets leave behind. A fleet of 420 VMs has some 130
  /// targets.
  static constexpr std::size_t MaxChanges = 2048;

  std::uint64_t m_Version = 0;
  std::uint64_t m_Oldest = 0; ///< The first version whose changes are known.
  std::map<TargetId, std::uint64_t> m_Latest;
  std::map<std::uint64_t, TargetId> m_ByVersion;
};

} // namespace bergamotstage::fleetcost

#endif // BERGAMOTSTAGE_FLEETCOST_TARGETHISTORY_H
