#ifndef BERGAMOTSTAGE_STANDIN_REPLICATEDTARGET_H
#define BERGAMOTSTAGE_STANDIN_REPLICATEDTARGET_H

#include "bergamotstage/core/HistoryPoint.h"
#include "bergamotstage/core/Time.h"
#include "standin/Sql.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace bergamotstage::standin {

/// @brief A change of one row; without cells the row is deleted.
struct RowChange {
  std::string Table;
  std::string Key;
  std::optional<std::vector<std::string>> Cells;
};

/// @brief One committed transaction in the log.
struct LogEntry {
  HistoryPoint Point;
  Instant Written{};
  std::vector<RowChange> Changes;
};

/// @brief State of one connection to a target.
struct SqlSession {
  std::uint64_t Number = 0;
  bool InTransaction = false;
  bool Failed = false;
  std::vector<RowChange> Changes;
};

/// @brief Result of one statement.
struct SqlResult {
  std::string SqlState; ///< Empty on success.
  std::string Message;
  std::string Tag;
  std::vector<std::string> Columns;
  std::vector<std::vector<std::string>> Rows;
  Duration ExecutionTime{}; ///< Delay until the result is sent.
};

/// @brief One target of a stand-in database group: tables, log and term.
///
/// It supports only the statements of Sql.h, with row locks.
class ReplicatedTarget {
public:
  /// @brief Runs a statement.
  /// @return the result; none while the statement waits for a row lock or a
  /// position and must be executed again
  std::optional<SqlResult> execute(SqlSession &Session, const Sql &Statement,
                                   Instant Now);

  /// @brief Rolls back the open transaction of a session and releases its
  /// locks.
  void closeSession(SqlSession &Session);

  /// @brief Removes entries that the primary does not have and appends its
  /// entries written up to NotAfter. A primary of a term before the latest seen
  /// is ignored.
  void replicateFrom(const ReplicatedTarget &Primary, Instant NotAfter);

  /// @brief Becomes the primary of a term and logs the start of the term.
  void becomePrimary(Term NewTerm, Instant Now);

  /// @brief Returns term and position of the last log entry. A replica reports
  /// a term only once its log has that term's start and all earlier entries.
  HistoryPoint replayed() const;
  Term latestSeenTerm() const { return m_LatestSeenTerm; }
  bool isPrimary() const { return m_IsPrimary; }
  const std::vector<LogEntry> &log() const { return m_Log; }

private:
  using Rows = std::map<std::string, std::vector<std::string>>;
  using LockKey = std::pair<std::string, std::string>;

  std::optional<SqlResult> run(SqlSession &Session, const Insert &Statement,
                               Instant Now);
  std::optional<SqlResult> run(SqlSession &Session, const Update &Statement,
                               Instant Now);
  std::optional<SqlResult> run(SqlSession &Session, const Delete &Statement,
                               Instant Now);
  std::optional<SqlResult> run(SqlSession &Session, const Select &Statement,
                               Instant Now);
  std::optional<SqlResult> run(SqlSession &Session,
                               const SelectLiteral &Statement, Instant Now);
  std::optional<SqlResult> run(SqlSession &Session, const Sleep &Statement,
                               Instant Now);
  std::optional<SqlResult> run(SqlSession &Session, const Series &Statement,
                               Instant Now);
  std::optional<SqlResult> run(SqlSession &Session, const Control &Statement,
                               Instant Now);
  std::optional<SqlResult> run(SqlSession &Session, const Confirm &Statement,
                               Instant Now);
  std::optional<SqlResult> run(SqlSession &Session, const Fence &Statement,
                               Instant Now);

  bool tryLock(const SqlSession &Session, const std::string &Table,
               const std::string &Key);
  void unlock(const SqlSession &Session);
  std::optional<std::vector<std::string>>
  visibleRow(const SqlSession &Session, const std::string &Table,
             const std::string &Key) const;
  Rows visibleRows(const SqlSession &Session, const std::string &Table) const;
  SqlResult recordChange(SqlSession &Session, RowChange Change, std::string Tag,
                         Instant Now);
  void commit(SqlSession &Session, Instant Now);
  void apply(const LogEntry &Entry);
  void rebuildTables();
  void dropDivergedEntries(const ReplicatedTarget &Primary);

  std::vector<LogEntry> m_Log;
  std::map<std::string, Rows> m_Tables;
  std::map<LockKey, std::uint64_t> m_Locks;
  Term m_LatestSeenTerm{1};
  std::string m_FenceOrder;
  Term m_PrimaryTerm{1};
  bool m_IsPrimary = false;
};

} // namespace bergamotstage::standin

#endif // BERGAMOTSTAGE_STANDIN_REPLICATEDTARGET_H
