#include "runtime/site/PeerStreams.h"

#include "bergamotstage/fleet/detail/ByteCodec.h"
#include "runtime/site/Listener.h"

#include <utility>
#include <variant>

namespace bergamotstage::runtime {
namespace {

using pooling::FleetMessage;
using pooling::Hello;

constexpr std::size_t LengthBytes = 4;
/// Detects dead peers in addition to the node's heartbeats, also on idle
/// streams.
constexpr Duration SilenceTimeout = seconds(4);
/// Time that a connecting VM has for its Hello message.
constexpr Duration IntroductionTimeout = seconds(3);

} // namespace

std::string PeerStreams::encodeFrame(const FleetMessage &Message) {
  std::string Body = pooling::encodeMessage(Message);
  m_Traffic.record(Message, fleetcost::Direction::Sent, Body.size());
  detail::ByteWriter Out;
  Out.fixed32(static_cast<std::uint32_t>(Body.size()));
  return Out.release() + Body;
}

std::optional<FleetMessage> PeerStreams::decodeBody(std::string_view Body) {
  auto Decoded = pooling::decodeMessage(Body);
  if (Decoded)
    m_Traffic.record(*Decoded, fleetcost::Direction::Received, Body.size());
  return Decoded;
}

bool PeerStreams::FrameReader::add(
    std::string_view Bytes,
    const std::function<bool(std::string_view)> &OnMessage) {
  m_Bytes.append(Bytes);
  std::size_t At = 0;
  while (m_Bytes.size() - At >= LengthBytes) {
    detail::ByteReader In(std::string_view(m_Bytes).substr(At, LengthBytes));
    std::size_t Length = In.fixed32();
    if (Length > MaxFrameBytes)
      return false;
    if (m_Bytes.size() - At - LengthBytes < Length)
      break;
    if (!OnMessage(std::string_view(m_Bytes).substr(At + LengthBytes, Length)))
      return false;
    At += LengthBytes + Length;
  }
  m_Bytes.erase(0, At);
  return true;
}

tl::expected<std::unique_ptr<PeerStreams>, std::string>
PeerStreams::listen(asio::io_context &Io, const std::string &Address,
                    Hooks Callbacks) {
  auto Streams = std::make_unique<PeerStreams>(Io, std::move(Callbacks));
  PeerStreams *Self = Streams.get();
  Listener::Hooks Hooks;
  Hooks.Accepted = [Self](asio::ip::tcp::socket Socket) {
    Self->onAccepted(std::move(Socket));
  };
  Hooks.Failed = Self->m_Hooks.Refused;
  auto Opened = Listener::open(Io, Address, std::move(Hooks));
  if (!Opened)
    return tl::make_unexpected(Opened.error());
  Streams->m_Listener = std::move(*Opened);
  return Streams;
}

void PeerStreams::send(const MemberState &To, const FleetMessage &Message) {
  auto Found = m_Outgoing.find(To.Vm);
  if (Found != m_Outgoing.end())
    return Found->second->send(encodeFrame(Message));
  auto Reader = std::make_shared<FrameReader>();
  VmId Vm = To.Vm;
  ByteStream::Hooks Hooks;
  Hooks.Received = [this, Vm, Reader](std::string_view Bytes) {
    bool Valid = Reader->add(Bytes, [this, &Vm](std::string_view Body) {
      auto Decoded = decodeBody(Body);
      if (Decoded)
        m_Hooks.Received(Vm, std::move(*Decoded));
      return Decoded.has_value();
    });
    if (Valid)
      return;
    m_Hooks.Refused("malformed message from " + Vm.value());
    drop(Vm);
    m_Hooks.Lost(Vm);
  };
  Hooks.Ended = [this, Vm](const std::string &) {
    m_Outgoing.erase(Vm);
    m_Hooks.Lost(Vm);
  };
  auto Stream = ByteStream::connect(m_Io, To.PeerAddress, SilenceTimeout,
                                    std::move(Hooks));
  m_Outgoing[Vm] = Stream;
  Stream->send(encodeFrame(m_Hooks.MakeHello()));
  Stream->send(encodeFrame(Message));
}

void PeerStreams::reply(const VmId &To, const FleetMessage &Message) {
  auto Found = m_Incoming.find(To);
  if (Found != m_Incoming.end())
    Found->second->send(encodeFrame(Message));
}

void PeerStreams::drop(const VmId &Vm) {
  auto Found = m_Outgoing.find(Vm);
  if (Found == m_Outgoing.end())
    return;
  auto Stream = Found->second;
  m_Outgoing.erase(Found);
  Stream->close();
}

void PeerStreams::onAccepted(asio::ip::tcp::socket Socket) {
  auto Source = std::make_shared<Incoming>();
  ByteStream::Hooks Hooks;
  Hooks.Received = [this, Source](std::string_view Bytes) {
    handleBytes(Source, Bytes);
  };
  Hooks.Ended = [this, Source](const std::string &) {
    auto Found = m_Incoming.find(Source->Vm);
    bool IsCurrentStream =
        Found != m_Incoming.end() && Found->second == Source->Stream.lock();
    if (!IsCurrentStream)
      return;
    m_Incoming.erase(Found);
    m_Hooks.OriginLost(Source->Vm);
  };
  auto Stream =
      ByteStream::adopt(std::move(Socket), SilenceTimeout, std::move(Hooks));
  Source->Stream = Stream;
  Stream->setDeadline(IntroductionTimeout, "no Hello message in time");
}

bool PeerStreams::handleIntroduction(const std::shared_ptr<Incoming> &Source,
                                     const FleetMessage &First) {
  const auto *Introduction = std::get_if<Hello>(&First);
  auto Stream = Source->Stream.lock();
  if (Introduction == nullptr || !Stream)
    return false;
  Stream->cancelDeadline();
  Source->Vm = Introduction->Vm;
  auto Found = m_Incoming.find(Introduction->Vm);
  if (Found != m_Incoming.end()) {
    // A new stream from the same VM invalidates the requests of the old one.
    auto Old = Found->second;
    m_Incoming.erase(Found);
    Old->close();
    m_Hooks.OriginLost(Introduction->Vm);
  }
  m_Incoming[Introduction->Vm] = Stream;
  return true;
}

void PeerStreams::handleBytes(const std::shared_ptr<Incoming> &Source,
                              std::string_view Bytes) {
  bool Valid = Source->Reader.add(Bytes, [&](std::string_view Body) {
    auto Decoded = decodeBody(Body);
    if (!Decoded)
      return false;
    if (Source->Vm.value().empty() && !handleIntroduction(Source, *Decoded))
      return false;
    m_Hooks.Received(Source->Vm, std::move(*Decoded));
    return true;
  });
  if (Valid)
    return;
  m_Hooks.Refused("malformed message from " + Source->Vm.value());
  auto Stream = Source->Stream.lock();
  if (!Stream)
    return;
  Stream->close();
  auto Found = m_Incoming.find(Source->Vm);
  if (Found != m_Incoming.end() && Found->second == Stream) {
    m_Incoming.erase(Found);
    m_Hooks.OriginLost(Source->Vm);
  }
}

} // namespace bergamotstage::runtime
