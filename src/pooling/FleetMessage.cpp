#include "bergamotstage/pooling/FleetMessage.h"

#include "bergamotstage/fleet/detail/ByteCodec.h"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace bergamotstage::pooling {
namespace {

using detail::ByteReader;
using detail::ByteWriter;

/// Encodes the absence of an error code.
constexpr std::uint8_t NoError = 0xFF;
/// Cores are encoded in thousandths.
constexpr double CoreScale = 1000;
/// Maximum number of session values; a larger count is malformed.
constexpr std::uint64_t MaxSessionValues = 100'000;

/// @brief Reads an enumerator; clamps unknown values to the last one.
template <class Enum> Enum readEnum(ByteReader &In, Enum Last) {
  return static_cast<Enum>(
      std::min(In.byte(), static_cast<std::uint8_t>(Last)));
}

void write(ByteWriter &Out, Duration Span) {
  Out.varint(Span.count() < 0 ? 0 : static_cast<std::uint64_t>(Span.count()));
}
Duration readDuration(ByteReader &In) {
  return Duration(static_cast<Duration::rep>(In.varint()));
}

void write(ByteWriter &Out, const HistoryPoint &Point) {
  Out.varint(Point.AtTerm.value());
  Out.varint(Point.Position.value());
}
HistoryPoint readPoint(ByteReader &In) {
  HistoryPoint Point;
  Point.AtTerm = Term(In.varint());
  Point.Position = LogPosition(In.varint());
  return Point;
}

void write(ByteWriter &Out, const std::optional<HistoryPoint> &Point) {
  Out.byte(Point ? 1 : 0);
  if (Point)
    write(Out, *Point);
}
std::optional<HistoryPoint> readOptionalPoint(ByteReader &In) {
  if (In.byte() == 0)
    return std::nullopt;
  return readPoint(In);
}

void write(ByteWriter &Out, const SharedValues &Values) {
  Out.varint(Values ? Values->size() : 0);
  if (!Values)
    return;
  for (const auto &[Name, Value] : *Values) {
    Out.text(Name);
    Out.text(Value);
  }
}
SharedValues readValues(ByteReader &In) {
  std::uint64_t Count = In.varint();
  if (Count > MaxSessionValues)
    In.invalidate();
  if (Count == 0 || !In.isValid())
    return nullptr;
  auto Values = std::make_shared<SessionValues>();
  for (; Count > 0 && In.isValid(); --Count) {
    std::string Name = In.text();
    (*Values)[std::move(Name)] = In.text();
  }
  return Values;
}

void write(ByteWriter &Out, const Statement &Stmt) {
  Out.text(Stmt.RequestId);
  Out.byte(static_cast<std::uint8_t>(Stmt.Kind));
  Out.text(Stmt.Text);
  Out.byte(Stmt.Prepared.Writes ? 1 : 0);
  Out.text(Stmt.Prepared.Text);
  Out.text(Stmt.Arguments);
}
Statement readStatement(ByteReader &In) {
  Statement Stmt;
  Stmt.RequestId = In.text();
  Stmt.Kind = readEnum(In, Verb::Unknown);
  Stmt.Text = In.text();
  Stmt.Prepared.Writes = In.byte() != 0;
  Stmt.Prepared.Text = In.text();
  Stmt.Arguments = In.text();
  return Stmt;
}

void write(ByteWriter &Out, const OperationRequest &Request) {
  Out.text(Request.Id.Origin.value());
  Out.varint(Request.Id.Number);
  Out.text(Request.Target.value());
  Out.text(Request.Account.value());
  Out.byte(static_cast<std::uint8_t>(Request.Mode));
  write(Out, Request.RequiredPosition);
  Out.varint(Request.Priority);
  write(Out, Request.QueueTime);
  write(Out, Request.StatementTimeout);
  write(Out, Request.Values);
  write(Out, Request.First);
}
OperationRequest readOperationRequest(ByteReader &In) {
  OperationRequest Request;
  Request.Id.Origin = VmId(In.text());
  Request.Id.Number = In.varint();
  Request.Target = TargetId(In.text());
  Request.Account = AccountId(In.text());
  Request.Mode = readEnum(In, Access::ReplicaTransaction);
  Request.RequiredPosition = readOptionalPoint(In);
  Request.Priority = static_cast<unsigned>(In.varint());
  Request.QueueTime = readDuration(In);
  Request.StatementTimeout = readDuration(In);
  Request.Values = readValues(In);
  Request.First = readStatement(In);
  return Request;
}

void write(ByteWriter &Out, const StatementResult &Result) {
  Out.byte(static_cast<std::uint8_t>(Result.Outcome));
  Out.byte(static_cast<std::uint8_t>(Result.Reason));
  Out.byte(Result.Error ? static_cast<std::uint8_t>(*Result.Error) : NoError);
  Out.text(Result.ErrorText);
  Out.varint(Result.Rows.size());
  for (const std::string &Row : Result.Rows)
    Out.text(Row);
  Out.text(Result.Signature);
  Out.byte(static_cast<std::uint8_t>(Result.State));
  write(Out, Result.Position);
  Out.byte(Result.PrimaryProven ? 1 : 0);
  Out.varint(Result.Load.Queued);
  Out.varint(Result.Load.FailedPermille);
  write(Out, Result.RetryAfter);
}
StatementResult readResult(ByteReader &In) {
  StatementResult Result;
  Result.Outcome = readEnum(In, StatementResult::Kind::Lost);
  Result.Reason = readEnum(In, NotRunReason::UnknownTarget);
  std::uint8_t Error = In.byte();
  if (Error != NoError)
    Result.Error = static_cast<ErrorCode>(
        std::min(Error, static_cast<std::uint8_t>(ErrorCode::Other)));
  Result.ErrorText = In.text();
  for (std::uint64_t Count = In.varint(); Count > 0 && In.isValid(); --Count)
    Result.Rows.push_back(In.text());
  Result.Signature = In.text();
  Result.State = readEnum(In, SessionState::Failed);
  Result.Position = readOptionalPoint(In);
  Result.PrimaryProven = In.byte() != 0;
  Result.Load.Queued = static_cast<unsigned>(In.varint());
  Result.Load.FailedPermille = static_cast<unsigned>(In.varint());
  Result.RetryAfter = readDuration(In);
  return Result;
}

void write(ByteWriter &Out, const TargetEntry &Entry) {
  Out.text(Entry.Id.value());
  Out.text(Entry.Group.value());
  Out.text(Entry.Address);
  Out.text(Entry.DataCentre.value());
  Out.varint(Entry.Slots);
  Out.byte(Entry.Draining ? 1 : 0);
  Out.byte(Entry.ReportsPrimary ? 1 : 0);
  Out.varint(Entry.ProcessStart);
  Out.varint(Entry.Version);
}
TargetEntry readEntry(ByteReader &In) {
  TargetEntry Entry;
  Entry.Id = TargetId(In.text());
  Entry.Group = DatabaseId(In.text());
  Entry.Address = In.text();
  Entry.DataCentre = DataCentreId(In.text());
  Entry.Slots = static_cast<unsigned>(In.varint());
  Entry.Draining = In.byte() != 0;
  Entry.ReportsPrimary = In.byte() != 0;
  Entry.ProcessStart = In.varint();
  Entry.Version = In.varint();
  return Entry;
}

struct Encoder {
  ByteWriter &Out;

  void operator()(const Hello &Body) {
    Out.text(Body.Vm.value());
    Out.text(Body.DataCentre.value());
    Out.text(Body.Address);
    Out.varint(Body.Start.value());
    Out.varint(Body.ConfigVersion);
    Out.byte(Body.Leaving ? 1 : 0);
    Out.varint(static_cast<std::uint64_t>(Body.Cores * CoreScale));
  }
  void operator()(const Ping &Body) { Out.varint(Body.ConfigVersion); }
  void operator()(const Pong &Body) { Out.varint(Body.ConfigVersion); }
  void operator()(const StartOperation &Body) { write(Out, Body.Request); }
  void operator()(const NextStatement &Body) {
    Out.varint(Body.Number);
    write(Out, Body.Stmt);
    Out.byte(Body.ValuesChanged ? 1 : 0);
    write(Out, Body.Values);
    write(Out, Body.QueueTime);
  }
  void operator()(const AbortOperation &Body) { Out.varint(Body.Number); }
  void operator()(const StatementReply &Body) {
    Out.varint(Body.Number);
    write(Out, Body.Result);
  }
  void operator()(const ProofRequest &Body) {
    Out.text(Body.Target.value());
    Out.text(Body.Account.value());
    Out.varint(Body.Timestamp);
  }
  void operator()(const ProofReply &Body) {
    Out.text(Body.Target.value());
    Out.byte(Body.Proven ? 1 : 0);
    write(Out, Body.Position);
    write(Out, Body.Age);
    Out.varint(Body.Timestamp);
  }
  void operator()(const TokenRequest &Body) {
    Out.text(Body.Account.value());
    Out.varint(Body.MilliTokens);
  }
  void operator()(const TokenGrant &Body) {
    Out.text(Body.Account.value());
    Out.varint(Body.MilliTokens);
    Out.varint(Body.LeftMilliTokens);
  }
  void operator()(const PrimarySuspected &Body) {
    Out.text(Body.Group.value());
    Out.text(Body.Target.value());
  }
  void operator()(const TargetAlive &Body) {
    Out.text(Body.Group.value());
    Out.text(Body.Target.value());
  }
  void operator()(const Promoted &Body) {
    Out.text(Body.Group.value());
    Out.text(Body.Target.value());
    Out.varint(Body.NewTerm.value());
  }
  void operator()(const ConfigRequest &Body) {
    Out.varint(Body.Version);
    Out.varint(Body.Base.value());
  }
  void operator()(const ConfigText &Body) {
    Out.varint(Body.Version);
    Out.varint(Body.Base.value());
    Out.text(Body.Compressed);
  }
  void operator()(const StoreUpdateRequest &Body) {
    Out.varint(Body.ConfigVersion);
    Out.varint(Body.TargetsVersion);
    Out.varint(Body.Timestamp);
  }
  void operator()(const StoreUpdate &Body) {
    Out.varint(Body.Timestamp);
    write(Out, Body.StoreAge);
    Out.varint(Body.ConfigVersion);
    Out.varint(Body.BaseTargetsVersion);
    Out.varint(Body.TargetsVersion);
    Out.varint(Body.Changed.size());
    for (const TargetEntry &Entry : Body.Changed)
      write(Out, Entry);
    Out.varint(Body.Removed.size());
    for (const TargetId &Id : Body.Removed)
      Out.text(Id.value());
  }
  void operator()(const RenewalRequest &Body) {
    Out.text(Body.Row);
    Out.varint(Body.Timestamp);
  }
  void operator()(const RenewalReply &Body) {
    Out.varint(Body.Timestamp);
    Out.byte(Body.Renewed ? 1 : 0);
  }
};

Hello readHello(ByteReader &In) {
  Hello Body;
  Body.Vm = VmId(In.text());
  Body.DataCentre = DataCentreId(In.text());
  Body.Address = In.text();
  Body.Start = Incarnation(In.varint());
  Body.ConfigVersion = In.varint();
  Body.Leaving = In.byte() != 0;
  Body.Cores = static_cast<double>(In.varint()) / CoreScale;
  return Body;
}

NextStatement readNextStatement(ByteReader &In) {
  NextStatement Body;
  Body.Number = In.varint();
  Body.Stmt = readStatement(In);
  Body.ValuesChanged = In.byte() != 0;
  Body.Values = readValues(In);
  Body.QueueTime = readDuration(In);
  return Body;
}

StatementReply readStatementReply(ByteReader &In) {
  StatementReply Body;
  Body.Number = In.varint();
  Body.Result = readResult(In);
  return Body;
}

ProofRequest readProofRequest(ByteReader &In) {
  ProofRequest Body;
  Body.Target = TargetId(In.text());
  Body.Account = AccountId(In.text());
  Body.Timestamp = In.varint();
  return Body;
}

ProofReply readProofReply(ByteReader &In) {
  ProofReply Body;
  Body.Target = TargetId(In.text());
  Body.Proven = In.byte() != 0;
  Body.Position = readPoint(In);
  Body.Age = readDuration(In);
  Body.Timestamp = In.varint();
  return Body;
}

TokenRequest readTokenRequest(ByteReader &In) {
  TokenRequest Body;
  Body.Account = AccountId(In.text());
  Body.MilliTokens = In.varint();
  return Body;
}

TokenGrant readTokenGrant(ByteReader &In) {
  TokenGrant Body;
  Body.Account = AccountId(In.text());
  Body.MilliTokens = In.varint();
  Body.LeftMilliTokens = In.varint();
  return Body;
}

/// @brief Reads the group and target that several messages begin with.
template <class Body> Body readGroupAndTarget(ByteReader &In) {
  Body Read;
  Read.Group = DatabaseId(In.text());
  Read.Target = TargetId(In.text());
  return Read;
}

StoreUpdate readStoreUpdate(ByteReader &In) {
  StoreUpdate Body;
  Body.Timestamp = In.varint();
  Body.StoreAge = readDuration(In);
  Body.ConfigVersion = In.varint();
  Body.BaseTargetsVersion = In.varint();
  Body.TargetsVersion = In.varint();
  for (std::uint64_t Count = In.varint(); Count > 0 && In.isValid(); --Count)
    Body.Changed.push_back(readEntry(In));
  for (std::uint64_t Count = In.varint(); Count > 0 && In.isValid(); --Count)
    Body.Removed.emplace_back(In.text());
  return Body;
}

ConfigRequest readConfigRequest(ByteReader &In) {
  ConfigRequest Body;
  Body.Version = In.varint();
  Body.Base = TextDigest(In.varint());
  return Body;
}

ConfigText readConfigText(ByteReader &In) {
  ConfigText Body;
  Body.Version = In.varint();
  Body.Base = TextDigest(In.varint());
  Body.Compressed = In.text();
  return Body;
}

Promoted readPromoted(ByteReader &In) {
  auto Body = readGroupAndTarget<Promoted>(In);
  Body.NewTerm = Term(In.varint());
  return Body;
}

/// @brief Index of an alternative in FleetMessage, which is its wire tag.
template <class Body, std::size_t Index = 0> constexpr std::size_t tagOf() {
  if constexpr (std::is_same_v<std::variant_alternative_t<Index, FleetMessage>,
                               Body>)
    return Index;
  else
    return tagOf<Body, Index + 1>();
}

std::optional<FleetMessage> readBody(std::uint8_t Tag, ByteReader &In) {
  switch (Tag) {
  case tagOf<Hello>():
    return readHello(In);
  case tagOf<Ping>():
    return Ping{In.varint()};
  case tagOf<Pong>():
    return Pong{In.varint()};
  case tagOf<StartOperation>():
    return StartOperation{readOperationRequest(In)};
  case tagOf<NextStatement>():
    return readNextStatement(In);
  case tagOf<AbortOperation>():
    return AbortOperation{In.varint()};
  case tagOf<StatementReply>():
    return readStatementReply(In);
  case tagOf<ProofRequest>():
    return readProofRequest(In);
  case tagOf<ProofReply>():
    return readProofReply(In);
  case tagOf<TokenRequest>():
    return readTokenRequest(In);
  case tagOf<TokenGrant>():
    return readTokenGrant(In);
  case tagOf<PrimarySuspected>():
    return readGroupAndTarget<PrimarySuspected>(In);
  case tagOf<TargetAlive>():
    return readGroupAndTarget<TargetAlive>(In);
  case tagOf<Promoted>():
    return readPromoted(In);
  case tagOf<ConfigRequest>():
    return readConfigRequest(In);
  case tagOf<ConfigText>():
    return readConfigText(In);
  case tagOf<StoreUpdateRequest>(): {
    StoreUpdateRequest Body;
    Body.ConfigVersion = In.varint();
    Body.TargetsVersion = In.varint();
    Body.Timestamp = In.varint();
    return Body;
  }
  case tagOf<StoreUpdate>():
    return readStoreUpdate(In);
  case tagOf<RenewalRequest>(): {
    RenewalRequest Body;
    Body.Row = In.text();
    Body.Timestamp = In.varint();
    return Body;
  }
  case tagOf<RenewalReply>(): {
    RenewalReply Body;
    Body.Timestamp = In.varint();
    Body.Renewed = In.byte() != 0;
    return Body;
  }
  default:
    return std::nullopt;
  }
}

} // namespace

std::string encodeMessage(const FleetMessage &Message) {
  ByteWriter Out;
  Out.byte(static_cast<std::uint8_t>(Message.index()));
  std::visit(Encoder{Out}, Message);
  return Out.release();
}

std::optional<FleetMessage> decodeMessage(std::string_view Bytes) {
  ByteReader In(Bytes);
  std::optional<FleetMessage> Read = readBody(In.byte(), In);
  if (!Read || !In.isComplete())
    return std::nullopt;
  return Read;
}

} // namespace bergamotstage::pooling
