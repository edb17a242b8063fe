#ifndef BERGAMOTSTAGE_STANDIN_STORE_H
#define BERGAMOTSTAGE_STANDIN_STORE_H

#include "bergamotstage/core/PlatformApi.h"

#include <map>
#include <string>

namespace bergamotstage::standin {

/// @brief In-memory rows and objects of the stand-in platform; not thread-safe.
class Store {
public:
  RowsRead read(const ReadRows &Request) const;
  /// @brief Applies a conditional write; a repeated write id gets the outcome
  /// of the first attempt.
  WriteDecided write(const ConditionalWrite &Request);
  WriteDecided writeOutcome(const ReadWriteOutcome &Request) const;
  ObjectStored put(const PutObject &Request);
  ObjectRead get(const GetObject &Request) const;

private:
  std::map<std::string, TableRow> m_Rows;
  std::map<std::string, bool> m_WriteOutcomes;
  std::map<std::string, std::string> m_Objects;
  std::uint64_t m_LastVersion = 0;
};

} // namespace bergamotstage::standin

#endif // BERGAMOTSTAGE_STANDIN_STORE_H
