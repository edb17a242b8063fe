#ifndef BERGAMOTSTAGE_FORWARD_RENDEZVOUS_H
#define BERGAMOTSTAGE_FORWARD_RENDEZVOUS_H

#include "bergamotstage/fleet/MemberState.h"

#include <string_view>
#include <vector>

namespace bergamotstage {

/// @brief Ranks the VMs that are reachable and not leaving as owners of a
/// subject, best first.
///
/// Uses weighted rendezvous hashing and puts VMs of one data centre before all
/// others. When a VM joins or leaves, only the subjects that it gains or loses
/// change their owner. VMs with more processor cores own more subjects.
/// @param Subject name of the object that is owned, such as a database
/// @param PreferredCentre data centre whose VMs come first; empty for none
/// Complexity: linearithmic in the VMs.
std::vector<VmId> rankOwners(std::string_view Subject,
                             const DataCentreId &PreferredCentre,
                             const MemberMap &Members);

/// @brief Score of a VM in weighted rendezvous hashing: the probability that a
/// VM has the highest score of a subject is proportional to its weight.
double rendezvousScore(std::string_view Subject, const MemberState &Member);

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_FORWARD_RENDEZVOUS_H
