#ifndef BERGAMOTSTAGE_POOLING_RANKEDMEMBERS_H
#define BERGAMOTSTAGE_POOLING_RANKEDMEMBERS_H

#include "bergamotstage/core/Ids.h"
#include "bergamotstage/fleet/MemberState.h"
#include "bergamotstage/forward/OwnerOrder.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace bergamotstage::pooling {

/// @brief The known VMs and their rendezvous order for each subject.
///
/// An order follows the changes of VMs when it is asked for. When a large fleet
/// starts, hundreds of VMs appear one after the other, and ranking all of them
/// again for each subject took most of the processor time.
class RankedMembers {
public:
  explicit RankedMembers(const MemberState &Self) { upsert(Self); }

  const MemberMap &all() const { return m_Members; }
  /// @brief Returns the VM with a name, or null if unknown.
  const MemberState *find(const VmId &Vm) const;

  /// @brief Adds or replaces a VM.
  void upsert(const MemberState &Member);
  void erase(const VmId &Vm);
  /// @brief Marks a known VM as leaving.
  void setLeaving(const VmId &Vm);
  /// @brief Sets whether a known VM is reachable.
  /// @return whether that changed
  bool setReachable(const VmId &Vm, bool Reachable);

  /// @brief Returns the result of rankOwners(), valid until the VMs change.
  /// Complexity: logarithmic; after a change linear in the VMs, after many
  /// changes linearithmic.
  const std::vector<VmId> &ownerOrder(const std::string &Subject,
                                      const DataCentreId &Nearby) const;

private:
  struct CachedOrder {
    OwnerOrder Order;
    std::uint64_t Version = 0; ///< Changes that it contains.
  };

  void recordChange(const VmId &Vm);
  void bringUpToDate(CachedOrder &Cached) const;

  MemberMap m_Members;
  std::uint64_t m_Version = 0;             ///< Changes since the start.
  std::map<std::uint64_t, VmId> m_Changes; ///< The latest, by version.
  mutable std::map<std::pair<std::string, DataCentreId>, CachedOrder> m_Orders;
};

} // namespace bergamotstage::pooling

#endif // BERGAMOTSTAGE_POOLING_RANKEDMEMBERS_H
