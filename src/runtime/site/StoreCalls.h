#ifndef BERGAMOTSTAGE_RUNTIME_SITE_STORECALLS_H
#define BERGAMOTSTAGE_RUNTIME_SITE_STORECALLS_H

#include "bergamotstage/core/Ids.h"
#include "bergamotstage/core/PlatformApi.h"
#include "runtime/site/HttpClient.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace bergamotstage::runtime {

/// @brief Sends the node's requests to the store and the promotion service.
///
/// Each service has several connections, so that a call that hangs does not
/// block the next one.
class StoreCalls {
public:
  using Callback = std::function<void(const PlatformAnswer &)>;

  StoreCalls(asio::io_context &Io, VmId Self, const std::string &StoreAddress,
             const std::string &PromotionAddress);

  void call(const PlatformRequest &Request, Callback OnAnswer);

private:
  static HttpClient &
  selectClient(std::vector<std::unique_ptr<HttpClient>> &Clients);

  VmId m_Self;
  std::vector<std::unique_ptr<HttpClient>> m_Store;
  std::vector<std::unique_ptr<HttpClient>> m_Promotion;
};

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_SITE_STORECALLS_H
