#include "runtime/peers/PeerThread.h"

#include <chrono>
#include <utility>

namespace bergamotstage::runtime {
namespace {

constexpr std::size_t QueueCapacity = 4096;
constexpr auto DeliveryTimeout = std::chrono::seconds(1);
constexpr std::uint32_t LastChannel =
    static_cast<std::uint32_t>(PeerChannel::Forwarding);

} // namespace

/// @brief State of an in-flight message.
struct PeerThread::Delivery {
  grpc::ClientContext Context;
  wire::peer::Received Answer;
  grpc::Status Status;
  std::unique_ptr<grpc::ClientAsyncResponseReader<wire::peer::Received>> Reader;
};

PeerThread::PeerThread(VmId Self, Incarnation Start,
                       std::shared_ptr<grpc::ChannelCredentials> Credentials)
    : m_Self(std::move(Self)), m_Start(Start),
      m_Credentials(std::move(Credentials)), m_Queue(QueueCapacity) {}

PeerThread::~PeerThread() { stop(); }

void PeerThread::start() {
  m_Thread = std::thread([this] { run(); });
}

void PeerThread::stop() {
  if (!m_Thread.joinable())
    return;
  m_Queue.stop();
  m_Thread.join();
}

bool PeerThread::push(SendPeer &&Message) {
  return m_Queue.push(std::move(Message));
}

void PeerThread::run() {
  m_Queue.run([this](const SendPeer &Next) { startDelivery(Next); },
              [](void *Tag) {
                std::unique_ptr<Delivery>(static_cast<Delivery *>(Tag)).reset();
              });
}

void PeerThread::startDelivery(const SendPeer &Message) {
  auto &Stub = m_Stubs[Message.Address];
  if (!Stub)
    Stub = wire::peer::Peer::NewStub(
        grpc::CreateChannel(Message.Address, m_Credentials));
  wire::peer::Envelope Envelope;
  Envelope.set_from(m_Self.value());
  Envelope.set_incarnation(m_Start.value());
  Envelope.set_duty(static_cast<std::uint32_t>(Message.Message.Channel));
  Envelope.set_payload(Message.Message.Payload);
  auto Call = std::make_unique<Delivery>();
  Call->Context.set_deadline(std::chrono::system_clock::now() +
                             DeliveryTimeout);
  Call->Reader =
      Stub->AsyncDeliver(&Call->Context, Envelope, &m_Queue.completions());
  Call->Reader->Finish(&Call->Answer, &Call->Status, Call.get());
  // The completion queue owns the delivery until it returns the tag.
  static_cast<void>(Call.release());
}

grpc::Status PeerService::Deliver(grpc::ServerContext *,
                                  const wire::peer::Envelope *Message,
                                  wire::peer::Received *) {
  if (Message->duty() > LastChannel)
    return {grpc::StatusCode::INVALID_ARGUMENT, "unknown duty"};
  PeerReceived Event;
  Event.From = VmId(Message->from());
  Event.FromIncarnation = Incarnation(Message->incarnation());
  Event.Message.Channel = static_cast<PeerChannel>(Message->duty());
  Event.Message.Payload = Message->payload();
  if (!m_Events(std::move(Event)))
    return {grpc::StatusCode::RESOURCE_EXHAUSTED, "overloaded"};
  return grpc::Status::OK;
}

} // namespace bergamotstage::runtime
