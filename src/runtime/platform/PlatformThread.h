#ifndef BERGAMOTSTAGE_RUNTIME_PLATFORM_PLATFORMTHREAD_H
#define BERGAMOTSTAGE_RUNTIME_PLATFORM_PLATFORMTHREAD_H

#include "platform.grpc.pb.h"
#include "runtime/CallQueue.h"
#include "runtime/Commands.h"

#include <grpcpp/grpcpp.h>

#include <memory>
#include <string>
#include <thread>

namespace bergamotstage::runtime {

/// @brief The thread that calls the platform over gRPC.
///
/// Each call ends with exactly one PlatformAnswered, no later than its timeout.
class PlatformThread {
public:
  PlatformThread(const std::string &Address,
                 const std::shared_ptr<grpc::ChannelCredentials> &Credentials,
                 EventSink Events);
  ~PlatformThread();
  PlatformThread(const PlatformThread &) = delete;
  PlatformThread &operator=(const PlatformThread &) = delete;

  void start();
  void stop();

  /// @brief Queues a call; false if the queue is full.
  bool push(CallPlatform &&Call);

private:
  void run();
  void startCall(const CallPlatform &Call);
  void finishCall(void *Tag);

  std::shared_ptr<grpc::Channel> m_Channel;
  std::unique_ptr<wire::platform::Platform::Stub> m_Stub;
  EventSink m_Events;
  CallQueue<CallPlatform> m_Queue;
  std::thread m_Thread;
};

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_PLATFORM_PLATFORMTHREAD_H
