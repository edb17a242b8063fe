#include "bergamotstage/fleet/MemberTable.h"

#include <algorithm>
#include <functional>
#include <set>
#include <utility>

namespace bergamotstage {
namespace {

constexpr Duration UnlistedRetention = seconds(30);

} // namespace

MemberTable::MemberTable(const MemberRecord &Self) : m_Self(Self.Vm) {
  Entry &Own = m_Entries[m_Self];
  Own.Listed = true;
  setRecord(Own, Self);
}

void MemberTable::setRecord(Entry &Changed, const MemberRecord &Record) {
  m_MembersHash ^= Changed.Hash;
  Changed.Record = Record;
  Changed.Hash = recordHash(Record);
  m_MembersHash ^= Changed.Hash;
}

void MemberTable::erase(Map::iterator Position) {
  m_MembersHash ^= Position->second.Hash;
  m_Entries.erase(Position);
}

bool MemberTable::mergeRecord(const MemberRecord &Record, LivenessAge Age,
                              Instant Now) {
  auto Found = m_Entries.find(Record.Vm);
  if (Found == m_Entries.end()) {
    if (!Age.isKnown())
      return false;
    Entry &Inserted = m_Entries[Record.Vm];
    Inserted.Added = Now;
    setRecord(Inserted, Record);
    return true;
  }
  Entry &Member = Found->second;
  if (Record.Vm == m_Self || Record.Start < Member.Record.Start)
    return false;
  if (Member.Record.Start < Record.Start) {
    Member.LastAlive = DistantPast;
    Member.LastAttested = DistantPast;
    Member.Added = Now;
    setRecord(Member, Record);
    return true;
  }
  if (!Record.Leaving || Member.Record.Leaving)
    return false;
  setRecord(Member, Record);
  return true;
}

void MemberTable::recordAlive(const VmId &Vm, Instant Time, bool Attested) {
  auto Found = m_Entries.find(Vm);
  if (Found == m_Entries.end())
    return;
  Entry &Member = Found->second;
  Member.LastAlive = std::max(Member.LastAlive, Time);
  if (Attested)
    Member.LastAttested = std::max(Member.LastAttested, Time);
}

void MemberTable::markLeaving() {
  Entry &Own = m_Entries.at(m_Self);
  MemberRecord Record = Own.Record;
  Record.Leaving = true;
  setRecord(Own, Record);
}

bool MemberTable::applyList(const std::vector<ListedVm> &Listed, Instant Now) {
  bool Changed = !m_ListLoaded;
  m_ListLoaded = true;
  std::set<VmId> Names{m_Self};
  for (const ListedVm &Vm : Listed) {
    Names.insert(Vm.Vm);
    auto [Found, Added] = m_Entries.try_emplace(Vm.Vm);
    Entry &Member = Found->second;
    if (Added) {
      Member.Added = Now;
      setRecord(Member,
                {Vm.Vm, Vm.DataCentre, Vm.PeerAddress, Incarnation(), false});
    }
    Changed = Changed || Added || Member.ListedLeaving != Vm.Leaving;
    Member.ListedLeaving = Vm.Leaving;
  }
  for (auto Next = m_Entries.begin(); Next != m_Entries.end();) {
    auto Position = Next++;
    Entry &Member = Position->second;
    Member.Listed = Names.count(Position->first) > 0;
    bool Expired =
        !Member.Listed &&
        std::max(Member.LastAlive, Member.Added) + UnlistedRetention < Now;
    if (Expired)
      erase(Position);
    Changed = Changed || Expired;
  }
  return Changed;
}

LivenessAge MemberTable::livenessAge(const Entry &Member, Instant Now,
                                     bool SelfAttests) const {
  if (Member.Record.Vm == m_Self)
    return LivenessAge::fromDuration(Duration(0), SelfAttests);
  bool Attested = Member.LastAttested == Member.LastAlive &&
                  Member.LastAttested != DistantPast;
  return LivenessAge::fromDuration(Now - Member.LastAlive, Attested);
}

std::vector<LivenessAge> MemberTable::ages(Instant Now,
                                           bool SelfAttests) const {
  std::vector<LivenessAge> Ages;
  Ages.reserve(m_Entries.size());
  for (const auto &[Vm, Member] : m_Entries)
    Ages.push_back(livenessAge(Member, Now, SelfAttests));
  return Ages;
}

std::vector<HashedAge> MemberTable::hashedAges(Instant Now,
                                               bool SelfAttests) const {
  std::vector<HashedAge> Ages;
  for (const auto &[Vm, Member] : m_Entries) {
    LivenessAge Age = livenessAge(Member, Now, SelfAttests);
    if (Age.isKnown())
      Ages.push_back({Member.Hash, Age});
  }
  return Ages;
}

std::vector<AgedRecord> MemberTable::nextRecords(Instant Now,
                                                 std::size_t MaxCount) {
  std::vector<AgedRecord> Records;
  auto Next = m_Entries.upper_bound(m_Cursor);
  std::size_t Count = std::min(MaxCount, m_Entries.size());
  while (Records.size() < Count) {
    if (Next == m_Entries.end())
      Next = m_Entries.begin();
    Records.push_back(
        {Next->second.Record, livenessAge(Next->second, Now, false)});
    m_Cursor = Next->first;
    ++Next;
  }
  return Records;
}

void MemberTable::mergeAges(const std::vector<LivenessAge> &Ages, Instant Base,
                            bool AcceptAttestations) {
  if (Ages.size() != m_Entries.size())
    return;
  auto Age = Ages.begin();
  for (auto &[Vm, Member] : m_Entries) {
    if (Age->isKnown())
      recordAlive(Vm, Base - Age->duration(),
                  AcceptAttestations && Age->isAttested());
    ++Age;
  }
}

void MemberTable::mergeHashedAges(const std::vector<HashedAge> &Ages,
                                  Instant Base, bool AcceptAttestations) {
  std::map<std::uint32_t, Entry *> ByHash;
  for (auto &[Vm, Member] : m_Entries) {
    auto [Found, Added] = ByHash.emplace(Member.Hash, &Member);
    if (!Added)
      Found->second = nullptr; // Ambiguous: the hashes collide.
  }
  for (const HashedAge &Age : Ages) {
    auto Found = ByHash.find(Age.Hash);
    if (Found != ByHash.end() && Found->second != nullptr)
      recordAlive(Found->second->Record.Vm, Base - Age.Age.duration(),
                  AcceptAttestations && Age.Age.isAttested());
  }
}

Instant MemberTable::lastQuorumAttestation(Instant Now,
                                           bool SelfAttests) const {
  std::vector<Instant> Times;
  Times.reserve(m_Entries.size());
  for (const auto &[Vm, Member] : m_Entries)
    Times.push_back(Vm == m_Self && SelfAttests ? Now : Member.LastAttested);
  auto Nth = Times.begin() +
             static_cast<std::ptrdiff_t>(serveQuorum(Times.size()) - 1);
  std::nth_element(Times.begin(), Nth, Times.end(), std::greater<>());
  return *Nth;
}

} // namespace bergamotstage
