#ifndef BERGAMOTSTAGE_POOLING_POOLNODE_H
#define BERGAMOTSTAGE_POOLING_POOLNODE_H

#include "bergamotstage/balancing/TargetSelector.h"
#include "bergamotstage/core/PlatformApi.h"
#include "bergamotstage/metrics/Registry.h"
#include "bergamotstage/pooling/ConfigExchange.h"
#include "bergamotstage/pooling/Context.h"
#include "bergamotstage/pooling/FailoverController.h"
#include "bergamotstage/pooling/FleetMessage.h"
#include "bergamotstage/pooling/FleetRows.h"
#include "bergamotstage/pooling/PeerHealth.h"
#include "bergamotstage/pooling/RankedMembers.h"
#include "bergamotstage/pooling/RenewalBatcher.h"
#include "bergamotstage/pooling/Sessions.h"
#include "bergamotstage/pooling/SiteConfig.h"
#include "bergamotstage/pooling/SitePolicies.h"
#include "bergamotstage/pooling/StoreReaders.h"
#include "bergamotstage/pooling/TargetPool.h"
#include "bergamotstage/pooling/TargetTable.h"
#include "bergamotstage/ratelimit/RateShare.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace bergamotstage::pooling {

using balancing::TargetSelector;
using ratelimit::RateShare;

/// @brief Event-driven core of one VM, for targets that report their own state.
///
/// It reads no clock and opens no socket: each event carries the time, and
/// each action is a call of a hook. The same events at the same times under
/// the same seed cause the same calls.
class PoolNode {
public:
  using PlatformCallback = std::function<void(const PlatformAnswer &)>;
  /// Operations that this VM's pools refused as not run.
  using RefusalCounts =
      std::map<std::pair<NotRunReason, unsigned>, std::uint64_t>;
  struct Hooks {
    std::function<void(CallerId, CallerReply &&)> Answer;
    std::function<void(CallerId)> CloseCaller;
    std::function<void(LinkId, const LinkTarget &)> OpenLink;
    std::function<void(LinkId)> CloseLink;
    std::function<void(LinkId, const LinkRequest &)> SendLink;
    /// Sends on this VM's stream to another VM, opening it if needed.
    std::function<void(const MemberState &, const FleetMessage &)> SendPeer;
    /// Sends on the stream that another VM opened to this one.
    std::function<void(const VmId &, const FleetMessage &)> ReplyPeer;
    /// Closes this VM's stream to another VM.
    std::function<void(const VmId &)> DropPeer;
    std::function<void(PlatformRequest, PlatformCallback)> CallPlatform;
    /// Reads the configuration from the store at once.
    std::function<void()> ReadConfig;
    /// Parses a text from another VM, which took a number of bytes, and passes
    /// it to onConfigRead().
    std::function<void(const VmId &, const std::string &, std::size_t)>
        ApplyConfigText;
    /// Starts or stops following the store's tables.
    std::function<void(const StoreReaders::Following &)> FollowStore;
    std::function<void()> StopAccepting;
    std::function<void()> Exit;
  };
  /// @brief Start-up settings.
  struct Settings {
    MemberState Self;
    Duration Grace = seconds(6); ///< From the signal to the forced exit.
    /// From the acknowledgement of an evacuation until nothing may arrive.
    Duration EvacuationBound = seconds(5);
    /// Region of each data centre, for routes and accounts with home regions.
    std::map<DataCentreId, RegionId> Regions;
    /// A cold target gets the configured statements a second times ColdOverage,
    /// and ColdSlack on top, in any second.
    double ColdOverage = 1.5;
    double ColdSlack = 5;
  };

  PoolNode(Settings Initial, std::uint64_t Seed, Hooks Callbacks);
  PoolNode(const PoolNode &) = delete;
  PoolNode &operator=(const PoolNode &) = delete;

  void setLogHook(Context::LogHook Hook) {
    m_Context.setLogHook(std::move(Hook));
  }

  /// @brief Starts reading the fleet's rows and all periodic work.
  void start(Instant Now);

  // Callers.
  void onCallerOpened(Instant Now, CallerId Caller, std::string Database,
                      std::string Key);
  void onCallerStatement(Instant Now, CallerId Caller, Statement Stmt);
  void onCallerClosed(Instant Now, CallerId Caller);

  // Links to targets.
  void onLinkOpened(Instant Now, LinkId Link,
                    const std::optional<HistoryPoint> &Position);
  void onLinkRefused(Instant Now, LinkId Link, ErrorCode Code);
  void onLinkFailed(Instant Now, LinkId Link, const std::string &Reason);
  void onLinkReply(Instant Now, LinkId Link, LinkReply Reply);

  // Other VMs.
  void onPeerMessage(Instant Now, const VmId &From, FleetMessage Message);
  /// @brief This VM's stream to another VM broke.
  void onPeerLost(Instant Now, const VmId &Vm);
  /// @brief The stream that another VM opened to this one closed.
  void onOriginLost(Instant Now, const VmId &Vm);

  // The platform.
  void onPlatformAnswer(Instant Now, const PlatformCallback &Callback,
                        const PlatformAnswer &Answer);
  /// @brief A configuration was read; one that is not newer is ignored.
  void onConfigRead(Instant Now, const ReceivedConfig &Received);
  /// @brief The users' policies were read, at the start or on a reload.
  void onPoliciesRead(Instant Now, const SitePolicies &Policies);
  void onTargetListed(Instant Now, const TargetEntry &Entry);
  void onTargetRemoved(Instant Now, const TargetId &Id);
  /// @brief The full list was read; targets that it lacks are removed.
  void onTargetsListed(Instant Now, const std::vector<TargetEntry> &All);
  /// @brief All rows of evacuated data centres were read.
  void onEvacuationsListed(Instant Now, const placement::EvacuationList &List);
  /// @brief The row of one data centre was written or removed.
  void onEvacuationChanged(Instant Now, const DataCentreId &DataCentre,
                           bool Evacuated, std::uint64_t Version);
  /// @brief The store answered a read or poll of its tables.
  void onStoreResponse(Instant Now);

  /// @brief Runs all expired timers.
  void runDueTimers(Instant Now);
  std::optional<Instant> nextTimerDue() { return m_Context.timers().next(); }

  /// @brief Starts a graceful shutdown within the grace period.
  void terminate(Instant Now);

  /// @brief Sets the time limit of a graceful shutdown.
  void setGrace(Duration Grace) { m_Settings.Grace = Grace; }

  /// @brief Whether this VM can serve callers.
  bool ready() const;
  std::uint64_t configVersion() const { return m_Config->Version; }
  const ConfigCounts &configCounts() const { return m_Configs.counts(); }
  const metrics::Registry &metrics() const { return m_Metrics; }
  const Sessions &sessions() const { return m_Sessions; }
  std::size_t links() const;
  /// @brief Refusals by reason and priority since the start.
  const RefusalCounts &refusals() const { return m_Refusals; }
  /// @brief Calls a function with each pool of links to a target.
  void forEachPool(const std::function<void(const TargetPool &)> &Visit) const;
  const RateShare &rates() const { return m_Rates; }
  /// @brief Operations at targets of evacuated data centres.
  std::size_t evacuatedOperations() const;
  std::size_t rateSlots() const { return m_Rates.slotCount(); }

private:
  struct LocalMessage {
    VmId From;
    FleetMessage Message;
  };

  Sessions::Hooks sessionHooks();
  TargetPool::Hooks poolHooks();
  FailoverController::Hooks failoverHooks();
  FleetRows::Hooks rowHooks();
  StoreReaders::Hooks readerHooks();
  ConfigExchange::Hooks configHooks();

  void setTime(Instant Now);
  /// @brief Handles this VM's messages to itself until the queue is empty.
  void dispatchLocalMessages();
  void send(const VmId &To, FleetMessage &&Message);
  void replyToPeer(const VmId &To, FleetMessage &&Message);
  void broadcast(const FleetMessage &Message);
  void dispatchMessage(const VmId &From, FleetMessage &&Message);

  void handle(const VmId &From, Hello &&Body);
  void handle(const VmId &From, Ping &&Body);
  void handle(const VmId &From, Pong &&Body);
  void handle(const VmId &From, StartOperation &&Body);
  void handle(const VmId &From, NextStatement &&Body);
  void handle(const VmId &From, AbortOperation &&Body);
  void handle(const VmId &From, WithdrawStatement &&Body);
  void handle(const VmId &From, StatementReply &&Body);
  void handle(const VmId &From, ProofRequest &&Body);
  void handle(const VmId &From, ProofReply &&Body);
  void handle(const VmId &From, TokenRequest &&Body);
  void handle(const VmId &From, TokenGrant &&Body);
  void handle(const VmId &From, PrimarySuspected &&Body);
  void handle(const VmId &From, TargetAlive &&Body);
  void handle(const VmId &From, Promoted &&Body);
  void handle(const VmId &From, ConfigRequest &&Body);
  void handle(const VmId &From, ConfigText &&Body);
  void handle(const VmId &From, StoreUpdateRequest &&Body);
  void handle(const VmId &From, StoreUpdate &&Body);
  void handle(const VmId &From, RenewalRequest &&Body);
  void handle(const VmId &From, RenewalReply &&Body);

  TargetPool *pool(const TargetId &Id);
  TargetPool *poolOfLink(LinkId Link);
  void limitPools();
  // In PoolNodePacing.cpp.
  void setPaceLimits(const TargetEntry &Target,
                     TargetPool::Limits &Limits) const;
  std::optional<unsigned> coldRank(const TargetEntry &Target) const;
  void dropPool(const TargetId &Id, const std::string &Reason);
  const std::vector<VmId> &owners(const TargetId &Id) const;
  /// @brief VMs in the order in which they should hold a group's lease.
  const std::vector<VmId> &leaseCandidates(const DatabaseId &Group) const;
  std::vector<VmId> peers() const;
  bool isReachablePeer(const VmId &Vm) const;
  AccountId anyAccount() const;
  bool applyTarget(const TargetEntry &Entry);
  void applyTargets(const std::vector<TargetEntry> &Changed,
                    const std::vector<TargetId> &Removed);
  void applyAllTargets(const std::vector<TargetEntry> &All);
  void onReachabilityChanged(const TargetId &Id, bool Reachable);
  void onPromoted(const DatabaseId &Group, const TargetId &Id, Term NewTerm);
  bool holdsLease(const DatabaseId &Group) const;
  void acquireLeases();
  void acquireLeaseIfFirst(const DatabaseId &Group);
  void onMembersListed(const std::vector<MemberState> &Members);
  void markPeerLost(const VmId &Vm, const char *Reason);
  void setReachable(const VmId &Vm, bool Reachable);
  void checkPeers();
  void applyEvacuations(const placement::EvacuationList &List);
  void onEvacuationsUpdated(const std::set<DataCentreId> &Before);
  void logEvacuation(const char *Event, const DataCentreId &DataCentre);
  void scheduleEvacuationDeadline();
  void checkEvacuations();
  std::size_t operationsIn(const DataCentreId &DataCentre) const;
  std::vector<DatabaseId> groups() const;
  void runHousekeeping();
  void drain();
  /// @brief Whether the part of the grace period is over in which open
  /// transactions may end.
  bool isTransactionTimeOver() const;

  Settings m_Settings;
  Hooks m_Hooks;
  Context m_Context;
  SharedConfig m_Config;
  admission::QueueOrder m_QueueOrder = admission::QueueOrder::Fair;
  bool m_AdaptsPace = false;
  Instant m_StartedAt{};
  RefusalCounts m_Refusals;
  metrics::Registry m_Metrics;
  placement::Evacuations m_Evacuations;
  /// Evacuated data centres in which operations may be left.
  std::set<DataCentreId> m_OccupiedEvacuations;
  std::optional<TimerId> m_EvacuationTimer;
  TargetTable m_Targets;
  RankedMembers m_Members;
  PeerHealth m_Health;
  TargetSelector m_Selector;
  RateShare m_Rates;
  FleetRows m_Rows;
  RenewalBatcher m_Renewals;
  ConfigExchange m_Configs;
  StoreReaders m_Readers;
  FailoverController m_Failover;
  Sessions m_Sessions;
  std::map<TargetId, std::unique_ptr<TargetPool>> m_Pools;
  std::map<LinkId, TargetId> m_LinkTargets;
  std::map<VmId, Incarnation> m_Origins; ///< VMs with a stream to this one.
  std::map<DatabaseId, Instant> m_LeaseRequestedAt;
  std::deque<LocalMessage> m_LocalMessages;
  bool m_Dispatching = false;
  std::optional<Instant> m_LeavingSince;
  bool m_Exited = false;
};

} // namespace bergamotstage::pooling

#endif // BERGAMOTSTAGE_POOLING_POOLNODE_H
