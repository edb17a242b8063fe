#include "runtime/targets/TargetLink.h"

#include "bergamotstage/core/Parse.h"
#include "bergamotstage/wire/Backend.h"

#include <cstddef>
#include <string_view>
#include <utility>
#include <vector>

namespace bergamotstage::runtime {
namespace {

/// @brief Rows are collected into chunks of at least this size.
constexpr std::size_t MinChunkBytes = std::size_t{16} << 10U;
constexpr auto RetryInterval = std::chrono::milliseconds(1);
const char *const ConnectTimeoutSeconds = "5";

void ignoreNotice(void *, const PGresult *) {}

std::string trimMessage(const char *Text) {
  std::string Clean = Text == nullptr ? "" : Text;
  while (!Clean.empty() && (Clean.back() == '\n' || Clean.back() == ' '))
    Clean.pop_back();
  return Clean;
}

std::uint64_t parameterNumber(const PGconn *Connection, const char *Name) {
  const char *Value = PQparameterStatus(Connection, Name);
  return Value == nullptr ? 0 : parseCount(Value).value_or(0);
}

void describeRows(const PGresult *Result, std::string &Out) {
  std::vector<wire::Column> Columns;
  for (int Index = 0; Index < PQnfields(Result); ++Index) {
    wire::Column Entry;
    Entry.Name = PQfname(Result, Index);
    Entry.TypeId = PQftype(Result, Index);
    Entry.TypeSize = static_cast<std::int16_t>(PQfsize(Result, Index));
    Entry.TypeModifier = PQfmod(Result, Index);
    Entry.Format = static_cast<std::int16_t>(PQfformat(Result, Index));
    Columns.push_back(std::move(Entry));
  }
  wire::BackendWriter(Out).rowDescription(Columns);
}

void encodeRows(const PGresult *Result, std::string &Out) {
  std::vector<std::optional<std::string_view>> Cells;
  for (int Row = 0; Row < PQntuples(Result); ++Row) {
    Cells.clear();
    for (int Index = 0; Index < PQnfields(Result); ++Index) {
      if (PQgetisnull(Result, Row, Index) != 0) {
        Cells.emplace_back(std::nullopt);
        continue;
      }
      auto Length = static_cast<std::size_t>(PQgetlength(Result, Row, Index));
      Cells.emplace_back(
          std::string_view(PQgetvalue(Result, Row, Index), Length));
    }
    wire::BackendWriter(Out).dataRow(Cells);
  }
}

} // namespace

TargetLink::TargetLink(asio::io_context &Io, LinkId Id, EventSink Events,
                       ChunkSink Chunks)
    : m_Io(Io), m_Id(Id), m_Events(std::move(Events)),
      m_Chunks(std::move(Chunks)), m_Retry(Io) {}

TargetLink::~TargetLink() { close(); }

void TargetLink::open(const OpenLink &Command,
                      const TargetCredentials &Credentials) {
  std::size_t Colon = Command.Address.rfind(':');
  std::string Host = Command.Address.substr(0, Colon);
  std::string Port =
      Colon == std::string::npos ? "5432" : Command.Address.substr(Colon + 1);
  const char *Names[] = {"hostaddr", "port",       "dbname",
                         "user",     "password",   "application_name",
                         "sslmode",  "gssencmode", "connect_timeout",
                         nullptr};
  const char *Values[] = {Host.c_str(),
                          Port.c_str(),
                          Command.DatabaseName.c_str(),
                          Credentials.User.c_str(),
                          Credentials.Password.c_str(),
                          "bergamotstage",
                          "prefer",
                          "disable",
                          ConnectTimeoutSeconds,
                          nullptr};
  m_Connection = PQconnectStartParams(Names, Values, 0);
  if (m_Connection == nullptr)
    return fail("the connection could not be opened: out of memory");
  if (PQstatus(m_Connection) == CONNECTION_BAD)
    return fail(trimMessage(PQerrorMessage(m_Connection)));
  PQsetNoticeReceiver(m_Connection, ignoreNotice, nullptr);
  m_Descriptor.emplace(m_Io, PQsocket(m_Connection));
  m_Descriptor->async_wait(asio::posix::descriptor_base::wait_write,
                           [Self = shared_from_this()](std::error_code Error) {
                             if (!Error && !Self->m_Closed)
                               Self->pollConnect();
                           });
}

void TargetLink::pollConnect() {
  PostgresPollingStatusType Status = PQconnectPoll(m_Connection);
  if (Status == PGRES_POLLING_FAILED)
    return fail(trimMessage(PQerrorMessage(m_Connection)));
  if (Status == PGRES_POLLING_OK) {
    PQsetnonblocking(m_Connection, 1);
    m_Events(LinkOpened{m_Id});
    waitReadable();
    return;
  }
  if (m_Descriptor->native_handle() != PQsocket(m_Connection)) {
    m_Descriptor->release();
    m_Descriptor.emplace(m_Io, PQsocket(m_Connection));
  }
  auto WaitType = Status == PGRES_POLLING_READING
                      ? asio::posix::descriptor_base::wait_read
                      : asio::posix::descriptor_base::wait_write;
  m_Descriptor->async_wait(WaitType,
                           [Self = shared_from_this()](std::error_code Error) {
                             if (!Error && !Self->m_Closed)
                               Self->pollConnect();
                           });
}

void TargetLink::run(const RunStatement &Command) {
  m_Answer = LinkAnswered();
  m_Answer.Link = m_Id;
  m_Answer.Statement = Command.Statement;
  m_Caller = Command.Caller;
  m_Internal = false;
  m_Body = Command.Body;
  m_ColumnsSent = !m_Body->WantColumns;
  m_Describing = m_Body->DescribeOnly;
  m_Prepared = false;
  m_Credit = makeCredit();
  m_OnDelivered = std::make_shared<const RowsDelivered>(
      [Credit = m_Credit](std::size_t Bytes) { Credit->release(Bytes); });
  const StatementBody &Body = *Command.Body;
  if (m_Describing)
    return sendDescribe(Body);
  if (!Body.Extended) {
    startQuery(PQsendQuery(m_Connection, Body.Text.c_str()) == 1);
    return;
  }
  std::vector<const char *> Values;
  std::vector<int> Lengths;
  std::vector<int> Formats;
  for (std::size_t Index = 0; Index < Body.Values.size(); ++Index) {
    const auto &Value = Body.Values[Index];
    Values.push_back(Value ? Value->c_str() : nullptr);
    Lengths.push_back(Value ? static_cast<int>(Value->size()) : 0);
    std::size_t FormatIndex = Body.ParameterFormats.size() == 1 ? 0 : Index;
    bool HasFormat = FormatIndex < Body.ParameterFormats.size();
    Formats.push_back(HasFormat ? Body.ParameterFormats[FormatIndex] : 0);
  }
  bool Typed = Body.ParameterTypes.size() == Body.Values.size();
  std::vector<Oid> Types(Body.ParameterTypes.begin(),
                         Body.ParameterTypes.end());
  startQuery(PQsendQueryParams(m_Connection, Body.Text.c_str(),
                               static_cast<int>(Values.size()),
                               Typed ? Types.data() : nullptr, Values.data(),
                               Lengths.data(), Formats.data(),
                               Body.ResultFormat) == 1);
}

SharedCredit TargetLink::makeCredit() {
  return std::make_shared<RowCredit>([Io = &m_Io, Weak = weak_from_this()] {
    asio::post(*Io, [Weak] {
      if (auto Self = Weak.lock())
        Self->resume();
    });
  });
}

void TargetLink::run(const RunInternal &Command) {
  m_Answer = LinkAnswered();
  m_Answer.Link = m_Id;
  m_Answer.Statement = Command.Statement;
  m_Internal = true;
  m_Describing = false;
  startQuery(PQsendQuery(m_Connection, Command.Text.c_str()) == 1);
}

void TargetLink::startQuery(bool Sent) {
  m_Busy = true;
  m_ResultsComplete = false;
  m_Stalled = false;
  m_PendingRows.clear();
  if (!Sent)
    return fail(trimMessage(PQerrorMessage(m_Connection)));
  if (!m_Internal && !m_Describing)
    PQsetSingleRowMode(m_Connection);
  flushOutput();
}

void TargetLink::sendDescribe(const StatementBody &Body) {
  std::vector<Oid> Types(Body.ParameterTypes.begin(),
                         Body.ParameterTypes.end());
  startQuery(PQsendPrepare(m_Connection, "", Body.Text.c_str(),
                           static_cast<int>(Types.size()), Types.data()) == 1);
}

void TargetLink::describePrepared() {
  m_Prepared = true;
  startQuery(PQsendDescribePrepared(m_Connection, "") == 1);
}

void TargetLink::appendDescription(const PGresult *Result) {
  std::vector<std::uint32_t> Types;
  Types.reserve(static_cast<std::size_t>(PQnparams(Result)));
  for (int Index = 0; Index < PQnparams(Result); ++Index)
    Types.push_back(PQparamtype(Result, Index));
  wire::BackendWriter(m_PendingRows).parameterDescription(Types);
  if (PQnfields(Result) == 0)
    wire::BackendWriter(m_PendingRows).noData();
  else
    describeRows(Result, m_PendingRows);
}

void TargetLink::flushOutput() {
  int Pending = PQflush(m_Connection);
  if (Pending < 0)
    return fail(trimMessage(PQerrorMessage(m_Connection)));
  if (Pending == 0)
    return;
  m_Descriptor->async_wait(asio::posix::descriptor_base::wait_write,
                           [Self = shared_from_this()](std::error_code Error) {
                             if (!Error && !Self->m_Closed)
                               Self->flushOutput();
                           });
}

void TargetLink::waitReadable() {
  m_Descriptor->async_wait(
      asio::posix::descriptor_base::wait_read,
      [Self = shared_from_this()](std::error_code Error) {
        if (Error || Self->m_Closed)
          return;
        if (PQconsumeInput(Self->m_Connection) == 0)
          return Self->fail(trimMessage(PQerrorMessage(Self->m_Connection)));
        Self->readResults();
      });
}

void TargetLink::readResults() {
  m_Stalled = !readAvailable();
  if (!m_Stalled && !m_Closed)
    waitReadable();
}

bool TargetLink::readAvailable() {
  if (m_Stalled && !sendChunk(m_ResultsComplete))
    return false;
  while (m_Busy && PQisBusy(m_Connection) == 0) {
    if (!m_ResultsComplete) {
      PGresult *Result = PQgetResult(m_Connection);
      m_ResultsComplete = Result == nullptr;
      bool Queued = m_ResultsComplete || handleResult(Result);
      PQclear(Result);
      if (!Queued)
        return false;
      continue;
    }
    if (!sendChunk(true))
      return false;
    finish();
  }
  // Rows that have arrived are sent without waiting for the remaining ones.
  return !m_Busy || sendChunk(false);
}

bool TargetLink::handleResult(PGresult *Result) {
  switch (PQresultStatus(Result)) {
  case PGRES_SINGLE_TUPLE:
    return queueRows(Result);
  case PGRES_TUPLES_OK:
    m_Answer.Tag = PQcmdStatus(Result);
    if (m_Internal) {
      storeCells(Result);
      return true;
    }
    return queueRows(Result);
  case PGRES_COMMAND_OK:
    m_Answer.Tag = PQcmdStatus(Result);
    if (m_Prepared)
      appendDescription(Result);
    return true;
  case PGRES_EMPTY_QUERY:
    return true;
  default:
    storeError(Result);
    return true;
  }
}

bool TargetLink::queueRows(const PGresult *Result) {
  if (!m_ColumnsSent)
    describeRows(Result, m_PendingRows);
  m_ColumnsSent = true;
  encodeRows(Result, m_PendingRows);
  return m_PendingRows.size() < MinChunkBytes || sendChunk(false);
}

bool TargetLink::sendChunk(bool Last) {
  if (m_PendingRows.empty())
    return true;
  std::size_t ByteCount = m_PendingRows.size();
  if (!m_Credit->acquire(ByteCount))
    return false;
  RowChunk Chunk{m_Caller, m_Answer.Statement, std::move(m_PendingRows),
                 m_OnDelivered, Last};
  m_PendingRows.clear();
  if (m_Chunks(std::move(Chunk))) {
    ++m_Answer.Chunks;
    return true;
  }
  // NOLINTNEXTLINE(bugprone-use-after-move): a full queue moves nothing.
  m_PendingRows = std::move(Chunk.Bytes);
  m_Credit->release(ByteCount);
  scheduleRetry();
  return false;
}

void TargetLink::resume() {
  if (!m_Closed && m_Busy && m_Stalled)
    readResults();
}

void TargetLink::scheduleRetry() {
  m_Retry.expires_after(RetryInterval);
  m_Retry.async_wait([Self = shared_from_this()](std::error_code Error) {
    if (!Error)
      Self->resume();
  });
}

void TargetLink::storeCells(const PGresult *Result) {
  if (PQntuples(Result) == 0)
    return;
  for (int Index = 0; Index < PQnfields(Result); ++Index)
    m_Answer.Cells.emplace_back(PQgetvalue(Result, 0, Index));
}

void TargetLink::storeError(const PGresult *Result) {
  const char *State = PQresultErrorField(Result, PG_DIAG_SQLSTATE);
  m_Answer.ErrorSqlState = State == nullptr ? "XX000" : State;
  m_Answer.ErrorMessage =
      trimMessage(PQresultErrorField(Result, PG_DIAG_MESSAGE_PRIMARY));
}

void TargetLink::finish() {
  if (PQstatus(m_Connection) != CONNECTION_OK)
    return fail("the connection was lost");
  if (m_Describing && !m_Prepared && m_Answer.ErrorSqlState.empty())
    return describePrepared();
  m_Busy = false;
  m_Answer.Reported = {
      Term(parameterNumber(m_Connection, "group_term")),
      LogPosition(parameterNumber(m_Connection, "group_position"))};
  PGTransactionStatusType Status = PQtransactionStatus(m_Connection);
  m_Answer.TransactionFailed = Status == PQTRANS_INERROR;
  m_Answer.InTransaction =
      Status == PQTRANS_INTRANS || Status == PQTRANS_INERROR;
  m_Events(std::move(m_Answer));
}

void TargetLink::fail(const std::string &Reason) {
  if (m_Closed)
    return;
  std::uint64_t Chunks = m_Busy ? m_Answer.Chunks : 0;
  close();
  LinkFailed Event;
  Event.Link = m_Id;
  Event.Chunks = Chunks;
  Event.Reason = Reason;
  m_Events(std::move(Event));
}

void TargetLink::close() {
  m_Closed = true;
  if (m_Descriptor) {
    std::error_code Ignored;
    m_Descriptor->cancel(Ignored);
    m_Descriptor->release();
    m_Descriptor.reset();
  }
  if (m_Connection != nullptr)
    PQfinish(m_Connection);
  m_Connection = nullptr;
}

} // namespace bergamotstage::runtime
