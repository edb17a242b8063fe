#ifndef BERGAMOTSTAGE_REQUEST_STATEMENT_H
#define BERGAMOTSTAGE_REQUEST_STATEMENT_H

#include "bergamotstage/request/StatementBody.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace bergamotstage {

/// @brief Kind of a statement, which determines its routing.
enum class StatementKind : std::uint8_t {
  Read,        ///< Changes nothing; may run on a replica.
  Write,       ///< May change data.
  Begin,       ///< Opens a transaction.
  Commit,      ///< Commits a transaction.
  Rollback,    ///< Rolls back a transaction.
  Setting,     ///< SET of a bergamotstage.* setting, which the proxy answers.
  Unsupported, ///< Refused, for example because its effect would outlast the
               ///< use of the link.
  Empty        ///< Contains no statement.
};

/// @brief Name of a statement kind for logs.
const char *statementKindName(StatementKind Kind);

/// @brief Classifies a statement by its keywords.
///
/// Only statements that are certain to change nothing are reads. A SELECT with
/// FOR UPDATE, with a call of a function not known as pure or with a writing
/// CTE is a write.
/// @param Text the statement, of any length
/// @return its kind; text that holds several statements is Unsupported
/// Complexity: linear in the text.
StatementKind classifyStatement(std::string_view Text);

/// @brief Kind of a caller's statement; one that is only described is a read,
/// regardless of its text. Complexity: linear in the text.
StatementKind statementKind(const StatementBody &Body);

/// @brief Name and value of a `SET name = value` statement.
struct SettingChange {
  std::string Name;
  std::string Value;
};

/// @brief Parses a statement of kind Setting.
/// @return name in lower case and value without quotes; empty name on an error
SettingChange parseSetting(std::string_view Text);

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_REQUEST_STATEMENT_H
