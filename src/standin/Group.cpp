#include "standin/Group.h"

namespace bergamotstage::standin {

Group::Group(DatabaseId Database, const std::vector<TargetId> &Names,
             Instant Now)
    : m_Database(std::move(Database)) {
  for (const TargetId &Name : Names) {
    Member Entry;
    Entry.Id = Name;
    m_Members.push_back(std::move(Entry));
  }
  m_Primary = Names.front();
  m_Members.front().State.becomePrimary(m_Term, Now);
}

Group::Member *Group::find(const TargetId &Id) {
  for (Member &Entry : m_Members)
    if (Entry.Id == Id)
      return &Entry;
  return nullptr;
}

void Group::tick(Instant Now) {
  Member *Primary = find(m_Primary);
  if (Primary->isIsolated() || !Primary->State.isPrimary())
    return;
  for (Member &Entry : m_Members)
    if (&Entry != Primary && !Entry.isIsolated())
      Entry.State.replicateFrom(Primary->State, Now - Entry.Lag);
}

PromotionDecided Group::promote(const Promote &Order, Instant Now) {
  if (Order.OrderId == m_LastOrder)
    return {true, m_Term, "repeated"};
  Member *Candidate = find(Order.Candidate);
  if (Candidate == nullptr || Candidate->isIsolated())
    return {false, m_Term, "the candidate is unreachable"};
  if (Order.NewTerm <= m_Term)
    return {false, m_Term, "the term is not later than the current term"};
  if (Candidate->State.latestSeenTerm() > Order.NewTerm)
    return {false, m_Term, "the candidate has seen a later term"};
  m_Term = Order.NewTerm;
  m_Primary = Order.Candidate;
  m_LastOrder = Order.OrderId;
  Candidate->State.becomePrimary(m_Term, Now);
  return {true, m_Term, ""};
}

ListedGroup Group::listedGroup() {
  ListedGroup Listed;
  Listed.Database = m_Database;
  Listed.CurrentTerm = m_Term;
  Listed.Primary = m_Primary;
  for (Member &Entry : m_Members) {
    if (!Entry.isIsolated())
      m_LastKnown[Entry.Id] = Entry.State.replayed();
    Listed.Targets.push_back({Entry.Id, m_LastKnown[Entry.Id], Entry.Leaving});
  }
  return Listed;
}

} // namespace bergamotstage::standin
