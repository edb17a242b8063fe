#include "standin/ReplicatedTarget.h"

#include "bergamotstage/core/Parse.h"

#include <algorithm>
#include <cstddef>

namespace bergamotstage::standin {
namespace {

SqlResult failure(std::string SqlState, std::string Message) {
  SqlResult Result;
  Result.SqlState = std::move(SqlState);
  Result.Message = std::move(Message);
  return Result;
}

SqlResult success(std::string Tag) {
  SqlResult Result;
  Result.Tag = std::move(Tag);
  return Result;
}

SqlResult readOnlyFailure() {
  return failure("25006", "this target is not the primary");
}

} // namespace

std::optional<SqlResult> ReplicatedTarget::execute(SqlSession &Session,
                                                   const Sql &Statement,
                                                   Instant Now) {
  const auto *ControlStatement = std::get_if<Control>(&Statement);
  if (Session.Failed && ControlStatement == nullptr)
    return failure("25P02", "the transaction is aborted");
  std::optional<SqlResult> Result = std::visit(
      [&](const auto &Typed) { return run(Session, Typed, Now); }, Statement);
  if (Result && !Result->SqlState.empty() && Session.InTransaction)
    Session.Failed = true;
  return Result;
}

void ReplicatedTarget::closeSession(SqlSession &Session) {
  Session.Changes.clear();
  Session.InTransaction = false;
  Session.Failed = false;
  unlock(Session);
}

bool ReplicatedTarget::tryLock(const SqlSession &Session,
                               const std::string &Table,
                               const std::string &Key) {
  auto [Lock, Added] = m_Locks.emplace(LockKey{Table, Key}, Session.Number);
  return Added || Lock->second == Session.Number;
}

void ReplicatedTarget::unlock(const SqlSession &Session) {
  for (auto Entry = m_Locks.begin(); Entry != m_Locks.end();)
    Entry = Entry->second == Session.Number ? m_Locks.erase(Entry)
                                            : std::next(Entry);
}

std::optional<std::vector<std::string>>
ReplicatedTarget::visibleRow(const SqlSession &Session,
                             const std::string &Table,
                             const std::string &Key) const {
  for (auto Change = Session.Changes.rbegin(); Change != Session.Changes.rend();
       ++Change)
    if (Change->Table == Table && Change->Key == Key)
      return Change->Cells;
  auto Found = m_Tables.find(Table);
  if (Found == m_Tables.end())
    return std::nullopt;
  auto Row = Found->second.find(Key);
  if (Row == Found->second.end())
    return std::nullopt;
  return Row->second;
}

ReplicatedTarget::Rows
ReplicatedTarget::visibleRows(const SqlSession &Session,
                              const std::string &Table) const {
  auto Found = m_Tables.find(Table);
  Rows All = Found == m_Tables.end() ? Rows() : Found->second;
  for (const RowChange &Change : Session.Changes) {
    if (Change.Table != Table)
      continue;
    if (Change.Cells)
      All[Change.Key] = *Change.Cells;
    else
      All.erase(Change.Key);
  }
  return All;
}

SqlResult ReplicatedTarget::recordChange(SqlSession &Session, RowChange Change,
                                         std::string Tag, Instant Now) {
  Session.Changes.push_back(std::move(Change));
  if (!Session.InTransaction)
    commit(Session, Now);
  return success(std::move(Tag));
}

void ReplicatedTarget::commit(SqlSession &Session, Instant Now) {
  if (!Session.Changes.empty()) {
    LogEntry Entry;
    Entry.Point = {m_PrimaryTerm, LogPosition(m_Log.size() + 1)};
    Entry.Written = Now;
    Entry.Changes = std::move(Session.Changes);
    Session.Changes.clear();
    apply(Entry);
    m_Log.push_back(std::move(Entry));
  }
  unlock(Session);
}

void ReplicatedTarget::apply(const LogEntry &Entry) {
  for (const RowChange &Change : Entry.Changes) {
    if (Change.Cells)
      m_Tables[Change.Table][Change.Key] = *Change.Cells;
    else
      m_Tables[Change.Table].erase(Change.Key);
  }
}

void ReplicatedTarget::rebuildTables() {
  m_Tables.clear();
  for (const LogEntry &Entry : m_Log)
    apply(Entry);
}

std::optional<SqlResult> ReplicatedTarget::run(SqlSession &Session,
                                               const Insert &Statement,
                                               Instant Now) {
  if (!m_IsPrimary)
    return readOnlyFailure();
  const std::string &Key = Statement.Cells.front();
  if (!tryLock(Session, Statement.Table, Key))
    return std::nullopt;
  if (visibleRow(Session, Statement.Table, Key)) {
    if (!Session.InTransaction)
      unlock(Session);
    if (Statement.IgnoreConflict)
      return success("INSERT 0 0");
    return failure("23505", "the key already exists");
  }
  return recordChange(Session, {Statement.Table, Key, Statement.Cells},
                      "INSERT 0 1", Now);
}

std::optional<SqlResult> ReplicatedTarget::run(SqlSession &Session,
                                               const Update &Statement,
                                               Instant Now) {
  if (!m_IsPrimary)
    return readOnlyFailure();
  if (!tryLock(Session, Statement.Table, Statement.Key))
    return std::nullopt;
  auto Cells = visibleRow(Session, Statement.Table, Statement.Key);
  if (!Cells) {
    if (!Session.InTransaction)
      unlock(Session);
    return success("UPDATE 0");
  }
  Cells->resize(std::max<std::size_t>(2, Cells->size()));
  std::string &Value = (*Cells)[1];
  if (Statement.Add)
    Value = std::to_string(parseCount(Value).value_or(0) +
                           parseCount(Statement.Value).value_or(0));
  else
    Value = Statement.Value;
  return recordChange(Session, {Statement.Table, Statement.Key, Cells},
                      "UPDATE 1", Now);
}

std::optional<SqlResult> ReplicatedTarget::run(SqlSession &Session,
                                               const Delete &Statement,
                                               Instant Now) {
  if (!m_IsPrimary)
    return readOnlyFailure();
  std::vector<std::string> Keys;
  for (const auto &[Key, Cells] : visibleRows(Session, Statement.Table))
    if (!Statement.Key || Key == *Statement.Key)
      Keys.push_back(Key);
  for (const std::string &Key : Keys)
    if (!tryLock(Session, Statement.Table, Key))
      return std::nullopt;
  for (const std::string &Key : Keys)
    Session.Changes.push_back({Statement.Table, Key, std::nullopt});
  if (!Session.InTransaction)
    commit(Session, Now);
  return success("DELETE " + std::to_string(Keys.size()));
}

std::optional<SqlResult>
ReplicatedTarget::run(SqlSession &Session, const Select &Statement, Instant) {
  SqlResult Result;
  Rows All = visibleRows(Session, Statement.Table);
  if (Statement.Projection == "count") {
    Result.Columns = {"count"};
    Result.Rows = {{std::to_string(All.size())}};
    Result.Tag = "SELECT 1";
    return Result;
  }
  Result.Columns = Statement.Projection == "*"
                       ? std::vector<std::string>{"key", "value"}
                       : std::vector<std::string>{Statement.Projection};
  for (auto &[Key, Cells] : All) {
    if (Statement.Key && Key != *Statement.Key)
      continue;
    Cells.resize(2);
    if (Statement.Projection == "*")
      Result.Rows.push_back(Cells);
    else
      Result.Rows.push_back(
          {Statement.Projection == "key" ? Cells[0] : Cells[1]});
  }
  Result.Tag = "SELECT " + std::to_string(Result.Rows.size());
  return Result;
}

std::optional<SqlResult>
ReplicatedTarget::run(SqlSession &, const SelectLiteral &Statement, Instant) {
  SqlResult Result = success("SELECT 1");
  Result.Columns = {"?column?"};
  Result.Rows = {{Statement.Value}};
  return Result;
}

std::optional<SqlResult>
ReplicatedTarget::run(SqlSession &, const Sleep &Statement, Instant) {
  SqlResult Result = success("SELECT 1");
  Result.Columns = {"pg_sleep"};
  Result.Rows = {{""}};
  Result.ExecutionTime = scaled(seconds(1), Statement.Seconds);
  return Result;
}

std::optional<SqlResult>
ReplicatedTarget::run(SqlSession &, const Series &Statement, Instant) {
  SqlResult Result = success("SELECT " + std::to_string(Statement.Rows));
  Result.Columns = {"generate_series"};
  for (std::uint64_t Row = 1; Row <= Statement.Rows; ++Row)
    Result.Rows.push_back({std::to_string(Row)});
  return Result;
}

std::optional<SqlResult> ReplicatedTarget::run(SqlSession &Session,
                                               const Control &Statement,
                                               Instant Now) {
  switch (Statement.Operation) {
  case Control::Kind::Begin:
    Session.InTransaction = true;
    return success("BEGIN");
  case Control::Kind::Commit: {
    bool Failed = Session.Failed;
    Session.InTransaction = false;
    Session.Failed = false;
    if (Failed || (!m_IsPrimary && !Session.Changes.empty())) {
      closeSession(Session);
      return Failed ? success("ROLLBACK") : readOnlyFailure();
    }
    commit(Session, Now);
    return success("COMMIT");
  }
  case Control::Kind::Rollback:
    closeSession(Session);
    return success("ROLLBACK");
  case Control::Kind::Discard:
    closeSession(Session);
    return success("DISCARD ALL");
  case Control::Kind::Set:
    return success("SET");
  }
  return std::nullopt;
}

std::optional<SqlResult>
ReplicatedTarget::run(SqlSession &, const Confirm &Statement, Instant) {
  if (m_LatestSeenTerm.value() > Statement.Term)
    return failure("55000", "this target has seen a later term");
  HistoryPoint Required{Term(Statement.Term), LogPosition(Statement.Position)};
  bool WaitsForPosition = Statement.Position > 0;
  if (WaitsForPosition && replayed() < Required)
    return std::nullopt;
  return success("CONFIRM");
}

std::optional<SqlResult>
ReplicatedTarget::run(SqlSession &, const Fence &Statement, Instant) {
  bool IsRepeated = m_LatestSeenTerm.value() == Statement.Term &&
                    m_FenceOrder == Statement.Order;
  if (m_LatestSeenTerm.value() >= Statement.Term && !IsRepeated)
    return failure("55000", "this target has seen this or a later term");
  m_LatestSeenTerm = Term(Statement.Term);
  m_FenceOrder = Statement.Order;
  m_IsPrimary = false;
  SqlResult Result = success("FENCE");
  Result.Columns = {"term", "position"};
  Result.Rows = {{std::to_string(replayed().AtTerm.value()),
                  std::to_string(replayed().Position.value())}};
  return Result;
}

void ReplicatedTarget::replicateFrom(const ReplicatedTarget &Primary,
                                     Instant NotAfter) {
  bool IsNewerPrimary = m_IsPrimary && m_PrimaryTerm >= Primary.m_PrimaryTerm;
  if (Primary.m_PrimaryTerm < m_LatestSeenTerm || IsNewerPrimary)
    return;
  m_IsPrimary = false;
  m_LatestSeenTerm = Primary.m_PrimaryTerm;
  dropDivergedEntries(Primary);
  while (m_Log.size() < Primary.m_Log.size()) {
    const LogEntry &Next = Primary.m_Log[m_Log.size()];
    if (Next.Written > NotAfter)
      return;
    apply(Next);
    m_Log.push_back(Next);
  }
}

void ReplicatedTarget::dropDivergedEntries(const ReplicatedTarget &Primary) {
  std::size_t Common = std::min(m_Log.size(), Primary.m_Log.size());
  while (Common > 0 &&
         m_Log[Common - 1].Point != Primary.m_Log[Common - 1].Point)
    --Common;
  if (Common == m_Log.size())
    return;
  m_Log.resize(Common);
  m_Locks.clear();
  rebuildTables();
}

void ReplicatedTarget::becomePrimary(Term NewTerm, Instant Now) {
  m_LatestSeenTerm = NewTerm;
  m_PrimaryTerm = NewTerm;
  m_IsPrimary = true;
  LogEntry Start;
  Start.Point = {NewTerm, LogPosition(m_Log.size() + 1)};
  Start.Written = Now;
  m_Log.push_back(std::move(Start));
}

HistoryPoint ReplicatedTarget::replayed() const {
  return m_Log.empty() ? HistoryPoint{Term(1), LogPosition(0)}
                       : m_Log.back().Point;
}

} // namespace bergamotstage::standin
