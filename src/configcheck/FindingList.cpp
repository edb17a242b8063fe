#include "bergamotstage/configcheck/FindingList.h"

#include <utility>

namespace bergamotstage::configcheck {

void FindingList::add(Finding Found) {
  Severity Level = Found.Level;
  if (!isFull(Level))
    (Level == Severity::Error ? m_Errors : m_Warnings)
        .push_back(std::move(Found));
  countOnly(Level);
}

bool FindingList::isFull(Severity Level) const {
  return (Level == Severity::Error ? m_Errors : m_Warnings).size() >= MaxStored;
}

void FindingList::countOnly(Severity Level) {
  ++(Level == Severity::Error ? m_ErrorCount : m_WarningCount);
}

void FindingList::addError(std::string Path, std::string Reason) {
  add({Severity::Error, std::move(Path), 0, std::move(Reason)});
}

void FindingList::addWarning(std::string Path, std::string Reason) {
  add({Severity::Warning, std::move(Path), 0, std::move(Reason)});
}

} // namespace bergamotstage::configcheck
