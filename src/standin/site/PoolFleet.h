#ifndef BERGAMOTSTAGE_STANDIN_SITE_POOLFLEET_H
#define BERGAMOTSTAGE_STANDIN_SITE_POOLFLEET_H

#include "bergamotstage/fleetcost/PeerTraffic.h"
#include "bergamotstage/pooling/PoolNode.h"
#include "standin/site/LinkModel.h"
#include "standin/site/ModelGroup.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace bergamotstage::standin {

/// @brief Simulates VMs, targets and a store on virtual time, with faults.
///
/// One thread runs one queue of events, and a seed determines all random
/// choices. The owner of the fleet drives the callers.
class PoolFleet {
public:
  /// @brief Processor and network link of a VM.
  struct VmSize {
    double Cores = 1;
    std::uint64_t LinkBytesPerSecond = 0; ///< Each way; 0 means no limit.
  };
  struct Settings {
    std::uint64_t Seed = 1;
    unsigned Vms = 3;
    unsigned Groups = 1;
    unsigned Slots = 3;
    unsigned MaxLinks = 23;
    Duration PeerDelay = milliseconds(1);
    Duration LinkDelay = microseconds(300);
    Duration HandshakeTime = milliseconds(12);
    Duration MeanServiceTime = milliseconds(10);
    Duration ReplicaLag = milliseconds(10);
    Duration StoreDelay = milliseconds(4);
    Duration PromotionTime = milliseconds(300);
    /// Interval at which each target writes its entry again unchanged, under a
    /// new version; 0 means never.
    Duration TargetRewriteInterval{};
    /// Returns the size of a VM; without it all have the same.
    std::function<VmSize(unsigned Index)> SizeOf;
  };
  /// @brief Called with each reply to a caller and the VM that sent it.
  using AnswerHook =
      std::function<void(const VmId &, CallerId, const pooling::CallerReply &)>;
  using CloseHook = std::function<void(const VmId &, CallerId)>;

  explicit PoolFleet(const Settings &Options);
  PoolFleet(const PoolFleet &) = delete;
  PoolFleet &operator=(const PoolFleet &) = delete;

  void onAnswer(AnswerHook Hook) { m_OnAnswer = std::move(Hook); }
  void onClose(CloseHook Hook) { m_OnClose = std::move(Hook); }

  /// @brief Sets a hook that receives every log entry of a VM.
  void
  onLog(std::function<void(Instant, const VmId &, const WriteLog &)> Hook) {
    m_OnLog = std::move(Hook);
  }

  /// @brief Publishes a configuration to all subscribed VMs.
  void configure(pooling::SiteConfig Config);
  /// @brief Sets the policies of all VMs, also of those that start later.
  void setPolicies(const pooling::SitePolicies &Policies);
  /// @brief Starts all VMs.
  void start();
  /// @brief Runs all events of a time span.
  void run(Duration Span);
  /// @brief Schedules a callback after a delay.
  void after(Duration Span, std::function<void()> Callback);

  Instant now() const { return m_Now; }
  std::mt19937_64 &random() { return m_Random; }
  std::vector<VmId> vms() const;
  pooling::PoolNode *node(const VmId &Vm);
  const MemberState &member(const VmId &Vm) const { return m_Vms.at(Vm).Self; }
  ModelGroup &group(unsigned Index) { return *m_Groups.at(Index); }
  unsigned groups() const { return static_cast<unsigned>(m_Groups.size()); }

  // Callers.
  CallerId connect(const VmId &Vm, const std::string &Database,
                   const std::string &Key);
  void send(const VmId &Vm, CallerId Caller, pooling::Statement Stmt);
  void disconnect(const VmId &Vm, CallerId Caller);

  // Faults.
  void kill(const VmId &Vm, Duration Downtime);
  void freeze(const VmId &Vm, Duration Span);
  void terminate(const VmId &Vm);
  void cutPeers(const VmId &Left, const VmId &Right, bool Cut);
  void cutTarget(const VmId &Vm, const TargetId &Target, bool Cut);
  /// @brief Sets whether a VM's new links to a target are reset.
  void resetNewLinks(const VmId &Vm, const TargetId &Target, bool Reset);
  /// @brief Sets whether a target ignores requests and new links.
  void setUnresponsive(const TargetId &Target, bool Unresponsive);
  void drain(const TargetId &Target, bool Draining);
  /// @brief Writes or removes the row that evacuates a data centre.
  void evacuate(const DataCentreId &DataCentre, bool Evacuated);
  void setMeanServiceTime(Duration Time) { m_Settings.MeanServiceTime = Time; }
  void setLag(Duration Lag) { m_Settings.ReplicaLag = Lag; }
  void setStoreDown(bool Down);
  /// @brief Sets the fraction (0 to 1) of store writes without answer; half of
  /// these writes take effect seconds later.
  void setLostWriteAnswerRatio(double Ratio) { m_LostWriteAnswerRatio = Ratio; }
  /// @brief Sets the fraction (0 to 1) of target replies that are lost.
  void setLostReplyRatio(double Ratio) { m_LostReplyRatio = Ratio; }

  /// @brief Sets the fraction (0 to 1) of a target's reads that fail.
  void setReadFailureRatio(const TargetId &Target, double Ratio) {
    m_Targets.at(Target).ReadFailureRatio = Ratio;
  }

  /// @brief Last time at which a statement of a caller arrived at a target of a
  /// data centre.
  Instant lastStatementIn(const DataCentreId &DataCentre) const;
  DataCentreId dataCentreOf(const TargetId &Target) const {
    return m_Targets.at(Target).DataCentre;
  }
  /// @brief Messages of a VM since the start of the fleet.
  const fleetcost::PeerTraffic &traffic(const VmId &Vm) const {
    return m_Vms.at(Vm).Traffic;
  }
  /// @brief Calls of the store's rows by a VM, and bytes that it read.
  fleetcost::PeerTraffic::Count rowCalls(const VmId &Vm) const {
    return m_Vms.at(Vm).RowCalls;
  }
  /// @brief Lets a target start with cold caches: each statement takes longer
  /// by a part for each other one that runs, which falls to nothing in @p Span.
  void warmUp(const TargetId &Target, Duration Span);
  /// @brief Lists a target as cold for the time, from now on.
  void listCold(const TargetId &Target, Duration Span);
  /// @brief Sets a hook that receives each caller's statement that arrives at a
  /// target, and the VM that sent it.
  void onStatement(std::function<void(const VmId &, const TargetId &)> Hook) {
    m_OnStatement = std::move(Hook);
  }
  std::uint64_t promotions() const { return m_Promotions; }
  std::uint64_t linksOpened() const { return m_LinksOpened; }
  /// @brief Reads of the configuration beside those that follow the store.
  std::uint64_t configReads() const { return m_ConfigReads; }
  const std::map<std::string, TableRow> &rows() const { return m_Rows; }

private:
  struct Vm {
    std::unique_ptr<pooling::PoolNode> Node;
    MemberState Self;
    /// Counts the starts of its process; events for earlier ones are dropped.
    std::uint64_t Generation = 0;
    Instant FrozenUntil{};
    bool Subscribed = false;
    bool Listed = false; ///< Has read all tables since its start.
    bool Up = false;
    bool Refreshing = false; ///< Reads the configuration at once.
    std::optional<Instant> Wake;
    std::set<VmId> Streams; ///< VMs to which it has opened a stream.
    LinkModel Outgoing;
    LinkModel Incoming;
    fleetcost::PeerTraffic Traffic;
    fleetcost::PeerTraffic::Count RowCalls;
  };
  struct PublishedConfig {
    pooling::SharedConfig Config;
    std::string Text;
  };
  struct TargetModel {
    unsigned Group = 0;
    DataCentreId DataCentre;
    bool Unresponsive = false;
    bool Draining = false;
    double ReadFailureRatio = 0;
    unsigned RunningStatements = 0;
    Instant WarmFrom{};
    Duration WarmUp{}; ///< From WarmFrom on; 0 for a warm target.
    Duration ColdFor{};
    std::uint64_t Version = 0;
    bool ReportsPrimary = false;
    Instant LastStatementAt{};
  };
  struct Link {
    VmId Vm;
    LinkId Id;
    std::uint64_t Generation = 0;
    TargetId Target;
    bool Open = false;
    bool DropsReplies = false; ///< Further replies are lost.
    Instant NextArrival{};     ///< Keeps requests in order.
    Instant RunningUntil{};    ///< Keeps executions sequential.
  };

  /// @brief Delivers bytes from another VM, after the links' queues.
  void deliverFromPeer(const VmId &From, const VmId &To, std::size_t Bytes,
                       std::function<void(pooling::PoolNode &)> Handler);
  /// @brief Sends a message on an open stream and counts it.
  void deliverMessage(const VmId &From, const VmId &To,
                      const pooling::FleetMessage &Message);
  /// @brief Delivers the newest configuration from the store, and reports its
  /// arrival.
  void deliverConfig(const VmId &Name, std::uint64_t Generation,
                     const std::function<void()> &OnArrived);
  void startProcess(const VmId &Name);
  /// @brief Reads all tables of the store; retries while it is down.
  void readTables(const VmId &Name, std::uint64_t Generation);
  pooling::PoolNode::Hooks makeHooks(const VmId &Name,
                                     std::uint64_t Generation);
  /// @brief Delivers an event to a VM after a delay, and after any freeze;
  /// drops it if the process has ended.
  void deliverAfter(const VmId &Name, std::uint64_t Generation, Duration Delay,
                    std::function<void(pooling::PoolNode &)> Handler);
  void scheduleWake(const VmId &Name);
  void openLink(const VmId &Name, std::uint64_t Generation, LinkId Id,
                const pooling::LinkTarget &To);
  void sendLink(const VmId &Name, LinkId Id,
                const pooling::LinkRequest &Request);
  void runLink(std::uint64_t Key, const pooling::LinkRequest &Request);
  void closeLink(std::uint64_t Key);
  /// @brief Factor on the time of a statement that starts now.
  static double slowdown(const TargetModel &Model, Instant Now);
  void resetLink(std::uint64_t Key);
  void resetLinksTo(const TargetId &Target);
  void sendPeer(const VmId &From, const MemberState &To,
                const pooling::FleetMessage &Message);
  void replyPeer(const VmId &From, const VmId &To,
                 const pooling::FleetMessage &Message);
  bool canReachPeer(const VmId &Left, const VmId &Right) const;
  bool canReachTarget(const VmId &Name, const TargetId &Target) const;
  void callPlatform(const VmId &Name, std::uint64_t Generation,
                    const PlatformRequest &Request,
                    const pooling::PoolNode::PlatformCallback &Callback);
  PlatformAnswer executeRequest(const PlatformRequest &Request);
  PlatformAnswer promote(const Promote &Order);
  void publishTarget(const TargetId &Target);
  void
  notifySubscribers(const std::function<void(pooling::PoolNode &)> &Notify);
  pooling::TargetEntry targetEntry(const TargetId &Target) const;
  void replicate();
  void storeHeartbeat();
  /// @brief Writes a target's entry again, and then at each interval.
  void rewriteTarget(const TargetId &Target);

  Settings m_Settings;
  Instant m_Now{seconds(1000)};
  std::mt19937_64 m_Random;
  TimerQueue m_Events;
  std::map<VmId, Vm> m_Vms;
  std::vector<std::unique_ptr<ModelGroup>> m_Groups;
  std::map<TargetId, TargetModel> m_Targets;
  std::map<std::uint64_t, Link> m_Links; ///< By link key of ModelGroup.
  std::map<std::pair<VmId, LinkId>, std::uint64_t> m_LinkKeys;
  std::uint64_t m_LastLink = 0;
  std::map<std::string, TableRow> m_Rows;
  std::uint64_t m_Version = 0;
  std::set<DataCentreId> m_Evacuated;
  std::map<DatabaseId, std::uint64_t> m_FencingTokens;
  pooling::SitePolicies m_Policies;
  pooling::SharedConfig m_Config;
  std::map<std::uint64_t, PublishedConfig> m_Configs; ///< By version.
  std::set<std::pair<VmId, VmId>> m_CutPeers;
  std::set<std::pair<VmId, TargetId>> m_CutTargets;
  std::set<std::pair<VmId, TargetId>> m_ResetLinks;
  bool m_StoreDown = false;
  double m_LostWriteAnswerRatio = 0;
  double m_LostReplyRatio = 0;
  std::uint64_t m_Promotions = 0;
  std::uint64_t m_LinksOpened = 0;
  std::uint64_t m_ConfigReads = 0;
  std::uint64_t m_LastCaller = 0;
  AnswerHook m_OnAnswer;
  CloseHook m_OnClose;
  std::function<void(const VmId &, const TargetId &)> m_OnStatement;
  std::function<void(Instant, const VmId &, const WriteLog &)> m_OnLog;
};

} // namespace bergamotstage::standin

#endif // BERGAMOTSTAGE_STANDIN_SITE_POOLFLEET_H
