#include "standin/TargetSession.h"

#include <utility>

namespace bergamotstage::standin {
namespace {

constexpr Duration RetryInterval = milliseconds(1);
constexpr Duration FrozenRetryInterval = milliseconds(5);

wire::ErrorFields errorFields(std::string SqlState, std::string Message) {
  wire::ErrorFields Fields;
  Fields.SqlState = std::move(SqlState);
  Fields.Message = std::move(Message);
  return Fields;
}

} // namespace

TargetSession::TargetSession(asio::ip::tcp::socket Socket,
                             std::shared_ptr<SharedGroup> Shared,
                             TargetId Target, std::uint64_t Number)
    : m_Socket(std::move(Socket)), m_Timer(m_Socket.get_executor()),
      m_Shared(std::move(Shared)), m_Target(std::move(Target)) {
  m_Session.Number = Number;
}

TargetSession::~TargetSession() {
  std::lock_guard<std::mutex> Guard(m_Shared->Lock);
  m_Shared->State.find(m_Target)->State.closeSession(m_Session);
}

void TargetSession::start() { read(); }

void TargetSession::read() {
  m_Socket.async_read_some(
      asio::buffer(m_Input),
      [Self = shared_from_this()](std::error_code Error, std::size_t Count) {
        if (Error) {
          Self->m_Closed = true;
          return;
        }
        Self->m_Reader.feed({Self->m_Input.data(), Count});
        Self->process();
        if (!Self->m_Closed)
          Self->read();
      });
}

bool TargetSession::isFrozen() {
  std::lock_guard<std::mutex> Guard(m_Shared->Lock);
  return m_Shared->State.find(m_Target)->Frozen;
}

void TargetSession::retryAfterFreeze(std::function<void()> Then) {
  m_Blocked = true;
  m_Timer.expires_after(FrozenRetryInterval);
  m_Timer.async_wait([Self = shared_from_this(),
                      Then = std::move(Then)](std::error_code Error) {
    if (Error || Self->m_Closed)
      return;
    Self->m_Blocked = false;
    Then();
  });
}

void TargetSession::process() {
  if (!m_Blocked && isFrozen())
    return retryAfterFreeze([this] { process(); });
  while (!m_Blocked && !m_Closed) {
    auto Message = m_Reader.next();
    if (!Message) {
      m_Closed = true;
      break;
    }
    if (!*Message)
      break;
    handle(**Message);
  }
  flush();
}

void TargetSession::handle(const wire::FrontendMessage &Message) {
  bool IsSync = std::holds_alternative<wire::Sync>(Message);
  if (m_SkipToSync && !IsSync)
    return;
  struct Visitor {
    TargetSession &Self;
    void operator()(const wire::Startup &) { Self.sendStartupReply(); }
    void operator()(const wire::SslRequest &) { Self.m_Out += 'N'; }
    void operator()(const wire::GssRequest &) { Self.m_Out += 'N'; }
    void operator()(const wire::CancelRequest &) { Self.m_Closed = true; }
    void operator()(const wire::Password &) {}
    void operator()(const wire::Query &Query) {
      Self.runText(Query.Text, {}, true, true);
    }
    void operator()(const wire::Parse &Parse) {
      Self.m_Prepared[Parse.Name] = Parse.Text;
      Self.writer().parseComplete();
    }
    void operator()(const wire::Bind &Bind) {
      Self.m_Portals[Bind.Portal] = {Self.m_Prepared[Bind.Statement],
                                     Bind.Values, false};
      Self.writer().bindComplete();
    }
    void operator()(const wire::Describe &Describe) {
      if (Describe.Kind == 'P')
        Self.m_Portals[Describe.Name].Described = true;
      else
        Self.describeStatement(Describe.Name);
    }
    void operator()(const wire::Execute &Execute) {
      const Portal &Bound = Self.m_Portals[Execute.Portal];
      Self.runText(Bound.Text, Bound.Values, Bound.Described, false);
    }
    void operator()(const wire::Close &) { Self.writer().closeComplete(); }
    void operator()(const wire::Sync &) {
      Self.m_SkipToSync = false;
      Self.sendReady();
    }
    void operator()(const wire::Flush &) {}
    void operator()(const wire::Terminate &) { Self.m_Closed = true; }
    void operator()(const wire::Unsupported &) { Self.m_Closed = true; }
  };
  std::visit(Visitor{*this}, Message);
}

void TargetSession::sendStartupReply() {
  writer().authenticationOk();
  writer().parameterStatus("server_version", "15.0");
  writer().parameterStatus("client_encoding", "UTF8");
  writer().parameterStatus("standard_conforming_strings", "on");
  reportPosition();
  writer().backendKeyData(static_cast<std::uint32_t>(m_Session.Number), 0);
  sendReady();
}

void TargetSession::runText(
    const std::string &Text,
    const std::vector<std::optional<std::string>> &Values, bool Describe,
    bool Simple) {
  auto Statement = parseSql(Text, Values);
  if (Statement)
    return tryExecute(*Statement, Describe, Simple);
  SqlResult Result;
  Result.SqlState = "42601";
  Result.Message = Statement.error();
  m_Session.Failed = m_Session.InTransaction;
  finish(Result, Describe, Simple);
}

void TargetSession::tryExecute(const Sql &Statement, bool Describe,
                               bool Simple) {
  std::optional<SqlResult> Result;
  {
    std::lock_guard<std::mutex> Guard(m_Shared->Lock);
    Group::Member *Member = m_Shared->State.find(m_Target);
    Result = Member->State.execute(m_Session, Statement, readClock());
  }
  bool Immediate = Result && Result->ExecutionTime == Duration(0);
  if (Immediate)
    return finish(*Result, Describe, Simple);
  m_Blocked = true;
  m_Timer.expires_after(Result ? Result->ExecutionTime : RetryInterval);
  m_Timer.async_wait([Self = shared_from_this(), Statement, Describe, Simple,
                      Result](std::error_code Error) {
    if (Error || Self->m_Closed)
      return;
    Self->resume(Statement, Describe, Simple, Result);
  });
}

void TargetSession::resume(const Sql &Statement, bool Describe, bool Simple,
                           const std::optional<SqlResult> &Result) {
  if (isFrozen())
    return retryAfterFreeze(
        [=] { resume(Statement, Describe, Simple, Result); });
  m_Blocked = false;
  if (Result)
    finish(*Result, Describe, Simple);
  else
    tryExecute(Statement, Describe, Simple);
  if (!m_Blocked)
    process();
}

void TargetSession::finish(const SqlResult &Result, bool Describe,
                           bool Simple) {
  writeResult(Result, Describe, Simple);
  reportPosition();
  if (Simple)
    sendReady();
  else
    m_SkipToSync = !Result.SqlState.empty();
}

void TargetSession::writeResult(const SqlResult &Result, bool Describe,
                                bool Simple) {
  if (!Result.SqlState.empty()) {
    writer().error(errorFields(Result.SqlState, Result.Message));
    return;
  }
  if (Describe && !Result.Columns.empty()) {
    std::vector<wire::Column> Columns;
    for (const std::string &Name : Result.Columns)
      Columns.push_back(wire::Column{Name});
    writer().rowDescription(Columns);
  } else if (Describe && !Simple) {
    writer().noData();
  }
  for (const auto &Row : Result.Rows)
    writer().dataRow({Row.begin(), Row.end()});
  writer().commandComplete(Result.Tag);
}

void TargetSession::describeStatement(const std::string &Name) {
  std::size_t Count = 0;
  const std::string &Text = m_Prepared[Name];
  for (char Letter : Text)
    Count += Letter == '$' ? 1 : 0;
  constexpr std::uint32_t TextType = 25;
  writer().parameterDescription(std::vector<std::uint32_t>(Count, TextType));
  auto Statement =
      parseSql(Text, std::vector<std::optional<std::string>>(Count, "0"));
  const Select *Query = Statement ? std::get_if<Select>(&*Statement) : nullptr;
  if (Query == nullptr)
    return writer().noData();
  if (Query->Projection == "*")
    writer().rowDescription({wire::Column{"key"}, wire::Column{"value"}});
  else
    writer().rowDescription({wire::Column{Query->Projection}});
}

void TargetSession::reportPosition() {
  HistoryPoint Point;
  {
    std::lock_guard<std::mutex> Guard(m_Shared->Lock);
    Point = m_Shared->State.find(m_Target)->State.replayed();
  }
  writer().parameterStatus("group_term", std::to_string(Point.AtTerm.value()));
  writer().parameterStatus("group_position",
                           std::to_string(Point.Position.value()));
}

void TargetSession::sendReady() {
  auto Status = wire::TransactionStatus::Idle;
  if (m_Session.Failed)
    Status = wire::TransactionStatus::FailedTransaction;
  else if (m_Session.InTransaction)
    Status = wire::TransactionStatus::Open;
  writer().readyForQuery(Status);
}

void TargetSession::flush() {
  if (!m_Writing.empty() || m_Out.empty())
    return;
  std::swap(m_Writing, m_Out);
  asio::async_write(
      m_Socket, asio::buffer(m_Writing),
      [Self = shared_from_this()](std::error_code Error, std::size_t) {
        Self->m_Writing.clear();
        if (Error)
          Self->m_Closed = true;
        else
          Self->flush();
      });
}

} // namespace bergamotstage::standin
