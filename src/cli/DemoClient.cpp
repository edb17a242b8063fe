#include "cli/DemoClient.h"

#include <libpq-fe.h>

namespace bergamotstage::cli {
namespace {

PGconn *raw(void *Connection) { return static_cast<PGconn *>(Connection); }

std::string field(const PGresult *Result, int Code) {
  const char *Value = PQresultErrorField(Result, Code);
  return Value == nullptr ? "" : Value;
}

void keepNotice(void *Notices, const PGresult *Result) {
  auto &All = *static_cast<std::string *>(Notices);
  const char *Text = PQresultErrorField(Result, PG_DIAG_MESSAGE_PRIMARY);
  if (Text == nullptr)
    return;
  All += All.empty() ? "" : " ";
  All += Text;
}

std::string optionsText(const std::map<std::string, std::string> &Settings) {
  std::string Text;
  for (const auto &[Name, Value] : Settings)
    Text.append(Text.empty() ? "-c" : " -c")
        .append(Name)
        .append("=")
        .append(Value);
  return Text;
}

} // namespace

void DemoClient::Deleter::operator()(void *Connection) const {
  PQfinish(raw(Connection));
}

tl::expected<DemoClient, std::string>
DemoClient::connect(const ClientLogin &Login) {
  std::size_t Colon = Login.Address.rfind(':');
  std::string Host = Login.Address.substr(0, Colon);
  std::string Port = Login.Address.substr(Colon + 1);
  std::string Options = optionsText(Login.Settings);
  const char *Names[] = {"hostaddr", "port",    "user",       "password",
                         "dbname",   "options", "gssencmode", "connect_timeout",
                         nullptr};
  const char *Values[] = {Host.c_str(),
                          Port.c_str(),
                          Login.Account.c_str(),
                          Login.Key.c_str(),
                          Login.Route.c_str(),
                          Options.c_str(),
                          "disable",
                          "10",
                          nullptr};
  DemoClient Made;
  Made.m_Connection.reset(PQconnectdbParams(Names, Values, 0));
  PGconn *Connection = raw(Made.m_Connection.get());
  if (PQstatus(Connection) != CONNECTION_OK)
    return tl::make_unexpected(std::string(PQerrorMessage(Connection)));
  Made.m_Notices = std::make_unique<std::string>();
  PQsetNoticeReceiver(Connection, keepNotice, Made.m_Notices.get());
  return Made;
}

ClientAnswer DemoClient::run(const std::string &Text) {
  ClientAnswer Answer;
  m_Notices->clear();
  PGresult *Result = PQexec(raw(m_Connection.get()), Text.c_str());
  ExecStatusType Status = PQresultStatus(Result);
  if (Status != PGRES_TUPLES_OK && Status != PGRES_COMMAND_OK) {
    Answer.SqlState = field(Result, PG_DIAG_SQLSTATE);
    Answer.Message = field(Result, PG_DIAG_MESSAGE_PRIMARY);
    Answer.Hint = field(Result, PG_DIAG_MESSAGE_HINT);
    Answer.Detail = field(Result, PG_DIAG_MESSAGE_DETAIL);
    if (Answer.SqlState.empty()) {
      Answer.SqlState = "08006";
      Answer.Message = PQerrorMessage(raw(m_Connection.get()));
    }
  }
  for (int Row = 0; Row < PQntuples(Result); ++Row) {
    Answer.Rows.emplace_back();
    for (int At = 0; At < PQnfields(Result); ++At)
      Answer.Rows.back().emplace_back(PQgetvalue(Result, Row, At));
  }
  PQclear(Result);
  return Answer;
}

std::string DemoClient::token() const {
  const char *Value =
      PQparameterStatus(raw(m_Connection.get()), "bergamotstage.session");
  return Value == nullptr ? "" : Value;
}

} // namespace bergamotstage::cli
