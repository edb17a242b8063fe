#include "bergamotstage/fleet/detail/ByteCodec.h"
#include "bergamotstage/pooling/FleetMessage.h"

#include <CppUTest/TestHarness.h>

#include <random>
#include <string>
#include <variant>
#include <vector>

using namespace bergamotstage;
using namespace bergamotstage::pooling;

namespace {

OperationRequest sampleRequest() {
  OperationRequest Request;
  Request.Id = {VmId("vm-a"), 77};
  Request.Target = TargetId("t");
  Request.Account = AccountId("ward");
  Request.Mode = Access::ReplicaTransaction;
  Request.RequiredPosition = HistoryPoint{Term(3), LogPosition(1209)};
  Request.Priority = 2;
  Request.QueueTime = milliseconds(150);
  Request.StatementTimeout = milliseconds(800);
  Request.Values = std::make_shared<const SessionValues>(
      SessionValues{{"a", "1"}, {"b", "two words"}});
  Request.First.RequestId = "id";
  Request.First.Kind = Verb::Execute;
  Request.First.Text = "EXECUTE s1 1a4 x";
  Request.First.Prepared = {true, "shape"};
  Request.First.Arguments = "1a4 x";
  return Request;
}

StatementResult sampleResult() {
  StatementResult Result;
  Result.Outcome = StatementResult::Kind::Answered;
  Result.Error = ErrorCode::Behind;
  Result.ErrorText = "text";
  Result.Rows = {"one", "", std::string(3000, 'x')};
  Result.Signature = "7.1f3";
  Result.State = SessionState::InTransaction;
  Result.Position = HistoryPoint{Term(4), LogPosition(5)};
  Result.PrimaryProven = true;
  Result.Load = {12, 250};
  Result.RetryAfter = milliseconds(20);
  return Result;
}

std::vector<FleetMessage> samples() {
  StoreUpdate Update;
  Update.StoreAge = milliseconds(900);
  Update.Timestamp = 77;
  Update.ConfigVersion = 9;
  Update.SameList = true;
  Update.NewestRow = 99;
  Update.BaseTargetsVersion = 4;
  Update.TargetsVersion = 5;
  TargetEntry Entry;
  Entry.Id = TargetId("t");
  Entry.Address = "10.0.0.1:5";
  Entry.Slots = 3;
  Entry.ReportsPrimary = true;
  Entry.Version = 88;
  Entry.ColdFor = milliseconds(750);
  Update.Changed = {Entry};
  Update.Removed = {TargetId("u")};
  Hello Greeting;
  Greeting.Vm = VmId("vm-a");
  Greeting.Cores = 0.25;
  NextStatement Next;
  Next.Number = 8;
  Next.Stmt = sampleRequest().First;
  Next.ValuesChanged = true;
  Next.Values = sampleRequest().Values;
  return {
      Greeting,
      Ping{4},
      Pong{5},
      StartOperation{sampleRequest()},
      Next,
      AbortOperation{9},
      StatementReply{77, sampleResult()},
      ProofRequest{TargetId("t"), AccountId("a"), 123, milliseconds(20)},
      ProofReply{
          TargetId("t"), true, {Term(1), LogPosition(2)}, milliseconds(3), 123},
      TokenRequest{AccountId("a"),
                   1500,
                   {{0, 2500}, {2, 100}},
                   {{0, 3, milliseconds(40)}},
                   77},
      TokenGrant{AccountId("a"), 1500, 20, {{0, 1000}, {2, 150}}, 77},
      PrimarySuspected{DatabaseId("g"), TargetId("t")},
      TargetAlive{DatabaseId("g"), TargetId("t")},
      Promoted{DatabaseId("g"), TargetId("t"), Term(4)},
      ConfigRequest{7, TextDigest(8)},
      ConfigText{9, TextDigest(8), "{}"},
      StoreUpdateRequest{1, 2, 77, 5, {TargetId("t")}},
      Update,
      RenewalRequest{"east 10.0.0.1:1 5 0.25", 77},
      RenewalReply{77, true},
      WithdrawStatement{9}};
}

} // namespace

TEST_GROUP(FleetMessage){};

TEST(FleetMessage, EveryKindRoundTrips) {
  std::vector<FleetMessage> All = samples();
  LONGS_EQUAL(std::variant_size_v<FleetMessage>, All.size());
  for (const FleetMessage &Message : All) {
    std::string Bytes = encodeMessage(Message);
    auto Read = decodeMessage(Bytes);
    CHECK_TRUE(Read.has_value());
    LONGS_EQUAL(Message.index(), Read->index());
    CHECK_TRUE(encodeMessage(*Read) == Bytes);
  }
}

TEST(FleetMessage, FieldsKeepTheirValues) {
  auto Read = decodeMessage(encodeMessage(StartOperation{sampleRequest()}));
  const OperationRequest &Request = std::get<StartOperation>(*Read).Request;
  CHECK_EQUAL("two words", Request.Values->at("b"));
  CHECK_TRUE(Request.First.Prepared.Writes);
  CHECK_TRUE(Request.RequiredPosition->Position == LogPosition(1209));
  auto ReplyRead =
      decodeMessage(encodeMessage(StatementReply{1, sampleResult()}));
  const StatementResult &Result = std::get<StatementReply>(*ReplyRead).Result;
  CHECK_TRUE(Result.Error == ErrorCode::Behind);
  LONGS_EQUAL(3, Result.Rows.size());
}

TEST(FleetMessage, TruncatedMessagesAreRejected) {
  for (const FleetMessage &Message : samples()) {
    std::string Bytes = encodeMessage(Message);
    for (std::size_t Length = 0; Length < Bytes.size(); ++Length)
      CHECK_FALSE(decodeMessage(Bytes.substr(0, Length)).has_value());
    CHECK_FALSE(decodeMessage(Bytes + "x").has_value());
  }
}

TEST(FleetMessage, AnExcessiveCountIsRejected) {
  NextStatement Next;
  Next.Number = 8;
  std::string Bytes = encodeMessage(Next);
  // The count of session values precedes the queue time, one byte each.
  CHECK_TRUE(Bytes.substr(Bytes.size() - 2) == std::string(2, '\0'));
  detail::ByteWriter Excessive;
  Excessive.varint(100'001);
  Excessive.varint(0);
  Bytes.replace(Bytes.size() - 2, 2, Excessive.release());
  CHECK_FALSE(decodeMessage(Bytes).has_value());
}

TEST(FleetMessage, MutatedBytesAreParsedWithinBounds) {
  std::mt19937_64 Random(20261204);
  std::vector<FleetMessage> All = samples();
  for (unsigned Case = 0; Case < 20000; ++Case) {
    std::string Bytes = encodeMessage(All[Random() % All.size()]);
    for (unsigned Change = 0; Change < 3; ++Change)
      Bytes[Random() % Bytes.size()] = static_cast<char>(Random());
    auto Read = decodeMessage(Bytes);
    if (Read)
      encodeMessage(*Read);
  }
}
