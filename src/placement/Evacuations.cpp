#include "bergamotstage/placement/Evacuations.h"

#include <algorithm>
#include <iterator>

namespace bergamotstage::placement {
namespace {

/// A VM reads a change in the store within this time, as for a configuration:
/// an update of a reader is valid for 2.5 s, then it reads the store itself.
constexpr Duration MaxLearningTime = seconds(3);
/// For statements on their way to a target.
constexpr Duration DeliveryMargin = milliseconds(500);

} // namespace

void Evacuations::setBound(Duration Bound) {
  m_Grace = std::max(Duration(0), Bound - MaxLearningTime - DeliveryMargin);
}

bool Evacuations::apply(const EvacuationList &List, Instant Now) {
  if (List.Version < m_Version)
    return false;
  // A VM that starts does not know when the rows were written: the bound may
  // have passed.
  Instant Since = m_Version == 0 ? Now - m_Grace : Now;
  m_Version = List.Version;
  bool Changed = false;
  for (auto Known = m_Since.begin(); Known != m_Since.end();) {
    bool Listed = List.DataCentres.count(Known->first) > 0;
    Changed = Changed || !Listed;
    Known = Listed ? std::next(Known) : m_Since.erase(Known);
  }
  for (const DataCentreId &DataCentre : List.DataCentres)
    Changed = m_Since.emplace(DataCentre, Since).second || Changed;
  return Changed;
}

bool Evacuations::applyChange(const DataCentreId &DataCentre, bool Evacuated,
                              std::uint64_t Version, Instant Now) {
  // Several rows of one transaction have the same version.
  if (Version < m_Version)
    return false;
  m_Version = Version;
  if (Evacuated)
    return m_Since.emplace(DataCentre, Now).second;
  return m_Since.erase(DataCentre) > 0;
}

bool Evacuations::maySend(const DataCentreId &DataCentre, Instant Now) const {
  auto Found = m_Since.find(DataCentre);
  return Found == m_Since.end() || Now < Found->second + m_Grace;
}

std::optional<Instant> Evacuations::nextDeadline(Instant Now) const {
  std::optional<Instant> Next;
  for (const auto &[DataCentre, Since] : m_Since)
    if (Since + m_Grace > Now && (!Next || Since + m_Grace < *Next))
      Next = Since + m_Grace;
  return Next;
}

EvacuationList Evacuations::list() const {
  EvacuationList Result{m_Version, {}};
  for (const auto &[DataCentre, Since] : m_Since)
    Result.DataCentres.insert(DataCentre);
  return Result;
}

} // namespace bergamotstage::placement
