#include "runtime/peers/ForwardTransport.h"

#include "runtime/peers/HomeStream.h"
#include "runtime/peers/OriginStream.h"

#include <iterator>
#include <utility>

namespace bergamotstage::runtime {
namespace {

/// @brief Below the largest message that gRPC takes by default, 4 MiB.
constexpr std::size_t MaxFrameBytes = std::size_t{3} << 20U;
/// @brief Channels kept for VMs that may come back.
constexpr std::size_t MaxChannels = 1024;
constexpr int KeepaliveIntervalMilliseconds = 2000;
constexpr int KeepaliveTimeoutMilliseconds = 2000;
constexpr int ReconnectLeastMilliseconds = 100;
constexpr int ReconnectMostMilliseconds = 1000;

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
                   ReconnectLeastMilliseconds);
  Arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS,
                   ReconnectLeastMilliseconds);
  Arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS,
                   ReconnectMostMilliseconds);
  return Arguments;
}

} // namespace

/// @brief Keeps the streams that lead to this VM.
class ForwardTransport::Service final
    : public wire::peer::Forwarding::CallbackService {
public:
  explicit Service(ForwardTransport &Owner) : m_Owner(Owner) {}

  grpc::ServerBidiReactor<ForwardFrame, ForwardFrame> *
  Carry(grpc::CallbackServerContext *) override {
    HomeStream::Hooks Hooks;
    Hooks.Requested = m_Owner.m_Hooks.Requested;
    Hooks.Ended = [this](const ForwardOrigin &Origin) { ended(Origin); };
    std::shared_ptr<HomeStream> Stream;
    {
      std::lock_guard<std::mutex> Guard(m_Lock);
      Stream = std::make_shared<HomeStream>(
          ++m_Last, helloFrame(m_Owner.m_Self, m_Owner.m_Start),
          std::move(Hooks));
      m_Streams[m_Last] = Stream;
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
  void ended(const ForwardOrigin &Origin) {
    std::shared_ptr<HomeStream> Gone;
    {
      std::lock_guard<std::mutex> Guard(m_Lock);
      auto Found = m_Streams.find(Origin.Stream);
      Gone = std::move(Found->second);
      m_Streams.erase(Found);
    }
    m_Owner.m_Hooks.OriginLost(Origin);
  }

  ForwardTransport &m_Owner;
  std::mutex m_Lock;
  std::uint64_t m_Last = 0;
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
  auto Made = Channel;
  if (m_Channels.size() > MaxChannels)
    dropUnusedChannels();
  return Made;
}

void ForwardTransport::dropUnusedChannels() {
  for (auto Next = m_Channels.begin(); Next != m_Channels.end();) {
    bool Unused =
        m_Origins.count(Next->first) == 0 && Next->second.use_count() == 1;
    Next = Unused ? m_Channels.erase(Next) : std::next(Next);
  }
}

std::shared_ptr<OriginStream>
ForwardTransport::openStream(const std::string &Address, ForwardFrame First) {
  OriginStream::Hooks Hooks;
  Hooks.Answered = m_Hooks.Answered;
  Hooks.Lost = m_Hooks.Lost;
  Hooks.Ended = [this, Address](OriginStream *Ended) {
    originEnded(Address, Ended);
  };
  auto Stream =
      std::make_shared<OriginStream>(channelTo(Address), std::move(Hooks));
  m_Open.insert(Stream.get());
  Stream->start(helloFrame(m_Self, m_Start), std::move(First));
  return Stream;
}

bool ForwardTransport::send(const std::string &Address, ForwardFrame Frame) {
  std::lock_guard<std::mutex> Guard(m_Lock);
  if (m_Stopped || Frame.ByteSizeLong() > MaxFrameBytes)
    return false;
  auto &Stream = m_Origins[Address];
  bool Opens = Frame.has_statement();
  if (Stream) {
    OriginStream::SendResult Result = Stream->send(std::move(Frame));
    if (Result != OriginStream::SendResult::Closed)
      return Result == OriginStream::SendResult::Accepted;
  }
  // Credit and ends of callers belong to a stream that is gone.
  if (!Opens)
    return false;
  // NOLINTNEXTLINE(bugprone-use-after-move): a closed stream takes nothing.
  Stream = openStream(Address, std::move(Frame));
  return true;
}

bool ForwardTransport::reply(std::uint64_t Stream, ForwardFrame Frame) {
  std::shared_ptr<HomeStream> Found = m_Service->find(Stream);
  return Found && Found->send(std::move(Frame));
}

void ForwardTransport::originEnded(const std::string &Address,
                                   OriginStream *Ended) {
  std::lock_guard<std::mutex> Guard(m_Lock);
  m_Open.erase(Ended);
  auto Found = m_Origins.find(Address);
  if (Found != m_Origins.end() && Found->second.get() == Ended)
    m_Origins.erase(Found);
  m_OriginEnded.notify_all();
}

void ForwardTransport::stop() {
  std::unique_lock<std::mutex> Guard(m_Lock);
  m_Stopped = true;
  for (OriginStream *Stream : m_Open)
    Stream->cancel();
  m_OriginEnded.wait(Guard, [this] { return m_Open.empty(); });
}

} // namespace bergamotstage::runtime
