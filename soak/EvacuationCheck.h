#ifndef BERGAMOTSTAGE_SOAK_EVACUATIONCHECK_H
#define BERGAMOTSTAGE_SOAK_EVACUATIONCHECK_H

#include "bergamotstage/core/Ids.h"
#include "bergamotstage/core/Time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bergamotstage::soak {

/// @brief Checks that nothing arrives at the targets of an evacuated data
/// centre after the bound, except from VMs that were not in contact.
class EvacuationCheck {
public:
  /// @param Bound from the store's acknowledgement until nothing may arrive
  EvacuationCheck(Duration Bound, unsigned Vms)
      : m_Bound(Bound), m_InContactFrom(Vms) {}

  void begin(const DataCentreId &DataCentre, Instant Acknowledged);
  void end(const DataCentreId &DataCentre) { m_Evacuated.erase(DataCentre); }
  bool isEvacuated(const DataCentreId &DataCentre) const {
    return m_Evacuated.count(DataCentre) > 0;
  }

  /// @brief A VM was frozen or had no store until a time. Its bound counts
  /// from then, if that is later than the acknowledgement.
  void loseContact(unsigned Vm, Instant Until);

  /// @brief A read, write or commit arrived at a target.
  /// @param Statement its request id, for the description of a violation
  void onStatement(unsigned Vm, const TargetId &Target,
                   const DataCentreId &DataCentre, const std::string &Statement,
                   Instant Now);

  /// @brief Time from the acknowledgement to the last statement there; empty if
  /// there was none or the data centre is not evacuated.
  std::optional<Duration> lastStatement(const DataCentreId &DataCentre) const;

  const std::vector<std::string> &violations() const { return m_Violations; }

private:
  struct Evacuation {
    Instant Acknowledged{};
    std::optional<Instant> LastStatement;
  };

  Duration m_Bound;
  std::map<DataCentreId, Evacuation> m_Evacuated;
  std::vector<Instant> m_InContactFrom; ///< By VM.
  std::vector<std::string> m_Violations;
};

} // namespace bergamotstage::soak

#endif // BERGAMOTSTAGE_SOAK_EVACUATIONCHECK_H
