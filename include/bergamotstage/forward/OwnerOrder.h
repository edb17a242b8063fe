#ifndef BERGAMOTSTAGE_FORWARD_OWNERORDER_H
#define BERGAMOTSTAGE_FORWARD_OWNERORDER_H

#include "bergamotstage/fleet/MemberState.h"

#include <string>
#include <vector>

namespace bergamotstage {

/// @brief The result of rankOwners() for one subject, which follows changes of
/// single VMs.
class OwnerOrder {
public:
  OwnerOrder(std::string Subject, DataCentreId PreferredCentre)
      : m_Subject(std::move(Subject)),
        m_PreferredCentre(std::move(PreferredCentre)) {}

  /// @brief Ranks all VMs anew. Complexity: linearithmic in the VMs.
  void rebuild(const MemberMap &Members);
  /// @brief Moves, adds or removes one VM. Complexity: linear in the VMs, with
  /// one hash.
  /// @param Member state of the VM, or null if it is unknown
  void update(const VmId &Vm, const MemberState *Member);

  /// @brief The VMs that are reachable and not leaving, best first.
  const std::vector<VmId> &vms() const { return m_Vms; }

private:
  struct Rank {
    bool InPreferredCentre = false;
    double Score = 0;
    friend bool operator<(const Rank &Left, const Rank &Right) {
      if (Left.InPreferredCentre != Right.InPreferredCentre)
        return Left.InPreferredCentre;
      return Left.Score > Right.Score;
    }
  };

  Rank rankOf(const MemberState &Member) const;

  std::string m_Subject;
  DataCentreId m_PreferredCentre;
  std::vector<VmId> m_Vms;
  std::vector<Rank> m_Ranks; ///< Of the VMs at the same positions.
};

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_FORWARD_OWNERORDER_H
