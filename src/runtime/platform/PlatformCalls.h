#ifndef BERGAMOTSTAGE_RUNTIME_PLATFORM_PLATFORMCALLS_H
#define BERGAMOTSTAGE_RUNTIME_PLATFORM_PLATFORMCALLS_H

#include "bergamotstage/core/PlatformApi.h"
#include "platform.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <memory>

namespace bergamotstage::runtime {

/// @brief One call to the platform that has not ended yet.
class PendingCall {
public:
  PendingCall() = default;
  virtual ~PendingCall() = default;
  PendingCall(const PendingCall &) = delete;
  PendingCall &operator=(const PendingCall &) = delete;

  /// @brief Sends the call; the queue returns this object as the tag.
  virtual void begin(wire::platform::Platform::Stub &Stub,
                     grpc::CompletionQueue &Queue) = 0;

  /// @brief The answer, once the queue has returned the tag.
  virtual PlatformAnswer answer() = 0;

  CallId Id;
  grpc::ClientContext Context;
};

/// @brief Makes the call that carries a request.
std::unique_ptr<PendingCall> makeCall(const PlatformRequest &Request);

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_PLATFORM_PLATFORMCALLS_H
