#include "platform/BootSettings.h"
#include "platform/Documents.h"
#include "platform/LineCodec.h"
#include "platform/StoreCodec.h"

#include <CppUTest/TestHarness.h>

#include <random>
#include <string>
#include <variant>

using namespace bergamotstage;
using namespace bergamotstage::platform;
using pooling::ErrorCode;
using pooling::LinkRequest;
using pooling::SessionState;
using pooling::Statement;
using pooling::Verb;

namespace {

Statement statementOf(const std::string &Line) {
  CallerMessage Read = parseCallerLine(Line);
  CHECK_TRUE(std::holds_alternative<Statement>(Read));
  return std::get<Statement>(Read);
}

bool isFault(const std::string &Line) {
  return std::holds_alternative<CallerFault>(parseCallerLine(Line));
}

const char *const Boot = R"({
  "node_name": "frontend-1", "zone": "east", "ip": "10.1.0.26",
  "listen_addrs": {"frontend": "10.1.0.26:8465", "ready": "10.1.0.26:8460"},
  "internal_ports": [7560, 7575], "limits": {"cpu_share": 0.25, "cpu_cores": 2},
  "platform": {"address": "10.200.1.7:8466"},
  "cloud_api": {"address": "10.200.0.2:8466"}, "bounds": {"grace_s": 7},
  "new_field": {"nested": true}})";

const char *const Config = R"({"version": 7, "routes": [
  {"name": "r-1", "database": "db", "prefix": "/", "type": "bounded",
   "timeout_ms": 2000, "target_latency_ms": 500, "priority": 2,
   "service": "svc", "max_staleness_ms": 1500, "public": false},
  {"name": "r-2", "database": "pub", "type": "primary", "timeout_ms": 800,
   "target_latency_ms": 150, "priority": 1, "service": "svc",
   "public": true}],
  "services": [{"name": "svc", "max_connections": 23, "sync_replicas": 0}],
  "limits": {"tx_idle_ms": 2500},
  "tenants": [{"name": "ten", "api_keys": ["k1", "k2"], "rate_per_s": 117,
               "burst": 50}]})";

const char *const Entry = R"({"service": "svc", "address": "10.128.0.9:8080",
  "zone": "east", "version": "v1", "capacity": 3, "state": "ready",
  "cold_remaining_ms": 0, "db_role": "replica", "sequence": 4,
  "born": 1788967659047})";

std::string replaced(std::string Text, const std::string &From,
                     const std::string &To) {
  Text.replace(Text.find(From), From.size(), To);
  return Text;
}

} // namespace

TEST_GROUP(LineCodec){};

TEST(LineCodec, SplitsAtCrLfOnly) {
  LineSplitter Lines;
  Lines.append("one\r\ntw");
  CHECK_EQUAL("one", *Lines.next());
  CHECK_FALSE(Lines.next().has_value());
  Lines.append("o\r");
  CHECK_FALSE(Lines.next().has_value());
  Lines.append("\nthree\nmore\r\n");
  CHECK_EQUAL("two", *Lines.next());
  CHECK_EQUAL("three\nmore", *Lines.next());
}

TEST(LineCodec, ALineAboveTheLimitOverflows) {
  LineSplitter Lines;
  Lines.append(std::string(MaxLineBytes + 2, 'x'));
  CHECK_FALSE(Lines.next().has_value());
  CHECK_TRUE(Lines.isOverflowed());
}

TEST(LineCodec, ReadsTheStartOfASession) {
  CallerMessage Read = parseCallerLine("START lepu270 u3f1");
  CHECK_EQUAL("lepu270", std::get<CallerStart>(Read).Database);
  CHECK_EQUAL("u3f1", std::get<CallerStart>(Read).Key);
}

TEST(LineCodec, ClassifiesStatements) {
  CHECK_TRUE(statementOf("QUERY i BEGIN").Kind == Verb::Begin);
  CHECK_TRUE(statementOf("QUERY i BEGIN READ").Kind == Verb::BeginReadOnly);
  CHECK_TRUE(statementOf("QUERY i COMMIT").Kind == Verb::Commit);
  CHECK_TRUE(statementOf("QUERY i ROLLBACK").Kind == Verb::Rollback);
  CHECK_TRUE(statementOf("QUERY i READ 1a4").Kind == Verb::Read);
  CHECK_TRUE(statementOf("QUERY i WRITE 1a4 x y").Kind == Verb::Write);
  Statement Set = statementOf("QUERY i SET name two words");
  CHECK_TRUE(Set.Kind == Verb::SetValue);
  CHECK_EQUAL("name", Set.Name);
  CHECK_EQUAL("two words", Set.Value);
  Statement Prepare = statementOf("QUERY i PREPARE s1 WRITE q2c");
  CHECK_TRUE(Prepare.Prepared.Writes);
  CHECK_EQUAL("q2c", Prepare.Prepared.Text);
  Statement Execute = statementOf("QUERY i EXECUTE s1 1a4 data");
  CHECK_EQUAL("s1", Execute.Name);
  CHECK_EQUAL("1a4 data", Execute.Arguments);
  CHECK_TRUE(statementOf("QUERY i DEALLOC s1").Kind == Verb::Deallocate);
}

TEST(LineCodec, RejectsControlRequestsOfCallers) {
  for (const char *Text :
       {"AFTER 3.1 READ a", "RESET", "STATUS", "PAUSE 4", "RESUME",
        "STEPDOWN 4", "begin", "READ", "", "BEGIN  READ", "PREPARE s FOO q"})
    CHECK_TRUE(statementOf(std::string("QUERY i ") + Text).Kind ==
               Verb::Unknown);
}

TEST(LineCodec, RejectsInjectedLines) {
  CHECK_TRUE(isFault("QUERY i READ a\nQUERY j WRITE b c"));
  CHECK_TRUE(isFault("QUERY i READ a\rQUERY j WRITE b c"));
  CHECK_TRUE(isFault("QUERY - STATUS"));
  CHECK_TRUE(isFault("GET / HTTP/1.1"));
  CHECK_TRUE(isFault(""));
}

TEST(LineCodec, RepliesEndWithStateAndPosition) {
  pooling::CallerReply Reply;
  Reply.Rows = {"a row"};
  Reply.Signature = "sig";
  Reply.State = SessionState::InTransaction;
  Reply.Position = HistoryPoint{Term(3), LogPosition(9)};
  CHECK_EQUAL("ROW a row\r\nCOMPLETE sig\r\nREADY T 3.9\r\n",
              encodeReply(Reply));
  pooling::CallerReply Failed;
  Failed.Error = ErrorCode::OutcomeUnknown;
  Failed.ErrorText = "why";
  CHECK_EQUAL("ERROR UNKNOWN why\r\nREADY I -\r\n", encodeReply(Failed));
  pooling::CallerReply Greeting;
  Greeting.Greeting = true;
  CHECK_EQUAL("READY I -\r\n", encodeReply(Greeting));
}

TEST(LineCodec, RequestsKeepTheCallersTextAndId) {
  LinkRequest Request;
  Request.Stmt = statementOf("QUERY 5c0e READ 1a4");
  Request.After = HistoryPoint{Term(3), LogPosition(1207)};
  CHECK_EQUAL("QUERY 5c0e AFTER 3.1207 READ 1a4\r\n",
              encodeLinkRequest(Request));
  LinkRequest Execute;
  Execute.Stmt = statementOf("QUERY 5c0e EXECUTE mine 1a4 data here");
  Execute.Name = "p1";
  CHECK_EQUAL("QUERY 5c0e EXECUTE p1 1a4 data here\r\n",
              encodeLinkRequest(Execute));
  LinkRequest Own;
  Own.Type = LinkRequest::Kind::StepDown;
  Own.AtTerm = Term(4);
  CHECK_EQUAL("QUERY - STEPDOWN 4\r\n", encodeLinkRequest(Own));
}

TEST(LineCodec, ReadsRepliesOfTargets) {
  LinkReplyReader Reader;
  CHECK_TRUE(Reader.addLine("READY I 3.1207") ==
             LinkReplyReader::Progress::Complete);
  CHECK_TRUE(Reader.takeReply().Position->Position == LogPosition(1207));
  Reader.addLine("ROW replica 3 3.1209 0 12 2 17");
  Reader.addLine("COMPLETE -");
  CHECK_TRUE(Reader.addLine("READY I 3.1204") ==
             LinkReplyReader::Progress::Complete);
  pooling::LinkReply Reply = Reader.takeReply();
  CHECK_FALSE(Reply.Status->IsPrimary);
  CHECK_TRUE(Reply.Status->Received.Position == LogPosition(1209));
  Reader.addLine("ERROR READONLY i-7f3a91c2");
  Reader.addLine("READY E 3.1209");
  Reply = Reader.takeReply();
  CHECK_TRUE(Reply.Error == ErrorCode::ReadOnly);
  CHECK_TRUE(Reply.State == SessionState::Failed);
}

TEST(LineCodec, ATruncatedReplyIsMalformed) {
  LinkReplyReader Reader;
  Reader.addLine("READY I 3.1");
  Reader.takeReply();
  Reader.addLine("ROW half");
  CHECK_TRUE(Reader.addLine("READY I 3.1") ==
             LinkReplyReader::Progress::Malformed);
  CHECK_TRUE(Reader.addLine("HELLO") == LinkReplyReader::Progress::Malformed);
}

TEST(LineCodec, RandomLinesNeverCrash) {
  const std::vector<std::string> Words = {
      "START", "QUERY", "TERMINATE", "READ",     "WRITE", "BEGIN",  "SET",
      "READY", "ROW",   "ERROR",     "COMPLETE", "I",     "3.7",    "-",
      "AFTER", " ",     "\r",        "\n",       "\t",    "EXECUTE"};
  std::mt19937_64 Random(4);
  LinkReplyReader Reader;
  for (unsigned Case = 0; Case < 20000; ++Case) {
    std::string Line;
    for (unsigned Count = Random() % 8; Count > 0; --Count)
      Line += Words[Random() % Words.size()] + (Random() % 2 ? " " : "");
    parseCallerLine(Line);
    if (Reader.addLine(Line) != LinkReplyReader::Progress::More)
      Reader.takeReply();
  }
}

TEST_GROUP(Documents){};

TEST(Documents, ReadsTheConfiguration) {
  auto Read = parseConfig(Config);
  CHECK_TRUE(Read.has_value());
  LONGS_EQUAL(7, Read->Version);
  const pooling::RouteConfig &Route = Read->Routes.at("db");
  CHECK_TRUE(Route.Reads == pooling::Consistency::Bounded);
  CHECK_TRUE(Route.MaxStaleness == milliseconds(1500));
  CHECK_TRUE(Read->Routes.at("pub").Open);
  CHECK_EQUAL("ten", Read->Keys.at("k2").value());
  DOUBLES_EQUAL(117, Read->Accounts.at(AccountId("ten")).Rate, 0);
  LONGS_EQUAL(23, Read->Groups.at(DatabaseId("svc")).MaxLinks);
  CHECK_TRUE(Read->TransactionIdle == milliseconds(2500));
}

TEST(Documents, RejectsAnInvalidConfigurationWithAReason) {
  CHECK_FALSE(parseConfig("[]").has_value());
  CHECK_FALSE(parseConfig("not json").has_value());
  auto Read = parseConfig(replaced(Config, "\"bounded\"", "\"sometimes\""));
  CHECK_FALSE(Read.has_value());
  CHECK_TRUE(Read.error().find("sometimes") != std::string::npos);
  CHECK_FALSE(
      parseConfig(replaced(Config, "\"rate_per_s\": 117", "\"rate_per_s\": -1"))
          .has_value());
}

// Guards against a reason in the log that doesn't tell which entry is at fault,
// and against numbers whose conversion is undefined.
TEST(Documents, NamesTheEntryAtFaultAndCutsLargeNumbers) {
  auto Faulty = parseConfig(replaced(Config, ": 800", ": \"800\""));
  CHECK_FALSE(Faulty.has_value());
  CHECK_EQUAL(std::string("routes[1].timeout_ms is not a non-negative number"),
              Faulty.error());
  auto Read = parseConfig(
      replaced(replaced(Config, ": 800", ": 1e300"), ": 23", ": 1e300"));
  CHECK_TRUE(Read.has_value());
  CHECK(Read->Routes.at("pub").StatementTimeout > seconds(1000000));
  CHECK(Read->Groups.at(DatabaseId("svc")).MaxLinks == 4294967295U);
}

TEST(Documents, ReadsAnEntryOfATarget) {
  auto Read = parseTargetEntry("i-1", Entry, 55);
  CHECK_TRUE(Read.has_value());
  CHECK_EQUAL("svc", Read->Group.value());
  LONGS_EQUAL(3, Read->Slots);
  CHECK_FALSE(Read->ReportsPrimary);
  CHECK_TRUE(Read->ProcessStart == 1788967659047);
  LONGS_EQUAL(55, Read->Version);
}

TEST(Documents, RejectsMalformedTargetEntries) {
  for (const auto &[From, To] :
       std::vector<std::pair<std::string, std::string>>{
           {"\"capacity\": 3", "\"capacity\": \"3\""},
           {"\"capacity\": 3", "\"capacity\": 0"},
           {"\"capacity\": 3", "\"capacity\": -1"},
           {"\"capacity\": 3", "\"capacity\": 4294967296"},
           {"\"capacity\": 3", "\"capacity\": 1e300"},
           {"\"capacity\": 3", "\"capacity\": 1e400"},
           {"\"sequence\": 4", "\"sequence\": 18446744073709551616"},
           {"1788967659047", "1e300"},
           {"\"ready\"", "\"asleep\""},
           {"\"replica\"", "\"king\""},
           {"\"sequence\": 4", "\"sequence\": null"},
           {"\"zone\": \"east\",", ""},
           {"1788967659047", "\"yesterday\""}})
    CHECK_FALSE(
        parseTargetEntry("i-1", replaced(Entry, From, To), 1).has_value());
  CHECK_FALSE(parseTargetEntry("i-1", "\x80\xff", 1).has_value());
}

TEST_GROUP(StoreCodec){};

TEST(StoreCodec, WritesUnderConditions) {
  ConditionalWrite Write;
  Write.Conditions = {{"fleet/rate", 41}};
  Write.Changes = {{"fleet/rate", "node-1"}, {"fleet/vm/a", std::nullopt}};
  HttpCall Call = encodeCall(Write, VmId("vm"));
  CHECK_EQUAL("POST", Call.Method);
  CHECK_TRUE(Call.Body.find("\"bm9kZS0x\"") != std::string::npos);
  CHECK_TRUE(Call.Body.find("\"ver\":41") != std::string::npos);
  CHECK_TRUE(Call.Body.find("\"key\":\"vm/a\"") != std::string::npos);
}

TEST(StoreCodec, ReadsAPrefixOfATable) {
  HttpCall Call = encodeCall(ReadRows{"fleet/duty/a b"}, VmId("vm"));
  CHECK_EQUAL("/-/rows-get?table=fleet&part=&from=duty%2Fa%20b&to=duty%2Fa%20c",
              Call.Path);
}

TEST(StoreCodec, PromotionCarriesLeaseHolderAndFencingToken) {
  Promote Order;
  Order.Database = DatabaseId("svc");
  Order.Candidate = TargetId("i-1");
  Order.FencingToken = 9;
  HttpCall Call = encodeCall(Order, VmId("vm-a"));
  CHECK_TRUE(Call.ToPromotionService);
  CHECK_EQUAL("vm-a", Call.Headers[0].second);
  CHECK_EQUAL("9", Call.Headers[1].second);
}

TEST(StoreCodec, DecodesRowsAndDeletions) {
  auto Read = parseRows(R"({"rows":[
    {"table":"t","part":"","key":"a","value":"bm9kZS0x","ver":4},
    {"table":"t","part":"","key":"b","value":"!!!","ver":5},
    {"table":"t","part":"","key":"c","ver":6,"deleted":true}],
    "has_more":false,"ver":9,"now_ms":1})");
  CHECK_TRUE(Read.has_value());
  CHECK_EQUAL("node-1", Read->Rows[0].Value);
  CHECK_EQUAL("", Read->Rows[1].Value);
  CHECK_TRUE(Read->Rows[2].Deleted);
  LONGS_EQUAL(9, Read->Version);
  CHECK_FALSE(parseRows("{}").has_value());
  CHECK_FALSE(parseRows("").has_value());
}

// Guards against one row of another writer, such as an evacuation without a
// body, that hides all rows of its table.
TEST(StoreCodec, ARowWithMembersOfAnotherTypeHidesNoOther) {
  auto Read = parseRows(R"({"rows":[
    {"table":"op","part":"","key":"evacuate/a","ver":4},
    {"table":"op","part":"","key":"evacuate/b","value":null,"ver":5},
    {"table":"op","part":"","key":"evacuate/c","value":7,"ver":6,"deleted":0},
    {"table":"op","part":"","key":"config","value":"bm9kZS0x","ver":7}],
    "has_more":false,"ver":9,"now_ms":1})");
  CHECK_TRUE(Read.has_value());
  LONGS_EQUAL(4, Read->Rows.size());
  for (std::size_t Index = 0; Index < 3; ++Index) {
    CHECK_TRUE(evacuatedDataCentre(Read->Rows[Index]).has_value());
    CHECK_FALSE(Read->Rows[Index].Deleted);
  }
  CHECK_EQUAL("node-1", Read->Rows[3].Value);
}

TEST(StoreCodec, ReportsRequestsThatMayHaveTakenEffect) {
  ConditionalWrite Write;
  auto MayHaveTakenEffect = [&](const PlatformRequest &Request,
                                unsigned Status) {
    PlatformAnswer Answer = decodeAnswer(Request, Status, "");
    const auto *Failure = std::get_if<PlatformFailed>(&Answer);
    return Failure != nullptr && Failure->MayHaveTakenEffect;
  };
  CHECK_TRUE(MayHaveTakenEffect(Write, 0));
  CHECK_FALSE(MayHaveTakenEffect(Write, 503));
  CHECK_FALSE(MayHaveTakenEffect(Write, 429));
  CHECK_FALSE(MayHaveTakenEffect(ReadRows{"fleet/"}, 0));
  PlatformAnswer Refused = decodeAnswer(Write, 412, "{}");
  CHECK_FALSE(std::get<WriteDecided>(Refused).Applied);
  PlatformAnswer Fenced = decodeAnswer(Promote(), 409, "");
  CHECK_FALSE(std::get<PromotionDecided>(Fenced).Applied);
}

// Guards against a bound for cold targets that is read wrongly, or that
// applies where a field is missing.
TEST(Documents, ReadsTheFieldsOfColdTargets) {
  auto Bounded = parseConfig(replaced(
      Config, "\"sync_replicas\": 0",
      "\"sync_replicas\": 0, \"cold_start_s\": 8, \"cold_per_s\": 12.5"));
  const auto &Group = Bounded->Groups.at(DatabaseId("svc"));
  CHECK_TRUE(Group.ColdStart == seconds(8));
  DOUBLES_EQUAL(12.5, Group.ColdPerSecond, 1e-9);
  auto Unbounded = parseConfig(Config);
  DOUBLES_EQUAL(0, Unbounded->Groups.at(DatabaseId("svc")).ColdPerSecond, 0);
  auto Cold = parseTargetEntry(
      "i-1",
      replaced(Entry, "\"cold_remaining_ms\": 0", "\"cold_remaining_ms\": 750"),
      1);
  CHECK_TRUE(Cold->ColdFor == milliseconds(750));
  CHECK_TRUE(parseTargetEntry("i-1", Entry, 1)->ColdFor == Duration(0));
}

TEST_GROUP(BootSettings){};

TEST(BootSettings, IgnoresUnknownMembers) {
  auto Read = parseBootSettings(Boot);
  CHECK_TRUE(Read.has_value());
  CHECK_EQUAL("frontend-1", Read->Vm.value());
  CHECK_EQUAL("10.1.0.26:7560", Read->PeerAddress);
  DOUBLES_EQUAL(0.5, Read->Cores, 1e-9);
  CHECK_TRUE(Read->GracePeriod == seconds(7));
}

TEST(BootSettings, ReportsEveryFaultWithItsPath) {
  auto Read = parseBootSettings(R"({"node_name": 5, "zone": "east"})");
  CHECK_FALSE(Read.has_value());
  CHECK_TRUE(Read.error().size() >= 5);
  CHECK_EQUAL("node_name", Read.error().front().Path);
  CHECK_FALSE(parseBootSettings("nothing").has_value());
}

// Guards against bounds for cold targets that are ignored.
TEST(BootSettings, ReadsTheBoundsOfColdTargets) {
  DOUBLES_EQUAL(1.5, parseBootSettings(Boot)->ColdOverage, 1e-9);
  DOUBLES_EQUAL(5, parseBootSettings(Boot)->ColdSlack, 1e-9);
  auto Read = parseBootSettings(
      replaced(Boot, "\"grace_s\": 7",
               "\"grace_s\": 7, \"cold_overage\": 2, \"cold_slack\": 0"));
  DOUBLES_EQUAL(2, Read->ColdOverage, 1e-9);
  DOUBLES_EQUAL(0, Read->ColdSlack, 1e-9);
}
