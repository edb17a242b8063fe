#ifndef BERGAMOTSTAGE_POOLING_CONFIGEXCHANGE_H
#define BERGAMOTSTAGE_POOLING_CONFIGEXCHANGE_H

#include "bergamotstage/fleet/TextDelta.h"
#include "bergamotstage/pooling/Context.h"
#include "bergamotstage/pooling/FleetMessage.h"
#include "bergamotstage/pooling/RankedMembers.h"
#include "bergamotstage/pooling/SiteConfig.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace bergamotstage::pooling {

/// @brief Transfers configurations between VMs.
///
/// A VM fetches one configuration at a time: from another VM, and from the
/// store if no VM replies. Configurations grow with the routes while most
/// changes are small, so VMs send each other only what differs. In each data
/// centre, one VM gets a change from outside and passes it on.
class ConfigExchange {
public:
  struct Hooks {
    std::function<void(const VmId &, FleetMessage &&)> SendRequest;
    std::function<void(const VmId &, FleetMessage &&)> SendReply;
    std::function<const RankedMembers &()> Members;
    /// Reads the configuration from the store at once.
    std::function<void()> ReadStore;
    /// Parses a text from another VM, which took a number of bytes, and passes
    /// it to accept().
    std::function<void(const VmId &, const std::string &, std::size_t)> Apply;
  };

  ConfigExchange(Context &Ctx, Hooks Callbacks)
      : m_Context(Ctx), m_Hooks(std::move(Callbacks)) {}

  /// @brief Takes note of a configuration that was read.
  /// @return whether it is newer than the one in force
  bool accept(const ReceivedConfig &Received);
  /// @brief Sends the configuration in force to VMs that asked before.
  void sendToWaiting();

  /// @brief Another VM has this version; fetches it if it is newer.
  void onPeerVersion(const VmId &From, std::uint64_t Version);
  void onRequest(const VmId &From, const ConfigRequest &Request);
  void onText(const VmId &From, const ConfigText &Reply);

  const ConfigCounts &counts() const { return m_Counts; }

private:
  struct StoredText {
    TextDigest Digest;
    std::string Text;
  };

  struct WaitingRequest {
    TextDigest Base;
    Instant Until;
  };

  /// @brief The VM of this data centre that passes changes on to the others.
  const VmId &distributor() const;
  void startFetch();
  void request(const VmId &From, TextDigest Base);
  void requestFromDistributor();
  void requestFromHolder();
  void readStore();
  void endFetch();
  void scheduleStep(Duration Delay, void (ConfigExchange::*Step)());
  void countOutdated(std::uint64_t Version, const std::string &Source,
                     std::size_t Bytes);
  const StoredText *findText(TextDigest Digest) const;
  TextDigest currentDigest() const;
  void sendText(const VmId &To, TextDigest Base);

  Context &m_Context;
  Hooks m_Hooks;
  std::uint64_t m_Version = 0;
  std::deque<StoredText> m_Texts; ///< The one in force first, then older ones.
  /// The text in force as a difference from another text.
  std::map<TextDigest, std::string> m_Compressed;
  std::map<VmId, WaitingRequest> m_Waiting; ///< No newer text was known.

  std::uint64_t m_KnownVersion = 0;     ///< The newest one that any VM has.
  VmId m_Holder;                        ///< The VM that reported it.
  std::optional<Instant> m_BehindSince; ///< A newer version exists since.
  std::optional<TimerId> m_NextStep;    ///< Of the fetch, if one runs.
  ConfigCounts m_Counts;
};

} // namespace bergamotstage::pooling

#endif // BERGAMOTSTAGE_POOLING_CONFIGEXCHANGE_H
