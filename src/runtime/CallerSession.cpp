#include "runtime/CallerSession.h"

#include <utility>

namespace bergamotstage::runtime {
namespace {

constexpr std::size_t MaxPreparedStatements = 200;
const char *const SettingPrefix = "bergamotstage.";

std::string hintOf(const Refusal &Reason) {
  std::string Hint = runStateName(Reason.State);
  if (Reason.RetryAfter)
    Hint += "; retry after " +
            std::to_string(
                std::chrono::duration_cast<milliseconds>(*Reason.RetryAfter)
                    .count()) +
            " ms";
  return Hint;
}

/// @brief Settings from the start-up packet and from its `options` string.
std::map<std::string, std::string> ownSettings(const wire::Startup &Message) {
  std::map<std::string, std::string> Settings;
  for (const auto &[Name, Value] : Message.Parameters)
    if (Name.rfind(SettingPrefix, 0) == 0)
      Settings[Name] = Value;
  auto Options = Message.Parameters.find("options");
  if (Options == Message.Parameters.end())
    return Settings;
  std::string_view Rest = Options->second;
  while (!Rest.empty()) {
    std::size_t End = Rest.find(' ');
    std::string_view Word = Rest.substr(0, End);
    Rest = End == std::string_view::npos ? "" : Rest.substr(End + 1);
    if (Word.substr(0, 2) == "-c")
      Word.remove_prefix(2);
    std::size_t Equals = Word.find('=');
    if (Word.rfind(SettingPrefix, 0) == 0 && Equals != std::string_view::npos)
      Settings[std::string(Word.substr(0, Equals))] =
          std::string(Word.substr(Equals + 1));
  }
  return Settings;
}

} // namespace

CallerSession::CallerSession(asio::ip::tcp::socket Socket, CallerId Id,
                             SessionHooks Hooks)
    : m_Socket(std::move(Socket)), m_Id(Id), m_Hooks(std::move(Hooks)) {}

void CallerSession::start() { read(); }

void CallerSession::read() {
  if (m_Reading || m_Ended)
    return;
  m_Reading = true;
  m_Socket.async_read_some(
      asio::buffer(m_Input),
      [Self = shared_from_this()](std::error_code Fault, std::size_t Count) {
        Self->m_Reading = false;
        if (Fault)
          return Self->end();
        Self->m_Reader.feed({Self->m_Input.data(), Count});
        Self->process();
      });
}

void CallerSession::process() {
  while (!m_Waiting && !m_Ended && !m_CloseAfterWrite) {
    auto Message = m_Reader.next();
    if (!Message) {
      protocolError(sqlstate::ProtocolViolation, Message.error().Reason);
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

void CallerSession::handle(wire::FrontendMessage &&Message) {
  bool IsSync = std::holds_alternative<wire::Sync>(Message);
  if (m_SkipToSync && !IsSync)
    return;
  bool BeforeAdmission = std::holds_alternative<wire::Startup>(Message) ||
                         std::holds_alternative<wire::SslRequest>(Message) ||
                         std::holds_alternative<wire::GssRequest>(Message) ||
                         std::holds_alternative<wire::CancelRequest>(Message) ||
                         std::holds_alternative<wire::Password>(Message) ||
                         std::holds_alternative<wire::Terminate>(Message);
  if (!m_Admitted && !BeforeAdmission)
    return protocolError(sqlstate::ProtocolViolation,
                         "a message came before the connection was ready");
  struct Visitor {
    CallerSession &Self;
    void operator()(wire::Startup &M) { Self.startup(M); }
    void operator()(wire::SslRequest &) { Self.m_Out += 'N'; }
    void operator()(wire::GssRequest &) { Self.m_Out += 'N'; }
    void operator()(wire::CancelRequest &) { Self.end(); }
    void operator()(wire::Password &M) {
      if (!Self.m_AwaitingKey)
        return Self.protocolError(sqlstate::ProtocolViolation,
                                  "no password was asked for");
      Self.m_AwaitingKey = false;
      Self.openWith(std::move(M.Text));
    }
    void operator()(wire::Query &M) {
      auto Body = std::make_shared<StatementBody>();
      Body->Text = std::move(M.Text);
      Self.m_Extended = false;
      Self.submit(Body);
    }
    void operator()(wire::Parse &M) {
      if (Self.m_Prepared.size() >= MaxPreparedStatements &&
          Self.m_Prepared.count(M.Name) == 0)
        return Self.batchError(sqlstate::ProgramLimitExceeded,
                               "too many prepared statements");
      Self.m_Prepared[M.Name] = {std::move(M.Text),
                                 std::move(M.ParameterTypes)};
      Self.writer().parseComplete();
    }
    void operator()(wire::Bind &M) { Self.bind(std::move(M)); }
    void operator()(wire::Describe &M) {
      if (M.Kind == 'S')
        Self.batchError(sqlstate::FeatureNotSupported,
                        "describing a statement is not carried");
    }
    void operator()(wire::Execute &M) { Self.execute(M); }
    void operator()(wire::Close &M) {
      if (M.Kind == 'S')
        Self.m_Prepared.erase(M.Name);
      else
        Self.m_Portals.erase(M.Name);
      Self.writer().closeComplete();
    }
    void operator()(wire::Sync &) {
      Self.m_SkipToSync = false;
      Self.m_Portals.clear();
      Self.writer().readyForQuery(Self.status());
    }
    void operator()(wire::Flush &) {}
    void operator()(wire::Terminate &) { Self.end(); }
    void operator()(wire::Unsupported &) {
      Self.protocolError(sqlstate::ProtocolViolation, "unknown message type");
    }
  };
  std::visit(Visitor{*this}, Message);
}

void CallerSession::startup(const wire::Startup &Message) {
  auto Parameter = [&](const char *Name) {
    auto Found = Message.Parameters.find(Name);
    return Found == Message.Parameters.end() ? std::string() : Found->second;
  };
  CallerOpened Opening;
  Opening.Caller = m_Id;
  Opening.Account = AccountId(Parameter("user"));
  std::string Database = Parameter("database");
  Opening.Route = RouteId(Database.empty() ? Parameter("user") : Database);
  Opening.Settings = ownSettings(Message);
  m_Opening = std::move(Opening);
  openWith(std::nullopt);
}

void CallerSession::openWith(std::optional<std::string> Key) {
  CallerOpened Opening = *m_Opening;
  Opening.Key = std::move(Key);
  m_Waiting = true;
  if (!m_Hooks.Events(std::move(Opening)))
    protocolError(sqlstate::CannotConnectNow, "the proxy is overloaded");
}

void CallerSession::askForKey() {
  m_Waiting = false;
  m_AwaitingKey = true;
  writer().authenticationCleartextPassword();
  process();
}

void CallerSession::admit() {
  m_Waiting = false;
  m_Admitted = true;
  m_Opening.reset();
  writer().authenticationOk();
  writer().parameterStatus("server_version", "15.0");
  writer().parameterStatus("client_encoding", "UTF8");
  writer().parameterStatus("standard_conforming_strings", "on");
  writer().parameterStatus("bergamotstage.session", "");
  writer().backendKeyData(static_cast<std::uint32_t>(m_Id.value()), 0);
  writer().readyForQuery(wire::TransactionStatus::Idle);
  process();
}

void CallerSession::bind(wire::Bind &&Message) {
  auto Known = m_Prepared.find(Message.Statement);
  if (Known == m_Prepared.end())
    return batchError("26000", "no such prepared statement");
  auto Body = std::make_shared<StatementBody>();
  Body->Text = Known->second.Text;
  Body->Extended = true;
  Body->ParameterTypes = Known->second.Types;
  Body->ParameterFormats = std::move(Message.ParameterFormats);
  Body->Values = std::move(Message.Values);
  if (!Message.ResultFormats.empty())
    Body->ResultFormat = Message.ResultFormats.front();
  m_Portals[Message.Portal] = std::move(Body);
  writer().bindComplete();
}

void CallerSession::execute(const wire::Execute &Message) {
  auto Known = m_Portals.find(Message.Portal);
  if (Known == m_Portals.end())
    return batchError("34000", "no such portal");
  m_Extended = true;
  submit(Known->second);
}

void CallerSession::submit(SharedBody Body) {
  StatementArrived Arrived;
  Arrived.Caller = m_Id;
  Arrived.Statement = m_Hooks.NewStatement();
  Arrived.Body = std::move(Body);
  m_Statement = Arrived.Statement;
  m_ChunksTaken = 0;
  m_Waiting = true;
  if (m_Hooks.Events(std::move(Arrived)))
    return;
  AnswerStatement Answer;
  Answer.Statement = *m_Statement;
  Answer.InTransaction = m_InTransaction;
  Answer.TransactionFailed = m_TransactionFailed;
  Refusal Reason;
  Reason.SqlState = sqlstate::TooManyConnections;
  Reason.State = RunState::NotRun;
  Reason.Message = "the proxy is overloaded";
  Answer.Error = Reason;
  answer(std::move(Answer));
}

void CallerSession::rows(RowChunk &&Chunk) {
  if (m_Statement != Chunk.Statement)
    return;
  ++m_ChunksTaken;
  m_Out += Chunk.Bytes;
  if (m_Answer)
    finishAnswer();
  flush();
}

void CallerSession::answer(AnswerStatement Answer) {
  if (m_Statement != Answer.Statement)
    return;
  m_Answer = std::move(Answer);
  finishAnswer();
}

void CallerSession::finishAnswer() {
  if (m_ChunksTaken < m_Answer->Chunks)
    return;
  AnswerStatement Done = std::move(*m_Answer);
  m_Answer.reset();
  m_Statement.reset();
  m_Waiting = false;
  m_InTransaction = Done.InTransaction;
  m_TransactionFailed = Done.TransactionFailed;
  if (Done.Error && Done.Error->CloseConnection)
    return close(*Done.Error);
  if (Done.Error)
    writeError(*Done.Error, "ERROR");
  else if (Done.Tag.empty())
    writer().emptyQueryResponse();
  else
    writer().commandComplete(Done.Tag);
  if (!m_Extended)
    writer().readyForQuery(status());
  else
    m_SkipToSync = Done.Error.has_value();
  process();
}

void CallerSession::report(const ReportParameter &Parameter) {
  writer().parameterStatus(Parameter.Name, Parameter.Value);
}

void CallerSession::protocolError(const char *SqlState,
                                  const std::string &Message) {
  Refusal Reason;
  Reason.SqlState = SqlState;
  Reason.Message = Message;
  close(Reason);
}

void CallerSession::batchError(const char *SqlState,
                               const std::string &Message) {
  Refusal Reason;
  Reason.SqlState = SqlState;
  Reason.Message = Message;
  writeError(Reason, "ERROR");
  m_SkipToSync = true;
}

void CallerSession::writeError(const Refusal &Reason, const char *Severity) {
  wire::ErrorFields Fields;
  Fields.Severity = Severity;
  Fields.SqlState = Reason.SqlState;
  Fields.Message = Reason.Message;
  Fields.Hint = hintOf(Reason);
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

void CallerSession::flush() {
  if (m_Ended || !m_Writing.empty())
    return;
  if (m_Out.empty()) {
    if (m_CloseAfterWrite)
      end();
    return;
  }
  std::swap(m_Writing, m_Out);
  asio::async_write(
      m_Socket, asio::buffer(m_Writing),
      [Self = shared_from_this()](std::error_code Fault, std::size_t) {
        Self->m_Writing.clear();
        if (Fault)
          return Self->end();
        Self->flush();
      });
}

void CallerSession::end() {
  if (m_Ended)
    return;
  m_Ended = true;
  std::error_code Ignored;
  m_Socket.shutdown(asio::ip::tcp::socket::shutdown_both, Ignored);
  m_Socket.close(Ignored);
  m_Hooks.Ended(m_Id);
}

wire::TransactionStatus CallerSession::status() const {
  if (m_TransactionFailed)
    return wire::TransactionStatus::FailedTransaction;
  return m_InTransaction ? wire::TransactionStatus::Open
                         : wire::TransactionStatus::Idle;
}

} // namespace bergamotstage::runtime
