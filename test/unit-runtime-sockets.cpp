#include "bergamotstage/core/Outcome.h"
#include "standin/LocalSite.h"

#include <libpq-fe.h>

#include <algorithm>
#include <chrono>
#include <cstring>

#include <CppUTest/TestHarness.h>

using namespace bergamotstage;
using namespace bergamotstage::standin;

namespace {

constexpr auto WaitTimeout = std::chrono::seconds(20);
constexpr auto RetryInterval = std::chrono::milliseconds(20);

/// @brief An owned libpq result.
using Result = std::unique_ptr<PGresult, decltype(&PQclear)>;

Result makeResult(PGresult *Raw) { return {Raw, &PQclear}; }

/// @brief An owned libpq connection.
class Client {
public:
  /// @brief Connects; retries until the VM has received its rules.
  explicit Client(const std::string &Address) {
    auto Deadline = std::chrono::steady_clock::now() + WaitTimeout;
    do {
      PQfinish(m_Connection);
      m_Connection = PQconnectdb(Address.c_str());
      if (PQstatus(m_Connection) == CONNECTION_OK)
        break;
      std::this_thread::sleep_for(RetryInterval);
    } while (std::chrono::steady_clock::now() < Deadline);
    PQsetNoticeProcessor(
        m_Connection,
        [](void *Notices, const char *Message) {
          *static_cast<std::string *>(Notices) += Message;
        },
        &m_Notices);
  }
  ~Client() { PQfinish(m_Connection); }
  Client(const Client &) = delete;
  Client &operator=(const Client &) = delete;

  PGconn *get() { return m_Connection; }

  /// @brief Returns the connection's error and all messages that arrived while
  /// no statement ran, which libpq passes on as notices.
  std::string messages() const {
    return m_Notices + PQerrorMessage(m_Connection);
  }
  bool connected() const { return PQstatus(m_Connection) == CONNECTION_OK; }

  Result run(const std::string &Text) {
    return makeResult(PQexec(m_Connection, Text.c_str()));
  }

  /// @brief Retries a statement while it is rejected as not run.
  Result runWithRetry(const std::string &Text) {
    auto Deadline = std::chrono::steady_clock::now() + WaitTimeout;
    while (true) {
      Result Answer = run(Text);
      const char *Hint = PQresultErrorField(Answer.get(), PG_DIAG_MESSAGE_HINT);
      bool NotRun = Hint != nullptr && std::strncmp(Hint, "not run", 7) == 0;
      if (!NotRun || std::chrono::steady_clock::now() >= Deadline)
        return Answer;
      std::this_thread::sleep_for(RetryInterval);
    }
  }

private:
  PGconn *m_Connection = nullptr;
  std::string m_Notices;
};

std::unique_ptr<LocalSite> startSite(const LocalSiteOptions &Options = {}) {
  auto Site = LocalSite::start(Options);
  if (!Site)
    FAIL(Site.error().c_str());
  return std::move(*Site);
}

std::string sqlStateOf(const Result &Answer) {
  const char *State = PQresultErrorField(Answer.get(), PG_DIAG_SQLSTATE);
  return State == nullptr ? "" : State;
}

const char *const OfferPlot =
    "INSERT INTO offers VALUES ('plot-7', 'family-3')";
const char *const ReadPlot = "SELECT value FROM offers WHERE key = 'plot-7'";

} // namespace

TEST_GROUP(RuntimeSockets){};

TEST(RuntimeSockets, SessionTokenMakesWriteVisibleAtAnotherVm) {
  LocalSiteOptions Options;
  Options.Vms = 2;
  auto Site = startSite(Options);
  Client First(Site->callerAddress(0));
  CHECK(First.connected());
  Result Written = First.runWithRetry(OfferPlot);
  CHECK_EQUAL(PGRES_COMMAND_OK, PQresultStatus(Written.get()));
  std::string Token = PQparameterStatus(First.get(), "bergamotstage.session");
  CHECK(!Token.empty());
  Client Second(Site->callerAddress(1) +
                " options='-c bergamotstage.session=" + Token + "'");
  Result Read = Second.runWithRetry(ReadPlot);
  CHECK_EQUAL(1, PQntuples(Read.get()));
  STRCMP_EQUAL("family-3", PQgetvalue(Read.get(), 0, 0));
}

TEST(RuntimeSockets, PreparedStatementIsDescribedAndRun) {
  auto Site = startSite();
  Client Connection(Site->callerAddress(0));
  Connection.runWithRetry(OfferPlot);
  const char *Text = "SELECT value FROM offers WHERE key = $1";
  Result Prepared =
      makeResult(PQprepare(Connection.get(), "by-key", Text, 0, nullptr));
  CHECK_EQUAL(PGRES_COMMAND_OK, PQresultStatus(Prepared.get()));
  for (int Round = 0; Round < 2; ++Round) {
    Result Columns = makeResult(PQdescribePrepared(Connection.get(), "by-key"));
    CHECK_EQUAL(PGRES_COMMAND_OK, PQresultStatus(Columns.get()));
    CHECK_EQUAL(1, PQnparams(Columns.get()));
    STRCMP_EQUAL("value", PQfname(Columns.get(), 0));
  }
  const char *Key = "plot-7";
  Result Read = makeResult(
      PQexecPrepared(Connection.get(), "by-key", 1, &Key, nullptr, nullptr, 0));
  CHECK_EQUAL(1, PQntuples(Read.get()));
  Result Again =
      makeResult(PQprepare(Connection.get(), "by-key", Text, 0, nullptr));
  STRCMP_EQUAL("42P05", sqlStateOf(Again).c_str());
}

TEST(RuntimeSockets, TransactionBlockSeesItsWritesAndRollsThemBack) {
  auto Site = startSite();
  Client Connection(Site->callerAddress(0));
  Connection.runWithRetry("BEGIN");
  CHECK_EQUAL(PQTRANS_INTRANS, PQtransactionStatus(Connection.get()));
  Connection.run(OfferPlot);
  CHECK_EQUAL(1, PQntuples(Connection.run(ReadPlot).get()));
  Connection.run("ROLLBACK");
  CHECK_EQUAL(0, PQntuples(Connection.run(ReadPlot).get()));
}

TEST(RuntimeSockets, CopyAndWrongKeyAreRejected) {
  auto Site = startSite();
  Client Connection(Site->callerAddress(0));
  Result Copied = Connection.run("COPY offers FROM STDIN");
  STRCMP_EQUAL(sqlstate::FeatureNotSupported, sqlStateOf(Copied).c_str());
  CHECK(Connection.connected());
  std::string Wrong = Site->callerAddress(0);
  Wrong.replace(Wrong.find("demo-key"), 8, "mistyped");
  PGconn *Refused = PQconnectdb(Wrong.c_str());
  CHECK_EQUAL(CONNECTION_BAD, PQstatus(Refused));
  CHECK(std::strstr(PQerrorMessage(Refused), "the key is not valid") !=
        nullptr);
  PQfinish(Refused);
}

TEST(RuntimeSockets, SlowReaderDoesNotDelayOtherCallers) {
  auto Site = startSite();
  Client Slow(Site->callerAddress(0));
  std::string Wide(100000, 'w');
  for (int Row = 0; Row < 40; ++Row)
    Slow.runWithRetry("INSERT INTO wide VALUES ('row-" + std::to_string(Row) +
                      "', '" + Wide + "')");
  // The answer exceeds both socket buffers and the credit window.
  CHECK_EQUAL(1, PQsendQuery(Slow.get(), "SELECT value FROM wide"));
  Client Other(Site->callerAddress(0));
  for (int Round = 0; Round < 5; ++Round)
    CHECK_EQUAL(PGRES_TUPLES_OK,
                PQresultStatus(Other.runWithRetry(ReadPlot).get()));
  Result All = makeResult(PQgetResult(Slow.get()));
  CHECK_EQUAL(40, PQntuples(All.get()));
}

TEST(RuntimeSockets, ConnectionsAboveTheLimitAreRefused) {
  LocalSiteOptions Options;
  Options.AdjustSettings = [](runtime::Settings &Config) {
    Config.Limits.MaxConnections = 1;
  };
  auto Site = startSite(Options);
  Client Only(Site->callerAddress(0));
  CHECK(Only.connected());
  PGconn *Second = PQconnectdb(Site->callerAddress(0).c_str());
  CHECK_EQUAL(CONNECTION_BAD, PQstatus(Second));
  PQfinish(Second);
  CHECK_EQUAL(PGRES_TUPLES_OK,
              PQresultStatus(Only.runWithRetry(ReadPlot).get()));
}

TEST(RuntimeSockets, ShutdownNotifiesIdleCallers) {
  auto Site = startSite();
  Client Connection(Site->callerAddress(0));
  CHECK(Site->daemon(0).requestShutdown());
  auto Deadline = std::chrono::steady_clock::now() + WaitTimeout;
  while (Connection.connected() &&
         std::chrono::steady_clock::now() < Deadline) {
    Connection.run(ReadPlot);
    std::this_thread::sleep_for(RetryInterval);
  }
  CHECK_TRUE(Connection.messages().find("shutting down") != std::string::npos);
}

TEST(RuntimeSockets, ShutdownNotifiesCallersThatReadLater) {
  auto Site = startSite();
  Client Connection(Site->callerAddress(0));
  CHECK(Site->daemon(0).requestShutdown());
  auto Deadline = std::chrono::steady_clock::now() + WaitTimeout;
  while (Connection.messages().find("shutting down") == std::string::npos &&
         std::chrono::steady_clock::now() < Deadline) {
    PQconsumeInput(Connection.get());
    PQisBusy(Connection.get()); // Parses the input.
    std::this_thread::sleep_for(RetryInterval);
  }
  CHECK_TRUE(Connection.messages().find("shutting down") != std::string::npos);
}
