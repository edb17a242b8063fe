#include "bergamotstage/pooling/detail/FieldCodec.h"

#include <algorithm>
#include <utility>

namespace bergamotstage::pooling::detail {
namespace {

/// Encodes the absence of an error code.
constexpr std::uint8_t NoError = 0xFF;
/// Maximum number of session values; a larger count is malformed.
constexpr std::uint64_t MaxSessionValues = 100'000;

/// @brief Reads an enumerator; clamps unknown values to the last one.
template <class Enum> Enum readEnum(ByteReader &In, Enum Last) {
  return static_cast<Enum>(
      std::min(In.byte(), static_cast<std::uint8_t>(Last)));
}

/// Loads are sent with each reply; microseconds take half of the bytes.
void writeMicroseconds(ByteWriter &Out, Duration Span) {
  auto Count = std::chrono::duration_cast<microseconds>(Span).count();
  Out.varint(Count < 0 ? 0 : static_cast<std::uint64_t>(Count));
}
Duration readMicroseconds(ByteReader &In) {
  return microseconds(static_cast<std::int64_t>(In.varint()));
}

} // namespace

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
  Out.text(Request.Route.value());
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
  Request.Route = RouteId(In.text());
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
  writeMicroseconds(Out, Result.Load.Wait);
  writeMicroseconds(Out, Result.Load.Service);
  Out.varint(Result.Load.Pace);
  write(Out, Result.RetryAfter);
}
StatementResult readResult(ByteReader &In) {
  StatementResult Result;
  Result.Outcome = readEnum(In, StatementResult::Kind::Lost);
  Result.Reason = readEnum(In, NotRunReason::Withdrawn);
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
  Result.Load.Wait = readMicroseconds(In);
  Result.Load.Service = readMicroseconds(In);
  Result.Load.Pace = static_cast<unsigned>(In.varint());
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
  writeMicroseconds(Out, Entry.ColdFor);
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
  Entry.ColdFor = readMicroseconds(In);
  Entry.Version = In.varint();
  return Entry;
}

} // namespace bergamotstage::pooling::detail
