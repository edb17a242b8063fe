#include "bergamotstage/configcheck/FieldNames.h"

namespace bergamotstage::configcheck {

std::string entryPath(const std::string &List, std::size_t Index) {
  return List + "[" + std::to_string(Index) + "]";
}

std::string fieldPath(const std::string &List, std::size_t Index,
                      const std::string &Field) {
  return entryPath(List, Index) + "." + Field;
}

} // namespace bergamotstage::configcheck
