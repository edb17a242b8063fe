#ifndef BERGAMOTSTAGE_RUNTIME_CALLERS_PREPAREDSTATEMENTS_H
#define BERGAMOTSTAGE_RUNTIME_CALLERS_PREPAREDSTATEMENTS_H

#include "bergamotstage/request/StatementBody.h"
#include "bergamotstage/wire/Frontend.h"

#include <cstddef>
#include <map>
#include <string>

namespace bergamotstage::runtime {

/// @brief A prepared statement of one caller.
struct PreparedStatement {
  SharedBody Body;         ///< Without values.
  std::string Description; ///< Cached parameters and columns.
};

/// @brief Prepared statements of a caller, bounded in number and size.
class PreparedStatements {
public:
  static constexpr std::size_t MaxCount = 200;
  static constexpr std::size_t MaxBytes = std::size_t{1} << 20U;

  /// @brief Adds a statement or replaces the one with the same name.
  /// @return false if a limit is exceeded
  bool add(wire::Parse &&Message);

  /// @brief Returns the statement with that name, or null.
  PreparedStatement *find(const std::string &Name);

  /// @brief Caches a statement's description if the size limit permits.
  void cacheDescription(const std::string &Name, std::string Bytes);

  bool contains(const std::string &Name) const {
    return m_Statements.count(Name) != 0;
  }
  void erase(const std::string &Name);

private:
  std::map<std::string, PreparedStatement> m_Statements;
  std::size_t m_Bytes = 0;
};

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_CALLERS_PREPAREDSTATEMENTS_H
