#include "bergamotstage/fleet/GossipMessage.h"

#include "bergamotstage/fleet/detail/ByteCodec.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace bergamotstage {
namespace {

using detail::ByteReader;
using detail::ByteWriter;

enum class Kind : std::uint8_t { Probe = 1, Ack = 2, Leave = 3 };

constexpr std::size_t HashedAgeBytes = 5;

void write(ByteWriter &Out, const MemberRecord &Record) {
  Out.text(Record.Vm.value());
  Out.text(Record.DataCentre.value());
  Out.text(Record.PeerAddress);
  Out.varint(Record.Start.value());
  Out.byte(Record.Leaving ? 1 : 0);
}

MemberRecord readRecord(ByteReader &In) {
  MemberRecord Record;
  Record.Vm = VmId(In.text());
  Record.DataCentre = DataCentreId(In.text());
  Record.PeerAddress = In.text();
  Record.Start = Incarnation(In.varint());
  Record.Leaving = In.byte() != 0;
  return Record;
}

void write(ByteWriter &Out, const GossipProbe &Probe) {
  Out.byte(static_cast<std::uint8_t>(Kind::Probe));
  Out.varint(Probe.Number);
  Out.fixed32(Probe.MembersHash);
  write(Out, Probe.Sender);
}

void write(ByteWriter &Out, const GossipAck &Ack) {
  Out.byte(static_cast<std::uint8_t>(Kind::Ack));
  Out.varint(Ack.Number);
  write(Out, Ack.Sender);
  Out.varint(Ack.RulesRevision.value());
  Out.text(Ack.Object);
  Out.byte(Ack.StoreAge.Bits);
  Out.byte(Ack.Attests ? 1 : 0);
  Out.varint(Ack.Ages.size());
  for (LivenessAge Age : Ack.Ages)
    Out.byte(Age.Bits);
  Out.varint(Ack.HashedAges.size());
  for (const HashedAge &Entry : Ack.HashedAges) {
    Out.fixed32(Entry.Hash);
    Out.byte(Entry.Age.Bits);
  }
  Out.varint(Ack.Records.size());
  for (const AgedRecord &Entry : Ack.Records) {
    write(Out, Entry.Record);
    Out.byte(Entry.Age.Bits);
  }
}

void write(ByteWriter &Out, const GossipLeave &Leave) {
  Out.byte(static_cast<std::uint8_t>(Kind::Leave));
  write(Out, Leave.Sender);
}

GossipProbe readProbe(ByteReader &In) {
  GossipProbe Probe;
  Probe.Number = In.varint();
  Probe.MembersHash = In.fixed32();
  Probe.Sender = readRecord(In);
  return Probe;
}

/// @brief Number of entries that follow; 0 if the message is too short.
std::size_t readCount(ByteReader &In, std::size_t BytesEach) {
  std::uint64_t Count = In.varint();
  return Count <= In.remaining() / BytesEach ? Count : 0;
}

GossipAck readAck(ByteReader &In) {
  GossipAck Ack;
  Ack.Number = In.varint();
  Ack.Sender = readRecord(In);
  Ack.RulesRevision = Revision(In.varint());
  Ack.Object = In.text();
  Ack.StoreAge.Bits = In.byte();
  Ack.Attests = In.byte() != 0;
  Ack.Ages.resize(readCount(In, 1));
  for (LivenessAge &Age : Ack.Ages)
    Age.Bits = In.byte();
  Ack.HashedAges.resize(readCount(In, HashedAgeBytes));
  for (HashedAge &Entry : Ack.HashedAges) {
    Entry.Hash = In.fixed32();
    Entry.Age.Bits = In.byte();
  }
  Ack.Records.resize(readCount(In, 1));
  for (AgedRecord &Entry : Ack.Records) {
    Entry.Record = readRecord(In);
    Entry.Age.Bits = In.byte();
  }
  return Ack;
}

std::optional<GossipMessage> readMessage(ByteReader &In) {
  switch (static_cast<Kind>(In.byte())) {
  case Kind::Probe:
    return readProbe(In);
  case Kind::Ack:
    return readAck(In);
  case Kind::Leave:
    return GossipLeave{readRecord(In)};
  }
  return std::nullopt;
}

} // namespace

LivenessAge LivenessAge::fromDuration(Duration Age, bool Attested) {
  auto Steps = (Age + Step - Duration(1)) / Step;
  auto Bounded = std::clamp<std::int64_t>(Steps, 0, MaxSteps);
  auto Bits = static_cast<std::uint8_t>(Bounded);
  return {static_cast<std::uint8_t>(Attested ? Bits | AttestBit : Bits)};
}

std::string encodeGossip(const GossipMessage &Message) {
  ByteWriter Out;
  std::visit([&Out](const auto &Alternative) { write(Out, Alternative); },
             Message);
  return Out.release();
}

std::optional<GossipMessage> decodeGossip(std::string_view Bytes) {
  ByteReader In(Bytes);
  std::optional<GossipMessage> Message = readMessage(In);
  return In.isComplete() ? Message : std::nullopt;
}

std::uint32_t recordHash(const MemberRecord &Record) {
  ByteWriter Out;
  write(Out, Record);
  std::string Bytes = Out.release();
  return static_cast<std::uint32_t>(XXH3_64bits(Bytes.data(), Bytes.size()));
}

} // namespace bergamotstage
