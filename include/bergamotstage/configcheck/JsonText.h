#ifndef BERGAMOTSTAGE_CONFIGCHECK_JSONTEXT_H
#define BERGAMOTSTAGE_CONFIGCHECK_JSONTEXT_H

#include "bergamotstage/configcheck/FindingList.h"

#include <string>
#include <vector>

namespace bergamotstage::configcheck {

/// @brief Checks that a text is JSON and that no object has a field twice.
///
/// A parser keeps the last of two fields of one name without notice. Objects
/// that are nested deeper than entries of lists are not searched for them.
/// @param Known names of fields that may be printed; others could be keys
/// @param Findings list to which faults are added; a fault of the syntax has
///   its line
/// @return whether the text is JSON
bool scanJson(const std::string &Text, const std::vector<std::string> &Known,
              FindingList &Findings);

} // namespace bergamotstage::configcheck

#endif // BERGAMOTSTAGE_CONFIGCHECK_JSONTEXT_H
