#ifndef BERGAMOTSTAGE_RUNTIME_PLATFORM_PLATFORMCALLS_H
#define BERGAMOTSTAGE_RUNTIME_PLATFORM_PLATFORMCALLS_H

#include "bergamotstage/core/PlatformApi.h"
#include "platform.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <memory>

namespace bergamotstage::runtime {

/// @brief An in-flight call to the platform.
class PendingCall {
public:
  PendingCall() = default;
  virtual ~PendingCall() = default;
  PendingCall(const PendingCall &) = delete;
  PendingCall &operator=(const PendingCall &) = delete;

  /// @brief Sends the call with this object as the tag.
  virtual void start(wire::platform::Platform::Stub &Stub,
                     grpc::CompletionQueue &Queue) = 0;

  /// @brief Returns the answer after the queue has returned the tag.
  virtual PlatformAnswer answer() = 0;

  CallId Id;
  grpc::ClientContext Context;
};

/// @brief Creates the gRPC call for a request.
std::unique_ptr<PendingCall> makeCall(const PlatformRequest &Request);

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_PLATFORM_PLATFORMCALLS_H
