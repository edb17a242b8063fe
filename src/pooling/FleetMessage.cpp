#include "bergamotstage/pooling/FleetMessage.h"

#include "bergamotstage/pooling/detail/FieldCodec.h"

#include <type_traits>
#include <utility>

namespace bergamotstage::pooling {
namespace {

using namespace detail;

/// Cores are encoded in thousandths.
constexpr double CoreScale = 1000;

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
  void operator()(const WithdrawStatement &Body) { Out.varint(Body.Number); }
  void operator()(const StatementReply &Body) {
    Out.varint(Body.Number);
    write(Out, Body.Result);
  }
  void operator()(const ProofRequest &Body) {
    Out.text(Body.Target.value());
    Out.text(Body.Account.value());
    Out.varint(Body.Timestamp);
    write(Out, Body.MaxAge);
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
    Out.varint(Body.Demand.size());
    for (const ratelimit::PriorityDemand &Level : Body.Demand) {
      Out.varint(Level.Priority);
      Out.varint(Level.MilliPerSecond);
    }
    Out.varint(Body.Waiting.size());
    for (const ratelimit::WaitingOperations &Group : Body.Waiting) {
      Out.varint(Group.Priority);
      Out.varint(Group.Count);
      write(Out, Group.MaxWait);
    }
    Out.varint(Body.Number);
  }
  void operator()(const TokenGrant &Body) {
    Out.text(Body.Account.value());
    Out.varint(Body.MilliTokens);
    Out.varint(Body.LeftMilliTokens);
    Out.varint(Body.Shares.size());
    for (const ratelimit::PriorityShare &Share : Body.Shares) {
      Out.varint(Share.Priority);
      Out.varint(Share.Permille);
    }
    Out.varint(Body.Number);
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
    Out.varint(Body.ListDigest);
    Out.varint(Body.Rejected.size());
    for (const TargetId &Id : Body.Rejected)
      Out.text(Id.value());
  }
  void operator()(const StoreUpdate &Body) {
    Out.varint(Body.Timestamp);
    write(Out, Body.StoreAge);
    Out.varint(Body.ConfigVersion);
    Out.byte(Body.SameList ? 1 : 0);
    Out.varint(Body.BaseTargetsVersion);
    Out.varint(Body.TargetsVersion);
    Out.varint(Body.NewestRow);
    Out.varint(Body.Changed.size());
    for (const TargetEntry &Entry : Body.Changed)
      write(Out, Entry);
    Out.varint(Body.Removed.size());
    for (const TargetId &Id : Body.Removed)
      Out.text(Id.value());
    Out.varint(Body.Evacuations.Version);
    Out.varint(Body.Evacuations.DataCentres.size());
    for (const DataCentreId &Id : Body.Evacuations.DataCentres)
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
  Body.MaxAge = readDuration(In);
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
  for (std::uint64_t Count = In.varint(); Count > 0 && In.isValid(); --Count) {
    ratelimit::PriorityDemand Level;
    Level.Priority = static_cast<unsigned>(In.varint());
    Level.MilliPerSecond = In.varint();
    Body.Demand.push_back(Level);
  }
  for (std::uint64_t Count = In.varint(); Count > 0 && In.isValid(); --Count) {
    ratelimit::WaitingOperations Group;
    Group.Priority = static_cast<unsigned>(In.varint());
    Group.Count = In.varint();
    Group.MaxWait = readDuration(In);
    Body.Waiting.push_back(Group);
  }
  Body.Number = In.varint();
  return Body;
}

TokenGrant readTokenGrant(ByteReader &In) {
  TokenGrant Body;
  Body.Account = AccountId(In.text());
  Body.MilliTokens = In.varint();
  Body.LeftMilliTokens = In.varint();
  for (std::uint64_t Count = In.varint(); Count > 0 && In.isValid(); --Count) {
    ratelimit::PriorityShare Share;
    Share.Priority = static_cast<unsigned>(In.varint());
    Share.Permille = static_cast<unsigned>(In.varint());
    Body.Shares.push_back(Share);
  }
  Body.Number = In.varint();
  return Body;
}

/// @brief Reads the group and target that several messages begin with.
template <class Body> Body readGroupAndTarget(ByteReader &In) {
  Body Read;
  Read.Group = DatabaseId(In.text());
  Read.Target = TargetId(In.text());
  return Read;
}

StoreUpdateRequest readStoreUpdateRequest(ByteReader &In) {
  StoreUpdateRequest Body;
  Body.ConfigVersion = In.varint();
  Body.TargetsVersion = In.varint();
  Body.Timestamp = In.varint();
  Body.ListDigest = In.varint();
  for (std::uint64_t Count = In.varint(); Count > 0 && In.isValid(); --Count)
    Body.Rejected.emplace_back(In.text());
  return Body;
}

StoreUpdate readStoreUpdate(ByteReader &In) {
  StoreUpdate Body;
  Body.Timestamp = In.varint();
  Body.StoreAge = readDuration(In);
  Body.ConfigVersion = In.varint();
  Body.SameList = In.byte() != 0;
  Body.BaseTargetsVersion = In.varint();
  Body.TargetsVersion = In.varint();
  Body.NewestRow = In.varint();
  for (std::uint64_t Count = In.varint(); Count > 0 && In.isValid(); --Count)
    Body.Changed.push_back(readEntry(In));
  for (std::uint64_t Count = In.varint(); Count > 0 && In.isValid(); --Count)
    Body.Removed.emplace_back(In.text());
  Body.Evacuations.Version = In.varint();
  for (std::uint64_t Count = In.varint(); Count > 0 && In.isValid(); --Count)
    Body.Evacuations.DataCentres.emplace(In.text());
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
  case tagOf<WithdrawStatement>():
    return WithdrawStatement{In.varint()};
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
  case tagOf<StoreUpdateRequest>():
    return readStoreUpdateRequest(In);
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
