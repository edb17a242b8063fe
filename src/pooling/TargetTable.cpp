#include "bergamotstage/pooling/TargetTable.h"

#include <algorithm>
#include <utility>

namespace bergamotstage::pooling {
namespace {

/// Targets must have no operations 7 s after they start draining. Failover
/// takes well under a second unless the platform is down.
constexpr Duration DrainingPrimaryTimeout = seconds(5);

/// @brief Whether two entries of a target differ at most in their versions, and
/// in how much longer a cold target stays cold.
bool tellSame(const TargetEntry &Left, const TargetEntry &Right) {
  return Left.Group == Right.Group && Left.DataCentre == Right.DataCentre &&
         Left.Slots == Right.Slots && Left.Draining == Right.Draining &&
         Left.ReportsPrimary == Right.ReportsPrimary &&
         (Left.ColdFor > Duration(0)) == (Right.ColdFor > Duration(0));
}

} // namespace

TargetTable::Change TargetTable::apply(const TargetEntry &Entry, Instant Now) {
  const TargetEntry *Known = find(Entry.Id);
  if (Known != nullptr && Entry.Version < Known->Version)
    return Change::None;
  bool Reappeared = m_MissingSince.erase(Entry.Id) > 0;
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
  TargetEntry Before = std::exchange(Found->second, Entry);
  // A process does not change its address.
  if (Before.ProcessStart != Entry.ProcessStart ||
      Before.Address != Entry.Address)
    return Change::Restarted;
  if (Before.Version == Entry.Version)
    return Reappeared ? Change::Modified : Change::None;
  // A new version confirms a primary's claim that was rejected or outdated.
  bool MayConfirm = Entry.ReportsPrimary && primary(Entry.Group) == Entry.Id;
  if (Reappeared || !tellSame(Before, Entry) ||
      (MayConfirm && !wasPrimary(Before)))
    return Change::Modified;
  return Change::Rewritten;
}

/// @brief Whether a target was the primary of its group with an earlier entry.
bool TargetTable::wasPrimary(const TargetEntry &Before) {
  TargetEntry Now = std::exchange(m_Entries.at(Before.Id), Before);
  bool Result = primary(Before.Group) == Before.Id;
  m_Entries.at(Before.Id) = std::move(Now);
  return Result;
}

bool TargetTable::remove(const TargetId &Id, Instant Now) {
  return m_Entries.count(Id) > 0 && m_MissingSince.emplace(Id, Now).second;
}

bool TargetTable::isListed(const TargetId &Id) const {
  return m_Entries.count(Id) > 0 && m_MissingSince.count(Id) == 0;
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

std::vector<TargetId> TargetTable::unresolvedClaims() const {
  std::vector<TargetId> Unresolved;
  for (const auto &[Id, Version] : m_RejectedClaims) {
    const TargetEntry *Entry = find(Id);
    if (Entry != nullptr && Entry->ReportsPrimary && !primary(Entry->Group))
      Unresolved.push_back(Id);
  }
  return Unresolved;
}

void TargetTable::rejectPrimaryClaim(const TargetId &Id) {
  const TargetEntry *Entry = find(Id);
  if (Entry != nullptr)
    m_RejectedClaims[Id] = Entry->Version;
}

} // namespace bergamotstage::pooling
