#include "standin/Store.h"

#include <algorithm>

namespace bergamotstage::standin {

RowsRead Store::read(const ReadRows &Request) const {
  RowsRead Answer;
  for (auto Row = m_Rows.lower_bound(Request.Prefix); Row != m_Rows.end();
       ++Row) {
    if (Row->first.compare(0, Request.Prefix.size(), Request.Prefix) != 0)
      break;
    Answer.Rows.push_back(Row->second);
  }
  return Answer;
}

WriteDecided Store::write(const ConditionalWrite &Request) {
  auto Outcome = m_WriteOutcomes.find(Request.WriteId);
  if (Outcome != m_WriteOutcomes.end())
    return {true, Outcome->second};
  bool ConditionsMet =
      std::all_of(Request.Conditions.begin(), Request.Conditions.end(),
                  [&](const ConditionalWrite::Condition &Condition) {
                    auto Row = m_Rows.find(Condition.Key);
                    std::uint64_t Version =
                        Row == m_Rows.end() ? 0 : Row->second.Version;
                    return Version == Condition.Version;
                  });
  m_WriteOutcomes[Request.WriteId] = ConditionsMet;
  if (!ConditionsMet)
    return {true, false};
  ++m_LastVersion;
  for (const ConditionalWrite::Change &Change : Request.Changes) {
    if (Change.Value)
      m_Rows[Change.Key] = {Change.Key, *Change.Value, m_LastVersion};
    else
      m_Rows.erase(Change.Key);
  }
  return {true, true};
}

WriteDecided Store::writeOutcome(const ReadWriteOutcome &Request) const {
  auto Outcome = m_WriteOutcomes.find(Request.WriteId);
  if (Outcome == m_WriteOutcomes.end())
    return {false, false};
  return {true, Outcome->second};
}

ObjectStored Store::put(const PutObject &Request) {
  m_Objects.emplace(Request.Name, Request.Body);
  return {};
}

ObjectRead Store::get(const GetObject &Request) const {
  auto Found = m_Objects.find(Request.Name);
  if (Found == m_Objects.end())
    return {};
  return {true, Found->second};
}

} // namespace bergamotstage::standin
