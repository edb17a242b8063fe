#include "runtime/peers/ForwardTransport.h"

#include "runtime/peers/HomeStream.h"
#include "runtime/peers/OriginStream.h"

#include <iterator>
#include <utility>

namespace bergamotstage::runtime {
namespace {

/// @brief Below the default maximum message size of gRPC, 4 MiB.
constexpr std::size_t MaxFrameBytes = std::size_t{3} << 20U;
/// @brief Unused channels beyond this number are closed.
constexpr std::size_t MaxChannels = 1024;
constexpr int KeepaliveIntervalMilliseconds = 2000;
constexpr int KeepaliveTimeoutMilliseconds = 2000;
constexpr int MinReconnectBackoffMilliseconds = 100;
constexpr int MaxReconnectBackoffMilliseconds = 1000;

ForwardFrame helloFrame(const VmId &Self, Incarnation Start) {
  ForwardFrame Frame;
  Frame.mutable_hello()->set_vm(Self.value());
  Frame.mutable_hello()->set_incarnation(Start.value());
  return Frame;
}

grpc::ChannelArguments channelArguments() {
  grpc::ChannelArguments Arguments;
  Arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, KeepaliveIntervalMilliseconds);
  Arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, KeepaliveTimeoutMilliseconds);
  Arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
  Arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS,
                   MinReconnectBackoffMilliseconds);
  Arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS,
                   MinReconnectBackoffMilliseconds);
  Arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS,
                   MaxReconnectBackoffMilliseconds);
  return Arguments;
}

} // namespace

/// @brief Accepts the streams that origins open to this VM.
class ForwardTransport::Service final
    : public wire::peer::Forwarding::CallbackService {
public:
  explicit Service(ForwardTransport &Owner) : m_Owner(Owner) {}

  grpc::ServerBidiReactor<ForwardFrame, ForwardFrame> *
  Carry(grpc::CallbackServerContext *) override {
    HomeStream::Hooks Hooks;
    Hooks.OnRequest = m_Owner.m_Hooks.OnRequest;
    Hooks.OnEnded = [this](const ForwardOrigin &Origin) { onEnded(Origin); };
    std::shared_ptr<HomeStream> Stream;
    {
      std::lock_guard<std::mutex> Guard(m_Lock);
      Stream = std::make_shared<HomeStream>(
          ++m_LastNumber, helloFrame(m_Owner.m_Self, m_Owner.m_Start),
          std::move(Hooks));
      m_Streams[m_LastNumber] = Stream;
    }
    Stream->start();
    return Stream.get();
  }

  std::shared_ptr<HomeStream> find(std::uint64_t Number) {
    std::lock_guard<std::mutex> Guard(m_Lock);
    auto Found = m_Streams.find(Number);
    return Found == m_Streams.end() ? nullptr : Found->second;
  }

private:
  void onEnded(const ForwardOrigin &Origin) {
    std::shared_ptr<HomeStream> Removed;
    {
      std::lock_guard<std::mutex> Guard(m_Lock);
      auto Found = m_Streams.find(Origin.Stream);
      Removed = std::move(Found->second);
      m_Streams.erase(Found);
    }
    m_Owner.m_Hooks.OnOriginLost(Origin);
  }

  ForwardTransport &m_Owner;
  std::mutex m_Lock;
  std::uint64_t m_LastNumber = 0;
  std::map<std::uint64_t, std::shared_ptr<HomeStream>> m_Streams;
};

ForwardTransport::ForwardTransport(
    VmId Self, Incarnation Start,
    std::shared_ptr<grpc::ChannelCredentials> Credentials, ForwardHooks Hooks)
    : m_Self(std::move(Self)), m_Start(Start),
      m_Credentials(std::move(Credentials)), m_Hooks(std::move(Hooks)),
      m_Service(std::make_unique<Service>(*this)) {}

ForwardTransport::~ForwardTransport() { stop(); }

grpc::Service &ForwardTransport::service() { return *m_Service; }

std::shared_ptr<grpc::Channel>
ForwardTransport::channelTo(const std::string &Address) {
  auto &Channel = m_Channels[Address];
  if (Channel)
    return Channel;
  Channel =
      grpc::CreateCustomChannel(Address, m_Credentials, channelArguments());
  auto Created = Channel;
  if (m_Channels.size() > MaxChannels)
    dropUnusedChannels();
  return Created;
}

void ForwardTransport::dropUnusedChannels() {
  for (auto Position = m_Channels.begin(); Position != m_Channels.end();) {
    bool Unused = m_StreamsByAddress.count(Position->first) == 0 &&
                  Position->second.use_count() == 1;
    Position = Unused ? m_Channels.erase(Position) : std::next(Position);
  }
}

std::shared_ptr<OriginStream>
ForwardTransport::openStream(const std::string &Address, ForwardFrame First) {
  OriginStream::Hooks Hooks;
  Hooks.OnAnswer = m_Hooks.OnAnswer;
  Hooks.OnLost = m_Hooks.OnLost;
  Hooks.OnEnded = [this, Address](OriginStream *Stream) {
    onStreamEnded(Address, Stream);
  };
  auto Stream =
      std::make_shared<OriginStream>(channelTo(Address), std::move(Hooks));
  m_OpenStreams.insert(Stream.get());
  Stream->start(helloFrame(m_Self, m_Start), std::move(First));
  return Stream;
}

bool ForwardTransport::send(const std::string &Address, ForwardFrame Frame) {
  std::lock_guard<std::mutex> Guard(m_Lock);
  if (m_Stopped || Frame.ByteSizeLong() > MaxFrameBytes)
    return false;
  auto &Stream = m_StreamsByAddress[Address];
  bool MayOpenStream = Frame.has_statement();
  if (Stream) {
    OriginStream::SendResult Result = Stream->send(std::move(Frame));
    if (Result != OriginStream::SendResult::Closed)
      return Result == OriginStream::SendResult::Accepted;
  }
  // Credit and caller disconnects are obsolete once their stream has ended.
  if (!MayOpenStream)
    return false;
  // NOLINTNEXTLINE(bugprone-use-after-move): a closed stream moves nothing.
  Stream = openStream(Address, std::move(Frame));
  return true;
}

bool ForwardTransport::reply(std::uint64_t Stream, ForwardFrame Frame) {
  std::shared_ptr<HomeStream> Found = m_Service->find(Stream);
  return Found && Found->send(std::move(Frame));
}

void ForwardTransport::onStreamEnded(const std::string &Address,
                                     OriginStream *Stream) {
  std::lock_guard<std::mutex> Guard(m_Lock);
  m_OpenStreams.erase(Stream);
  auto Found = m_StreamsByAddress.find(Address);
  if (Found != m_StreamsByAddress.end() && Found->second.get() == Stream)
    m_StreamsByAddress.erase(Found);
  m_StreamEnded.notify_all();
}

void ForwardTransport::stop() {
  std::unique_lock<std::mutex> Guard(m_Lock);
  m_Stopped = true;
  for (OriginStream *Stream : m_OpenStreams)
    Stream->cancel();
  m_StreamEnded.wait(Guard, [this] { return m_OpenStreams.empty(); });
}

} // namespace bergamotstage::runtime
