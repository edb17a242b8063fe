#include "bergamotstage/pooling/TargetTable.h"

#include <algorithm>

namespace bergamotstage::pooling {
namespace {

/// Targets must have no operations 7 s after they start draining. Failover
/// takes well under a second unless the platform is down.
constexpr Duration DrainingPrimaryTimeout = seconds(5);

} // namespace

TargetTable::Change TargetTable::apply(const TargetEntry &Entry, Instant Now) {
  m_MissingSince.erase(Entry.Id);
  if (Entry.Draining)
    m_DrainingSince.emplace(Entry.Id, Now);
  else
    m_DrainingSince.erase(Entry.Id);
  m_NewestVersion = std::max(m_NewestVersion, Entry.Version);
  auto [Found, Added] = m_Entries.try_emplace(Entry.Id, Entry);
  bool Newer = Added || Entry.Version > Found->second.Version;
  if (Newer && Entry.ColdFor > Duration(0))
    m_ColdUntil[Entry.Id] = Now + Entry.ColdFor;
  else if (Newer)
    m_ColdUntil.erase(Entry.Id);
  if (Added)
    return Change::Added;
  if (Entry.Version < Found->second.Version)
    return Change::None;
  bool Restarted = Found->second.ProcessStart != Entry.ProcessStart;
  bool Modified = Found->second.Version != Entry.Version;
  Found->second = Entry;
  if (Restarted)
    return Change::Restarted;
  return Modified ? Change::Modified : Change::None;
}

void TargetTable::remove(const TargetId &Id, Instant Now) {
  if (m_Entries.count(Id) > 0)
    m_MissingSince.emplace(Id, Now);
}

std::vector<TargetId> TargetTable::removeExpired(Instant Now, Duration Grace) {
  std::vector<TargetId> Expired;
  for (const auto &[Id, Since] : m_MissingSince)
    if (Since + Grace <= Now)
      Expired.push_back(Id);
  for (const TargetId &Id : Expired) {
    m_MissingSince.erase(Id);
    m_Entries.erase(Id);
    m_RejectedClaims.erase(Id);
    m_DrainingSince.erase(Id);
    m_ColdUntil.erase(Id);
  }
  return Expired;
}

const TargetEntry *TargetTable::find(const TargetId &Id) const {
  auto Found = m_Entries.find(Id);
  return Found == m_Entries.end() ? nullptr : &Found->second;
}

std::vector<TargetId> TargetTable::groupMembers(const DatabaseId &Group) const {
  std::vector<TargetId> Members;
  for (const auto &[Id, Entry] : m_Entries)
    if (Entry.Group == Group)
      Members.push_back(Id);
  return Members;
}

Instant TargetTable::coldUntil(const TargetId &Id) const {
  auto Found = m_ColdUntil.find(Id);
  return Found == m_ColdUntil.end() ? Instant() : Found->second;
}

bool TargetTable::acceptsOperations(const TargetId &Id) const {
  const TargetEntry *Entry = find(Id);
  return Entry != nullptr && !Entry->Draining && !isEvacuated(Id);
}

bool TargetTable::isEvacuated(const TargetId &Id) const {
  const TargetEntry *Entry = find(Id);
  return Entry != nullptr && m_Evacuations != nullptr &&
         m_Evacuations->contains(Entry->DataCentre);
}

bool TargetTable::maySend(const TargetId &Id, Instant Now) const {
  const TargetEntry *Entry = find(Id);
  return Entry == nullptr || m_Evacuations == nullptr ||
         m_Evacuations->maySend(Entry->DataCentre, Now);
}

bool TargetTable::isWhollyEvacuated(const DatabaseId &Group) const {
  std::vector<TargetId> Members = groupMembers(Group);
  return !Members.empty() &&
         std::all_of(Members.begin(), Members.end(),
                     [this](const TargetId &Id) { return isEvacuated(Id); });
}

bool TargetTable::mayServeAsPrimary(const TargetId &Id, Instant Now) const {
  if (!maySend(Id, Now))
    return false;
  auto Since = m_DrainingSince.find(Id);
  return Since == m_DrainingSince.end() ||
         Now < Since->second + DrainingPrimaryTimeout;
}

std::optional<TargetId> TargetTable::primary(const DatabaseId &Group) const {
  auto Promotion = m_Promoted.find(Group);
  const TargetEntry *Best = nullptr;
  for (const auto &[Id, Entry] : m_Entries) {
    if (Entry.Group != Group || !Entry.ReportsPrimary)
      continue;
    auto Rejected = m_RejectedClaims.find(Id);
    bool IsRejected =
        Rejected != m_RejectedClaims.end() && Rejected->second >= Entry.Version;
    // The row is older than the last known promotion.
    bool Outdated = Promotion != m_Promoted.end() &&
                    Promotion->second.Id != Id &&
                    Entry.Version <= Promotion->second.KnownVersion;
    if (IsRejected || Outdated)
      continue;
    if (Best == nullptr || Entry.Version > Best->Version)
      Best = &Entry;
  }
  if (Best != nullptr)
    return Best->Id;
  if (Promotion != m_Promoted.end() &&
      m_Entries.count(Promotion->second.Id) > 0 &&
      m_RejectedClaims.count(Promotion->second.Id) == 0)
    return Promotion->second.Id;
  return std::nullopt;
}

void TargetTable::recordPromotion(const DatabaseId &Group, const TargetId &Id,
                                  Term NewTerm) {
  PromotionRecord &Record = m_Promoted[Group];
  if (NewTerm < Record.AtTerm)
    return;
  Record = {Id, NewTerm, m_NewestVersion};
  m_RejectedClaims.erase(Id);
}

void TargetTable::rejectPrimaryClaim(const TargetId &Id) {
  const TargetEntry *Entry = find(Id);
  if (Entry != nullptr)
    m_RejectedClaims[Id] = Entry->Version;
}

} // namespace bergamotstage::pooling
