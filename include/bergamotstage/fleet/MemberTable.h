#ifndef BERGAMOTSTAGE_FLEET_MEMBERTABLE_H
#define BERGAMOTSTAGE_FLEET_MEMBERTABLE_H

#include "bergamotstage/core/PlatformApi.h"
#include "bergamotstage/fleet/Freshness.h"
#include "bergamotstage/fleet/GossipMessage.h"

#include <cstdint>
#include <map>
#include <vector>

namespace bergamotstage {

/// @brief The VMs that this VM knows and the time at which each was last alive.
///
/// These times are never later than the true ones: they are the sending times
/// of answered probes, and forwarded ages are rounded up.
class MemberTable {
public:
  struct Entry {
    MemberRecord Record;
    std::uint32_t Hash = 0;
    Instant Added{};
    Instant LastAlive = DistantPast;    ///< Its process last ran at this time.
    Instant LastAttested = DistantPast; ///< Last attestation of the rules.
    bool Listed = false;                ///< In the platform's latest list.
    bool ListedLeaving = false;
  };
  using Map = std::map<VmId, Entry>;

  explicit MemberTable(const MemberRecord &Self);

  const MemberRecord &self() const { return m_Entries.at(m_Self).Record; }
  const Map &entries() const { return m_Entries; }
  std::size_t size() const { return m_Entries.size(); }
  /// @brief Hash of all records; equal for equal sets of records.
  std::uint32_t membersHash() const { return m_MembersHash; }
  /// @brief Whether the platform's list was read at least once.
  bool isListLoaded() const { return m_ListLoaded; }

  /// @brief Merges a record: a later incarnation replaces an earlier one, and
  /// a leaving VM stays marked as leaving.
  /// @param Age liveness age of the record's VM; a VM that is not in the table
  /// is added only if the age is known
  /// @return whether the table changed
  bool mergeRecord(const MemberRecord &Record, LivenessAge Age, Instant Now);

  /// @brief Records that a VM was alive at a time and whether it attested the
  /// rules then.
  void recordAlive(const VmId &Vm, Instant Time, bool Attested);

  /// @brief Marks this VM as leaving.
  void markLeaving();

  /// @brief Applies the platform's list; drops VMs that are neither listed nor
  /// recently alive.
  /// @return whether the table changed
  bool applyList(const std::vector<ListedVm> &Listed, Instant Now);

  /// @brief Liveness ages of all VMs in order of names. Complexity: linear.
  std::vector<LivenessAge> ages(Instant Now, bool SelfAttests) const;
  std::vector<HashedAge> hashedAges(Instant Now, bool SelfAttests) const;
  /// @brief The records that follow those of the previous call, cyclically.
  std::vector<AgedRecord> nextRecords(Instant Now, std::size_t MaxCount);

  /// @brief Merges the ages that a VM with an equal table sent.
  /// @param Base a time no later than that at which the VM sent them
  /// @param AcceptAttestations whether to use the attestation bits: the VM's
  /// revision is not newer than the local one
  void mergeAges(const std::vector<LivenessAge> &Ages, Instant Base,
                 bool AcceptAttestations);
  void mergeHashedAges(const std::vector<HashedAge> &Ages, Instant Base,
                       bool AcceptAttestations);

  /// @brief Latest time since which a quorum has attested the rules;
  /// DistantPast if there was no quorum. Complexity: linear.
  /// @param SelfAttests whether this VM counts as one of the quorum
  Instant lastQuorumAttestation(Instant Now, bool SelfAttests) const;

private:
  void setRecord(Entry &Changed, const MemberRecord &Record);
  void erase(Map::iterator Position);
  LivenessAge livenessAge(const Entry &Member, Instant Now,
                          bool SelfAttests) const;

  VmId m_Self;
  Map m_Entries;
  std::uint32_t m_MembersHash = 0;
  VmId m_Cursor; ///< Last record returned by nextRecords().
  bool m_ListLoaded = false;
};

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_FLEET_MEMBERTABLE_H
