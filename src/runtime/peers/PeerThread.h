#ifndef BERGAMOTSTAGE_RUNTIME_PEERS_PEERTHREAD_H
#define BERGAMOTSTAGE_RUNTIME_PEERS_PEERTHREAD_H

#include "peer.grpc.pb.h"
#include "runtime/CallQueue.h"
#include "runtime/Commands.h"

#include <grpcpp/grpcpp.h>

#include <map>
#include <memory>
#include <string>
#include <thread>

namespace bergamotstage::runtime {

/// @brief The thread that sends messages to other VMs over gRPC.
///
/// A message that cannot be delivered in time is dropped; the components of the
/// node retry where necessary.
class PeerThread {
public:
  PeerThread(VmId Self, Incarnation Start,
             std::shared_ptr<grpc::ChannelCredentials> Credentials);
  ~PeerThread();
  PeerThread(const PeerThread &) = delete;
  PeerThread &operator=(const PeerThread &) = delete;

  void start();
  void stop();

  /// @brief Queues a message; false if the queue is full.
  bool push(SendPeer &&Message);

private:
  struct Delivery;

  void run();
  void startDelivery(const SendPeer &Message);

  VmId m_Self;
  Incarnation m_Start;
  std::shared_ptr<grpc::ChannelCredentials> m_Credentials;
  std::map<std::string, std::unique_ptr<wire::peer::Peer::Stub>> m_Stubs;
  CallQueue<SendPeer> m_Queue;
  std::thread m_Thread;
};

/// @brief Receives messages from other VMs.
class PeerService final : public wire::peer::Peer::Service {
public:
  explicit PeerService(EventSink Events) : m_Events(std::move(Events)) {}

  grpc::Status Deliver(grpc::ServerContext *Context,
                       const wire::peer::Envelope *Message,
                       wire::peer::Received *Answer) override;

private:
  EventSink m_Events;
};

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_PEERS_PEERTHREAD_H
