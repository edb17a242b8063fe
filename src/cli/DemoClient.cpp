#include "cli/DemoClient.h"

#include <libpq-fe.h>

namespace bergamotstage::cli {
namespace {

PGconn *asConnection(void *Connection) {
  return static_cast<PGconn *>(Connection);
}

std::string errorField(const PGresult *Result, int Code) {
  const char *Value = PQresultErrorField(Result, Code);
  return Value == nullptr ? "" : Value;
}

void appendNotice(void *Notices, const PGresult *Result) {
  auto &Joined = *static_cast<std::string *>(Notices);
  const char *Text = PQresultErrorField(Result, PG_DIAG_MESSAGE_PRIMARY);
  if (Text == nullptr)
    return;
  Joined += Joined.empty() ? "" : " ";
  Joined += Text;
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
  PQfinish(asConnection(Connection));
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
  DemoClient Client;
  Client.m_Connection.reset(PQconnectdbParams(Names, Values, 0));
  PGconn *Connection = asConnection(Client.m_Connection.get());
  if (PQstatus(Connection) != CONNECTION_OK)
    return tl::make_unexpected(std::string(PQerrorMessage(Connection)));
  Client.m_Notices = std::make_unique<std::string>();
  PQsetNoticeReceiver(Connection, appendNotice, Client.m_Notices.get());
  return Client;
}

ClientAnswer DemoClient::run(const std::string &Text) {
  ClientAnswer Answer;
  m_Notices->clear();
  PGresult *Result = PQexec(asConnection(m_Connection.get()), Text.c_str());
  ExecStatusType Status = PQresultStatus(Result);
  if (Status != PGRES_TUPLES_OK && Status != PGRES_COMMAND_OK) {
    Answer.SqlState = errorField(Result, PG_DIAG_SQLSTATE);
    Answer.Message = errorField(Result, PG_DIAG_MESSAGE_PRIMARY);
    Answer.Hint = errorField(Result, PG_DIAG_MESSAGE_HINT);
    Answer.Detail = errorField(Result, PG_DIAG_MESSAGE_DETAIL);
    if (Answer.SqlState.empty()) {
      Answer.SqlState = "08006";
      Answer.Message = PQerrorMessage(asConnection(m_Connection.get()));
    }
  }
  for (int Row = 0; Row < PQntuples(Result); ++Row) {
    Answer.Rows.emplace_back();
    for (int Column = 0; Column < PQnfields(Result); ++Column)
      Answer.Rows.back().emplace_back(PQgetvalue(Result, Row, Column));
  }
  PQclear(Result);
  return Answer;
}

std::string DemoClient::token() const {
  const char *Value = PQparameterStatus(asConnection(m_Connection.get()),
                                        "bergamotstage.session");
  return Value == nullptr ? "" : Value;
}

} // namespace bergamotstage::cli
