#ifndef BERGAMOTSTAGE_POOLING_RENEWALBATCHER_H
#define BERGAMOTSTAGE_POOLING_RENEWALBATCHER_H

#include "bergamotstage/core/PlatformApi.h"
#include "bergamotstage/pooling/Context.h"
#include "bergamotstage/pooling/FleetMessage.h"

#include <functional>
#include <map>
#include <vector>

namespace bergamotstage::pooling {

/// @brief Renews the rows of many VMs in one transaction of the store.
///
/// Each request counts from the time at which its VM sent it, so that a batch
/// that waits or is slow shortens a lease and never extends it.
class RenewalBatcher {
public:
  using PlatformCallback = std::function<void(const PlatformAnswer &)>;
  struct Hooks {
    std::function<void(PlatformRequest, PlatformCallback)> CallPlatform;
    std::function<void(const VmId &, FleetMessage &&)> SendReply;
  };

  /// Longest time that a request waits for others.
  static constexpr Duration MaxDelay = seconds(3);

  RenewalBatcher(Context &Ctx, Hooks Callbacks)
      : m_Context(Ctx), m_Hooks(std::move(Callbacks)) {}

  /// @brief Adds a VM's request; replaces an earlier one that still waits.
  void add(const VmId &From, const RenewalRequest &Request);

private:
  using Batch = std::map<VmId, RenewalRequest>;

  void writeBatch();

  Context &m_Context;
  Hooks m_Hooks;
  Batch m_Waiting;
  std::optional<TimerId> m_Timer;
};

} // namespace bergamotstage::pooling

#endif // BERGAMOTSTAGE_POOLING_RENEWALBATCHER_H
