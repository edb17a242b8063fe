#include "bergamotstage/pooling/PoolNode.h"

#include <utility>

namespace bergamotstage::pooling {

void PoolNode::onEvacuationsListed(Instant Now,
                                   const placement::EvacuationList &List) {
  setTime(Now);
  applyEvacuations(List);
  dispatchLocalMessages();
}

void PoolNode::onEvacuationChanged(Instant Now, const DataCentreId &DataCentre,
                                   bool Evacuated, std::uint64_t Version) {
  setTime(Now);
  std::set<DataCentreId> Before = m_Evacuations.list().DataCentres;
  if (m_Evacuations.applyChange(DataCentre, Evacuated, Version,
                                m_Context.now()))
    onEvacuationsUpdated(Before);
  dispatchLocalMessages();
}

void PoolNode::applyEvacuations(const placement::EvacuationList &List) {
  std::set<DataCentreId> Before = m_Evacuations.list().DataCentres;
  if (m_Evacuations.apply(List, m_Context.now()))
    onEvacuationsUpdated(Before);
}

/// @brief Moves work off the targets of evacuated data centres.
void PoolNode::onEvacuationsUpdated(const std::set<DataCentreId> &Before) {
  placement::EvacuationList List = m_Evacuations.list();
  for (const DataCentreId &DataCentre : List.DataCentres)
    if (Before.count(DataCentre) == 0) {
      m_OccupiedEvacuations.insert(DataCentre);
      logEvacuation("evacuation_started", DataCentre);
    }
  for (const DataCentreId &DataCentre : Before)
    if (List.DataCentres.count(DataCentre) == 0) {
      m_OccupiedEvacuations.erase(DataCentre);
      logEvacuation("evacuation_withdrawn", DataCentre);
    }
  m_Readers.onEvacuationsChanged();
  limitPools();
  m_Failover.checkGroups(groups());
  m_Sessions.retryDeferred();
  scheduleEvacuationDeadline();
}

void PoolNode::logEvacuation(const char *Event,
                             const DataCentreId &DataCentre) {
  m_Context.log(WriteLog::Level::Warning, Event,
                {{"data_centre", DataCentre.value()},
                 {"version", std::to_string(m_Evacuations.list().Version)},
                 {"operations", std::to_string(operationsIn(DataCentre))}});
}

void PoolNode::scheduleEvacuationDeadline() {
  auto Deadline = m_Evacuations.nextDeadline(m_Context.now());
  if (!Deadline || m_EvacuationTimer)
    return;
  m_EvacuationTimer = m_Context.timers().schedule(*Deadline, [this] {
    m_EvacuationTimer.reset();
    limitPools();
    m_Sessions.retryDeferred();
    scheduleEvacuationDeadline();
  });
}

/// @brief Reports data centres in which no operation of this VM's pools is
/// left.
void PoolNode::checkEvacuations() {
  for (auto Next = m_OccupiedEvacuations.begin();
       Next != m_OccupiedEvacuations.end();) {
    if (operationsIn(*Next) > 0) {
      ++Next;
      continue;
    }
    logEvacuation("evacuation_finished", *Next);
    Next = m_OccupiedEvacuations.erase(Next);
  }
}

std::size_t PoolNode::operationsIn(const DataCentreId &DataCentre) const {
  std::size_t Count = 0;
  for (const auto &[Id, Pool] : m_Pools) {
    const TargetEntry *Target = m_Targets.find(Id);
    if (Target != nullptr && Target->DataCentre == DataCentre)
      Count += Pool->operationCount();
  }
  return Count;
}

std::size_t PoolNode::evacuatedOperations() const {
  std::size_t Count = 0;
  for (const DataCentreId &DataCentre : m_Evacuations.list().DataCentres)
    Count += operationsIn(DataCentre);
  return Count;
}

std::vector<DatabaseId> PoolNode::groups() const {
  std::vector<DatabaseId> Groups;
  for (const auto &[Group, Rule] : m_Config->Groups)
    Groups.push_back(Group);
  return Groups;
}

} // namespace bergamotstage::pooling
