// Handlers of the frontend messages of a caller's session.

#include "runtime/StartupOptions.h"
#include "runtime/callers/CallerSession.h"

#include <algorithm>
#include <utility>

namespace bergamotstage::runtime {
namespace {

const char *const UnknownStatement = "26000";
const char *const UnknownPortal = "34000";
const char *const DuplicateStatement = "42P05";
constexpr std::size_t MaxPortals = 100;

template <class... Kinds> bool isOneOf(const wire::FrontendMessage &Message) {
  return (std::holds_alternative<Kinds>(Message) || ...);
}

/// @brief Returns whether a statement has neither rows nor parameters.
bool hasNoColumns(const std::string &Text) {
  StatementKind Kind = classifyStatement(Text);
  return Kind != StatementKind::Read && Kind != StatementKind::Write;
}

/// @brief Removes the first of several protocol messages.
std::string_view withoutFirstMessage(std::string_view Messages) {
  constexpr std::size_t TypeBytes = 1;
  constexpr std::size_t HeaderBytes = 5;
  if (Messages.size() < HeaderBytes)
    return {};
  std::size_t Length = 0;
  for (std::size_t At = TypeBytes; At < HeaderBytes; ++At)
    Length = (Length << 8U) | static_cast<unsigned char>(Messages[At]);
  return Messages.substr(std::min(TypeBytes + Length, Messages.size()));
}

} // namespace

struct CallerSession::MessageHandler {
  CallerSession &Session;

  void operator()(wire::Startup &M) { Session.startup(M); }
  void operator()(wire::SslRequest &) { Session.offerTls(); }
  void operator()(wire::GssRequest &) { Session.m_QueuedOutput += 'N'; }
  void operator()(wire::CancelRequest &M) {
    Session.m_Hooks.OnCancel(M);
    Session.end();
  }
  void operator()(wire::Password &M) { Session.password(std::move(M)); }
  void operator()(wire::Query &M) { Session.query(std::move(M)); }
  void operator()(wire::Parse &M) { Session.parse(std::move(M)); }
  void operator()(wire::Bind &M) { Session.bind(std::move(M)); }
  void operator()(wire::Describe &M) { Session.describe(M); }
  void operator()(wire::Execute &M) { Session.execute(M); }
  void operator()(wire::Close &M) {
    if (M.Kind == 'S')
      Session.m_Prepared.erase(M.Name);
    else
      Session.m_Portals.erase(M.Name);
    Session.writer().closeComplete();
  }
  void operator()(wire::Sync &) { Session.sync(); }
  void operator()(wire::Flush &) {}
  void operator()(wire::Terminate &) { Session.end(); }
  void operator()(wire::Unsupported &M) { Session.rejectUnsupported(M.Type); }
};

void CallerSession::handle(wire::FrontendMessage &&Message) {
  bool EndsSkipping = isOneOf<wire::Sync, wire::Terminate>(Message);
  if (m_SkipToSync && !EndsSkipping)
    return;
  if (!isAllowed(Message))
    return failConnection(sqlstate::ProtocolViolation,
                          "message received before the session was ready");
  std::visit(MessageHandler{*this}, Message);
}

bool CallerSession::isAllowed(const wire::FrontendMessage &Message) const {
  return m_Admitted ||
         isOneOf<wire::Startup, wire::SslRequest, wire::GssRequest,
                 wire::CancelRequest, wire::Password, wire::Terminate>(Message);
}

void CallerSession::offerTls() {
  if (m_Hooks.Tls == nullptr || m_Stream.isEncrypted()) {
    m_QueuedOutput += 'N';
    return;
  }
  // Bytes received in plain text must not be treated as protected by TLS.
  if (m_Reader.bufferedBytes() != 0)
    return failConnection(sqlstate::ProtocolViolation,
                          "data received before the TLS handshake");
  m_AwaitingDecision = true;
  m_Stream.writeSome(asio::buffer("S", 1), [Self = shared_from_this()](
                                               std::error_code Fault,
                                               std::size_t) {
    if (Fault || Self->m_Ended)
      return Self->end();
    Self->m_Stream.startTls(*Self->m_Hooks.Tls, [Self](std::error_code Error) {
      if (Error || Self->m_Ended)
        return Self->end();
      Self->m_AwaitingDecision = false;
      Self->process();
    });
  });
}

void CallerSession::startup(const wire::Startup &Message) {
  if (m_Hooks.Mode == TlsMode::Required && !m_Stream.isEncrypted())
    return failConnection(sqlstate::InvalidAuthorization,
                          "connections without TLS are not accepted");
  m_Opening = parseStartup(m_Id, Message);
  openSession(std::nullopt);
}

void CallerSession::password(wire::Password &&Message) {
  if (!m_AwaitingKey)
    return failConnection(sqlstate::ProtocolViolation,
                          "unexpected password message");
  m_AwaitingKey = false;
  openSession(std::move(Message.Text));
}

void CallerSession::query(wire::Query &&Message) {
  auto Body = std::make_shared<StatementBody>();
  Body->Text = std::move(Message.Text);
  m_BatchHasWrite = false;
  submit(std::move(Body), RequestKind::SimpleQuery);
}

void CallerSession::parse(wire::Parse &&Message) {
  if (!Message.Name.empty() && m_Prepared.contains(Message.Name))
    return failBatch(DuplicateStatement, "prepared statement \"" +
                                             Message.Name +
                                             "\" already exists");
  if (!m_Prepared.add(std::move(Message)))
    return failBatch(sqlstate::ProgramLimitExceeded,
                     "too many or too large prepared statements");
  writer().parseComplete();
}

void CallerSession::bind(wire::Bind &&Message) {
  const PreparedStatement *Found = m_Prepared.find(Message.Statement);
  if (Found == nullptr)
    return failBatch(UnknownStatement, "no such prepared statement \"" +
                                           Message.Statement + "\"");
  const auto &Formats = Message.ResultFormats;
  bool Mixed = std::any_of(Formats.begin(), Formats.end(), [&](auto Format) {
    return Format != Formats.front();
  });
  if (Mixed)
    return failBatch(sqlstate::FeatureNotSupported,
                     "mixed result formats are not supported");
  if (m_Portals.size() >= MaxPortals && m_Portals.count(Message.Portal) == 0)
    return failBatch(sqlstate::ProgramLimitExceeded, "too many portals");
  auto Body = std::make_shared<StatementBody>(*Found->Body);
  Body->ParameterFormats = std::move(Message.ParameterFormats);
  Body->Values = std::move(Message.Values);
  Body->ResultFormat = Formats.empty() ? std::int16_t{0} : Formats.front();
  m_Portals[Message.Portal] = {std::move(Body), false};
  writer().bindComplete();
}

void CallerSession::describe(const wire::Describe &Message) {
  if (Message.Kind == 'S')
    return describeStatement(Message.Name);
  auto Found = m_Portals.find(Message.Name);
  if (Found == m_Portals.end())
    return failBatch(UnknownPortal, "no such portal \"" + Message.Name + "\"");
  // The columns are sent with the rows if the portal is executed next.
  Found->second.Described = true;
  m_DescribedPortal = Message.Name;
}

void CallerSession::describeStatement(const std::string &Name) {
  const PreparedStatement *Found = m_Prepared.find(Name);
  if (Found == nullptr)
    return failBatch(UnknownStatement,
                     "no such prepared statement \"" + Name + "\"");
  if (!Found->Description.empty()) {
    m_QueuedOutput += Found->Description;
    return;
  }
  if (hasNoColumns(Found->Body->Text)) {
    writer().parameterDescription({});
    writer().noData();
    return;
  }
  auto Body = std::make_shared<StatementBody>(*Found->Body);
  Body->DescribeOnly = true;
  m_DescribedStatement = Name;
  m_DescribingPortal = false;
  submit(std::move(Body), RequestKind::Describe);
}

void CallerSession::describePortal(const std::string &Name) {
  auto Found = m_Portals.find(Name);
  if (Found == m_Portals.end())
    return;
  if (hasNoColumns(Found->second.Body->Text))
    return writer().noData();
  auto Body = std::make_shared<StatementBody>(*Found->second.Body);
  Body->DescribeOnly = true;
  m_DescribingPortal = true;
  submit(std::move(Body), RequestKind::Describe);
}

void CallerSession::appendDescription(std::string &&Bytes) {
  if (m_DescribingPortal) {
    m_QueuedOutput += withoutFirstMessage(Bytes);
    return;
  }
  m_QueuedOutput += Bytes;
  m_Prepared.cacheDescription(m_DescribedStatement, std::move(Bytes));
}

void CallerSession::execute(const wire::Execute &Message) {
  auto Found = m_Portals.find(Message.Portal);
  if (Found == m_Portals.end())
    return failBatch(UnknownPortal,
                     "no such portal \"" + Message.Portal + "\"");
  if (Message.MaxRows != 0)
    return failBatch(sqlstate::FeatureNotSupported,
                     "row limits on portals are not supported");
  if (m_BatchHasWrite)
    return failBatch(sqlstate::FeatureNotSupported,
                     "a batch that continues after a write needs a transaction "
                     "block");
  m_DescribedPortal.reset();
  bool Described = std::exchange(Found->second.Described, false);
  if (Described == Found->second.Body->WantColumns)
    return submit(Found->second.Body, RequestKind::Execute);
  auto Body = std::make_shared<StatementBody>(*Found->second.Body);
  Body->WantColumns = Described;
  submit(std::move(Body), RequestKind::Execute);
}

void CallerSession::writeCompletion(const AnswerStatement &Answer) {
  writeNotice(Answer.Notice);
  if (m_RequestKind == RequestKind::Describe)
    return;
  bool Extended = m_RequestKind == RequestKind::Execute;
  if (Extended && m_Body->WantColumns && m_ChunksReceived == 0)
    writer().noData();
  if (Extended && !m_InTransaction &&
      classifyStatement(m_Body->Text) == StatementKind::Write)
    m_BatchHasWrite = true;
  if (Answer.Tag.empty())
    writer().emptyQueryResponse();
  else
    writer().commandComplete(Answer.Tag);
}

void CallerSession::sync() {
  if (m_DescribedPortal && !m_SkipToSync) {
    std::string Name = std::move(*m_DescribedPortal);
    m_DescribedPortal.reset();
    m_SyncAfterAnswer = true;
    describePortal(Name);
    if (m_Statement)
      return;
  }
  m_SyncAfterAnswer = false;
  m_SkipToSync = false;
  m_BatchHasWrite = false;
  m_DescribedPortal.reset();
  m_Portals.clear();
  writer().readyForQuery(status());
}

void CallerSession::rejectUnsupported(char Type) {
  constexpr char FunctionCall = 'F';
  constexpr std::string_view CopyMessages = "dcf";
  if (CopyMessages.find(Type) != std::string_view::npos)
    return; // COPY was rejected; data that the caller sent ahead is dropped.
  if (Type != FunctionCall)
    return failConnection(sqlstate::ProtocolViolation, "unknown message type");
  Refusal Reason;
  Reason.SqlState = sqlstate::FeatureNotSupported;
  Reason.Message = "function calls are not supported";
  writeError(Reason, "ERROR");
  writer().readyForQuery(status());
}

} // namespace bergamotstage::runtime
