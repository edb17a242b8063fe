#include "runtime/callers/CallerSession.h"

#include "runtime/WakeEvent.h"

#include <utility>

namespace bergamotstage::runtime {
namespace {

/// @brief No message is processed while this much output is pending.
constexpr std::size_t MaxOutputBytes = std::size_t{512} << 10U;
/// @brief Output buffer capacity that is retained between statements.
constexpr std::size_t RetainedOutputBytes = std::size_t{4} << 10U;
const char *const IdleSessionTimeout = "57P05";
const char *const IdleInTransactionTimeout = "25P03";

std::string formatHint(const Refusal &Reason) {
  std::string Hint = runStateName(Reason.State);
  if (Reason.RetryAfter)
    Hint += "; retry after " +
            std::to_string(
                std::chrono::duration_cast<milliseconds>(*Reason.RetryAfter)
                    .count()) +
            " ms";
  return Hint;
}

Refusal makeRefusal(const char *SqlState, std::string Message) {
  Refusal Reason;
  Reason.SqlState = SqlState;
  Reason.Message = std::move(Message);
  return Reason;
}

} // namespace

CallerSession::CallerSession(asio::ip::tcp::socket Socket, CallerId Id,
                             std::uint32_t Secret, Instant Now,
                             SessionHooks Hooks)
    : m_Stream(std::move(Socket)), m_Id(Id), m_Secret(Secret),
      m_Hooks(std::move(Hooks)), m_LastProgress(Now) {}

void CallerSession::start() { read(); }

void CallerSession::read() {
  if (m_Reading || m_Ended)
    return;
  m_Reading = true;
  m_Stream.readSome(m_Hooks.Input,
                    [Self = shared_from_this()](std::error_code Fault,
                                                std::string_view Bytes) {
                      Self->m_Reading = false;
                      if (Fault || Self->m_Ended)
                        return Self->end();
                      if (Self->m_Admitted)
                        Self->m_LastProgress = steadyNow();
                      Self->m_Reader.feed(Bytes);
                      Self->process();
                    });
}

void CallerSession::process() {
  while (!m_AwaitingDecision && !m_Ended && !m_CloseAfterWrite &&
         m_QueuedOutput.size() < MaxOutputBytes) {
    auto Message = m_Reader.next();
    if (!Message) {
      failConnection(sqlstate::ProtocolViolation, Message.error().Reason);
      break;
    }
    if (!*Message) {
      read();
      break;
    }
    handle(std::move(**Message));
  }
  flush();
}

void CallerSession::openSession(std::optional<std::string> Key) {
  CallerOpened Opening = *m_Opening;
  Opening.Key = std::move(Key);
  m_AwaitingDecision = true;
  if (!m_Hooks.Events(std::move(Opening)))
    failConnection(sqlstate::CannotConnectNow, "the proxy is overloaded");
}

void CallerSession::requestKey() {
  m_AwaitingDecision = false;
  m_AwaitingKey = true;
  writer().authenticationCleartextPassword();
  process();
}

void CallerSession::admit() {
  m_AwaitingDecision = false;
  m_Admitted = true;
  m_LastProgress = steadyNow();
  m_Opening.reset();
  writer().authenticationOk();
  writer().parameterStatus("server_version", "15.0");
  writer().parameterStatus("server_encoding", "UTF8");
  writer().parameterStatus("client_encoding", "UTF8");
  writer().parameterStatus("DateStyle", "ISO, MDY");
  writer().parameterStatus("integer_datetimes", "on");
  writer().parameterStatus("standard_conforming_strings", "on");
  writer().parameterStatus("bergamotstage.session", "");
  writer().backendKeyData(static_cast<std::uint32_t>(m_Id.value()), m_Secret);
  writer().readyForQuery(wire::TransactionStatus::Idle);
  process();
}

void CallerSession::cancel(std::uint32_t Secret) {
  if (Secret == m_Secret && m_Statement)
    m_Hooks.Events(CancelRequested{m_Id});
}

void CallerSession::submit(SharedBody Body, RequestKind Kind) {
  m_Body = Body;
  m_RequestKind = Kind;
  StatementReceived Request;
  Request.Caller = m_Id;
  Request.Statement = m_Hooks.NextStatementId();
  Request.Body = std::move(Body);
  m_Statement = Request.Statement;
  m_ChunksReceived = 0;
  m_AwaitingDecision = true;
  if (!m_Hooks.Events(std::move(Request)))
    return rejectOverloaded();
  // Reading continues to detect a disconnect during the statement.
  read();
}

void CallerSession::rejectOverloaded() {
  AnswerStatement Answer;
  Answer.Statement = *m_Statement;
  Answer.InTransaction = m_InTransaction;
  Answer.TransactionFailed = m_TransactionFailed;
  Answer.Error =
      makeRefusal(sqlstate::TooManyConnections, "the proxy is overloaded");
  answer(std::move(Answer));
}

void CallerSession::appendRows(RowChunk &&Chunk) {
  if (m_Ended || m_Statement != Chunk.Statement) {
    if (Chunk.OnDelivered)
      (*Chunk.OnDelivered)(Chunk.Bytes.size());
    return;
  }
  ++m_ChunksReceived;
  if (Chunk.OnDelivered)
    m_QueuedCredit.push_back(
        {std::move(Chunk.OnDelivered), Chunk.Bytes.size()});
  if (m_RequestKind == RequestKind::Describe)
    appendDescription(std::move(Chunk.Bytes));
  else
    m_QueuedOutput += Chunk.Bytes;
  if (m_Answer)
    return finishAnswer();
  // The last rows are sent in one write with the end of the statement.
  if (!Chunk.Last)
    flush();
}

void CallerSession::answer(AnswerStatement Answer) {
  if (m_Statement != Answer.Statement)
    return;
  m_Answer = std::move(Answer);
  finishAnswer();
}

void CallerSession::finishAnswer() {
  if (m_ChunksReceived < m_Answer->Chunks)
    return;
  AnswerStatement Answer = std::move(*m_Answer);
  m_Answer.reset();
  m_Statement.reset();
  m_AwaitingDecision = false;
  m_LastProgress = steadyNow();
  m_InTransaction = Answer.InTransaction;
  m_TransactionFailed = Answer.TransactionFailed;
  if (Answer.Error && Answer.Error->CloseConnection)
    return close(*Answer.Error);
  if (Answer.Error)
    writeError(*Answer.Error, "ERROR");
  else
    writeCompletion(Answer);
  m_Body.reset();
  if (m_RequestKind == RequestKind::SimpleQuery)
    writer().readyForQuery(status());
  else
    m_SkipToSync = Answer.Error.has_value();
  if (m_SyncAfterAnswer)
    sync();
  process();
}

void CallerSession::writeNotice(const std::string &Text) {
  if (Text.empty())
    return;
  wire::ErrorFields Fields;
  Fields.Severity = "NOTICE";
  Fields.SqlState = "00000";
  Fields.Message = Text;
  writer().notice(Fields);
}

void CallerSession::reportParameter(const ReportParameter &Parameter) {
  writer().parameterStatus(Parameter.Name, Parameter.Value);
}

void CallerSession::failConnection(const char *SqlState,
                                   const std::string &Message) {
  close(makeRefusal(SqlState, Message));
}

void CallerSession::failBatch(const char *SqlState,
                              const std::string &Message) {
  writeError(makeRefusal(SqlState, Message), "ERROR");
  m_SkipToSync = true;
}

void CallerSession::writeError(const Refusal &Reason, const char *Severity) {
  wire::ErrorFields Fields;
  Fields.Severity = Severity;
  Fields.SqlState = Reason.SqlState;
  Fields.Message = Reason.Message;
  Fields.Hint = formatHint(Reason);
  if (Reason.Rule.Line != 0)
    Fields.Detail = "rule line " + std::to_string(Reason.Rule.Line) +
                    ", asked for by " + Reason.Rule.Author;
  writer().error(Fields);
}

void CallerSession::close(const Refusal &Reason) {
  if (m_Ended || m_CloseAfterWrite)
    return;
  writeError(Reason, "FATAL");
  m_CloseAfterWrite = true;
  flush();
}

void CallerSession::checkLimits(Instant Now) {
  Duration IdleTime = Now - m_LastProgress;
  const CallerLimits &Limits = m_Hooks.Limits;
  if (hasPendingOutput()) {
    if (IdleTime > Limits.WriteStall)
      end();
    return;
  }
  // After admission the decision thread enforces its own deadline.
  if (m_Admitted && m_AwaitingDecision)
    return;
  if (!m_Admitted && IdleTime > Limits.Login)
    return failConnection(sqlstate::InvalidAuthorization,
                          "the login timed out");
  if (m_Admitted && m_InTransaction && IdleTime > Limits.IdleInTransaction)
    return failConnection(IdleInTransactionTimeout,
                          "the transaction was idle for too long");
  if (m_Admitted && IdleTime > Limits.Idle)
    failConnection(IdleSessionTimeout, "the session was idle for too long");
}

void CallerSession::flush() {
  if (m_Ended || !m_Writing.empty())
    return;
  if (m_QueuedOutput.empty()) {
    if (m_CloseAfterWrite)
      end();
    return;
  }
  if (m_Admitted)
    m_LastProgress = steadyNow();
  std::swap(m_Writing, m_QueuedOutput);
  std::swap(m_WritingCredit, m_QueuedCredit);
  m_WriteOffset = 0;
  writeMore();
}

void CallerSession::writeMore() {
  m_Stream.writeSome(
      asio::buffer(m_Writing) + m_WriteOffset,
      [Self = shared_from_this()](std::error_code Fault, std::size_t Count) {
        if (Fault || Self->m_Ended)
          return Self->end();
        Self->onWritten(Count);
      });
}

void CallerSession::onWritten(std::size_t Count) {
  m_WriteOffset += Count;
  if (m_Admitted)
    m_LastProgress = steadyNow();
  if (m_WriteOffset < m_Writing.size())
    return writeMore();
  m_Writing.clear();
  if (m_Writing.capacity() > RetainedOutputBytes)
    m_Writing.shrink_to_fit();
  for (const PendingCredit &Entry : m_WritingCredit)
    (*Entry.OnDelivered)(Entry.Bytes);
  m_WritingCredit.clear();
  process();
}

void CallerSession::end() {
  if (m_Ended)
    return;
  m_Ended = true;
  m_Stream.close();
  // A running statement completes, but its rows are dropped. Their credit is
  // released, or the target link would stall.
  for (auto *List : {&m_WritingCredit, &m_QueuedCredit}) {
    for (const PendingCredit &Entry : *List)
      (*Entry.OnDelivered)(Entry.Bytes);
    List->clear();
  }
  m_Hooks.OnEnded(m_Id);
}

wire::TransactionStatus CallerSession::status() const {
  if (m_TransactionFailed)
    return wire::TransactionStatus::FailedTransaction;
  return m_InTransaction ? wire::TransactionStatus::Open
                         : wire::TransactionStatus::Idle;
}

} // namespace bergamotstage::runtime
