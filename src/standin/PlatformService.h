#ifndef BERGAMOTSTAGE_STANDIN_PLATFORMSERVICE_H
#define BERGAMOTSTAGE_STANDIN_PLATFORMSERVICE_H

#include "platform.grpc.pb.h"
#include "standin/Store.h"
#include "standin/TargetServer.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace bergamotstage::standin {

/// @brief Faults that are injected into the stand-in platform.
struct PlatformFaults {
  bool StoreDown = false;
  Duration StoreDelay{};
  bool LoseWriteAnswer = false;
  bool LosePromoteAnswer = false;
};

/// @brief State that the services of the stand-in platform share.
struct SharedPlatform {
  std::mutex Lock;
  Store Stored;
  std::vector<ListedVm> Vms;
  PlatformFaults Faults;
  std::map<DatabaseId, std::shared_ptr<SharedGroup>> Groups;
};

/// @brief Implements the platform's calls that platform.proto defines.
class PlatformService final : public wire::platform::Platform::Service {
public:
  explicit PlatformService(std::shared_ptr<SharedPlatform> Shared)
      : m_Shared(std::move(Shared)) {}

  grpc::Status ReadRows(grpc::ServerContext *Context,
                        const wire::platform::ReadRowsRequest *Request,
                        wire::platform::ReadRowsAnswer *Answer) override;
  grpc::Status Write(grpc::ServerContext *Context,
                     const wire::platform::WriteRequest *Request,
                     wire::platform::WriteAnswer *Answer) override;
  grpc::Status ReadFate(grpc::ServerContext *Context,
                        const wire::platform::FateRequest *Request,
                        wire::platform::WriteAnswer *Answer) override;
  grpc::Status PutObject(grpc::ServerContext *Context,
                         const wire::platform::PutObjectRequest *Request,
                         wire::platform::PutObjectAnswer *Answer) override;
  grpc::Status GetObject(grpc::ServerContext *Context,
                         const wire::platform::GetObjectRequest *Request,
                         wire::platform::GetObjectAnswer *Answer) override;
  grpc::Status ListVms(grpc::ServerContext *Context,
                       const wire::platform::ListVmsRequest *Request,
                       wire::platform::ListVmsAnswer *Answer) override;
  grpc::Status ReadGroups(grpc::ServerContext *Context,
                          const wire::platform::ReadGroupsRequest *Request,
                          wire::platform::ReadGroupsAnswer *Answer) override;
  grpc::Status Promote(grpc::ServerContext *Context,
                       const wire::platform::PromoteRequest *Request,
                       wire::platform::PromoteAnswer *Answer) override;

private:
  /// @brief Waits for the injected store delay.
  /// @return UNAVAILABLE while the store is down
  grpc::Status checkStore();

  std::shared_ptr<SharedPlatform> m_Shared;
};

/// @brief Injects faults into the stand-in platform and its targets.
class FaultService final : public wire::platform::StandIn::Service {
public:
  explicit FaultService(std::shared_ptr<SharedPlatform> Shared)
      : m_Shared(std::move(Shared)) {}

  grpc::Status SetFault(grpc::ServerContext *Context,
                        const wire::platform::FaultRequest *Request,
                        wire::platform::FaultAnswer *Answer) override;

private:
  bool setStoreFault(const wire::platform::FaultRequest &Request);
  /// @return false if the platform lists no such VM
  bool setLeaving(const VmId &Name, bool Leaving);
  bool setTargetFault(const wire::platform::FaultRequest &Request);

  std::shared_ptr<SharedPlatform> m_Shared;
};

} // namespace bergamotstage::standin

#endif // BERGAMOTSTAGE_STANDIN_PLATFORMSERVICE_H
