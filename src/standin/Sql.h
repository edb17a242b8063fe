#ifndef BERGAMOTSTAGE_STANDIN_SQL_H
#define BERGAMOTSTAGE_STANDIN_SQL_H

#include <tl/expected.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bergamotstage::standin {

/// @brief `INSERT INTO t VALUES (...) [ON CONFLICT DO NOTHING]`
struct Insert {
  std::string Table;
  std::vector<std::string> Cells; ///< The first one is the key.
  bool IgnoreConflict = false;
};
/// @brief `UPDATE t SET value = x WHERE key = k`, also `value = value + n`
struct Update {
  std::string Table;
  std::string Key;
  std::string Value;
  bool Add = false;
};
/// @brief `DELETE FROM t [WHERE key = k]`
struct Delete {
  std::string Table;
  std::optional<std::string> Key;
};
/// @brief `SELECT *|value|key|count(*) FROM t [WHERE key = k]`
struct Select {
  std::string Table;
  std::string Projection;
  std::optional<std::string> Key;
};
/// @brief `SELECT literal`
struct SelectLiteral {
  std::string Value;
};
/// @brief `SELECT pg_sleep(seconds)`
struct Sleep {
  double Seconds = 0;
};
/// @brief `SELECT generate_series(1, n)`
struct Series {
  std::uint64_t Rows = 0;
};
/// @brief `BEGIN`, `COMMIT`, `ROLLBACK`, `DISCARD ALL`, `SET ...`
struct Control {
  enum class Kind : std::uint8_t { Begin, Commit, Rollback, Discard, Set };
  Kind Operation = Kind::Begin;
};
/// @brief `CONFIRM term position`: waits until the target has replayed the
/// position; position 0 only checks that it has seen no later term.
struct Confirm {
  std::uint64_t Term = 0;
  std::uint64_t Position = 0;
};
/// @brief `FENCE term order`: makes the target a replica that rejects earlier
/// terms. The same order may be repeated.
struct Fence {
  std::uint64_t Term = 0;
  std::string Order;
};

/// @brief A statement that a stand-in target supports.
using Sql = std::variant<Insert, Update, Delete, Select, SelectLiteral, Sleep,
                         Series, Control, Confirm, Fence>;

/// @brief Parses one of the statements above.
/// @param Parameters values for $1, $2, ...
/// @return the statement, or an error message
tl::expected<Sql, std::string>
parseSql(std::string_view Text,
         const std::vector<std::optional<std::string>> &Parameters);

} // namespace bergamotstage::standin

#endif // BERGAMOTSTAGE_STANDIN_SQL_H
