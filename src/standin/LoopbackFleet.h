#ifndef BERGAMOTSTAGE_STANDIN_LOOPBACKFLEET_H
#define BERGAMOTSTAGE_STANDIN_LOOPBACKFLEET_H

#include "bergamotstage/node/Node.h"
#include "standin/Group.h"
#include "standin/Store.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace bergamotstage::standin {

/// @brief One-way delays and service times of the fakes.
struct LoopbackDelays {
  Duration Peer = microseconds(1500);
  Duration Target = microseconds(500);
  Duration Platform = milliseconds(2);
  Duration Connect = milliseconds(10);     ///< Until a new link is open.
  Duration ConnectTimeout = seconds(5);    ///< If there is no answer.
  Duration ReadService = milliseconds(1);  ///< Execution time of a read.
  Duration WriteService = milliseconds(2); ///< Execution time of a write.
};

/// @brief Connection state of one caller, as its client library sees it.
struct LoopbackCaller {
  VmId Vm;
  CallerId Id;
  CallerOpened Opening;
  bool Admitted = false;
  bool Closed = false;
  std::string Token;
  std::optional<StatementId> Waiting; ///< Statement in flight.
  std::function<void(const AnswerStatement &,
                     const std::vector<std::vector<std::string>> &)>
      OnAnswer;
};

/// @brief Connects nodes to fake callers, targets, platform and peers, on
/// virtual time and in one thread.
///
/// The hook Blocked decides whether a message is lost. It names the sender and
/// the receiver "vm:ID", "target:ID" or "platform".
class LoopbackFleet {
public:
  using BlockedHook =
      std::function<bool(const std::string &From, const std::string &To)>;

  LoopbackFleet(LoopbackDelays Delays, std::uint64_t Seed);

  Instant now() const { return m_Now; }
  Store &store() { return m_Store; }
  Group &group(const DatabaseId &Database);
  const LoopbackDelays &delays() const { return m_Delays; }

  /// @brief Adds a database group; the first target is the primary.
  /// @param Slots concurrent statements of each target; further ones queue
  void addGroup(const DatabaseId &Database, const std::vector<TargetId> &Names,
                unsigned Slots, Duration Lag);
  /// @brief Stores the rules as revision 1.
  void storeRules(const std::string &Text);

  /// @brief Starts a VM's process; no VM of the same name may be running.
  Node &startVm(NodeSettings Settings);
  /// @brief Kills a VM's process at once; its connections break.
  void killVm(const VmId &Vm);
  /// @brief Delays all events of a VM until the given time.
  void pauseVm(const VmId &Vm, Instant Until);
  bool isRunning(const VmId &Vm) const { return m_Vms.count(Vm) > 0; }
  Node &node(const VmId &Vm) { return *m_Vms.at(Vm).ProxyNode; }
  /// @brief Returns the VMs that the platform lists; startVm() adds to them and
  /// killVm() does not remove.
  std::vector<ListedVm> &listedVms() { return m_Listed; }

  /// @brief Connects a caller, which becomes admitted while the fleet runs.
  /// @return a reference that is valid for the lifetime of the fleet
  LoopbackCaller &connect(const VmId &Vm, CallerOpened Opening);
  /// @brief Sends a statement; the caller must be admitted and idle.
  void send(LoopbackCaller &Caller, const std::string &Text);
  void disconnect(LoopbackCaller &Caller);
  /// @brief Delivers an event to a VM now.
  void deliver(const VmId &Vm, Event Input);
  /// @brief Schedules a callback at a time of the fleet's clock.
  void at(Instant Time, std::function<void()> Callback);

  /// @brief Runs all events up to and including the given time.
  void runUntil(Instant Time);

  BlockedHook Blocked;    ///< If unset, no message is lost.
  bool StoreDown = false; ///< Calls to tables and objects fail.
  bool LoseWriteAnswers = false;
  bool LosePromoteAnswers = false;
  Duration ExtraPlatformDelay{};
  std::function<void(const VmId &, const Action &)>
      OnAction; ///< Called before each action.
  std::uint64_t PeerMessages = 0;
  std::uint64_t PeerBytes = 0;
  std::uint64_t StoreReads = 0;
  std::uint64_t StoreWrites = 0;

private:
  struct LinkState {
    TargetId Target;
    DatabaseId Database;
    SqlSession Session;
    bool Open = false;
    Incarnation Owner;
  };
  struct Vm {
    std::unique_ptr<Node> ProxyNode;
    Incarnation Start;
    Instant PausedUntil{};
    std::map<LinkId, std::shared_ptr<LinkState>> Links;
    std::map<StatementId, LoopbackCaller *> Statements;
  };
  struct TargetLoad {
    unsigned Slots = 1;
    unsigned Running = 0;
    std::deque<std::function<void()>> Waiting;
  };
  /// @brief A caller whose statements the VM that it is connected to, the
  /// origin, forwards to the home VM of its database.
  struct ForwardedCaller {
    VmId Origin;
    VmId Home;
    CallerId Caller;                      ///< Caller id at the origin.
    std::optional<StatementId> Statement; ///< In-flight id at the origin.
    StatementId HomeStatement;            ///< In-flight id at the home.
    std::string Token;
  };
  /// @brief A statement that was sent to a target and has no result yet.
  struct PendingStatement {
    VmId Vm;
    LinkId Id; ///< Id of the link.
    std::shared_ptr<LinkState> Link;
    StatementId Statement;
    Sql Parsed;
    bool IsRead = false;
    bool ForCaller = false;
  };

  bool isCut(const std::string &From, const std::string &To) const;
  void executeActions(const VmId &Name, Actions &Emitted);
  void executeAction(const VmId &Name, Vm &Process, Action &Next);
  void openLink(const VmId &Name, Vm &Process, const OpenLink &Open);
  void closeLink(Vm &Process, LinkId Id);
  void runOnLink(const VmId &Name, Vm &Process, LinkId Id,
                 StatementId Statement, const StatementBody &Body,
                 bool ForCaller);
  void startAtTarget(const PendingStatement &Pending);
  void attempt(const PendingStatement &Pending);
  void releaseSlot(const TargetId &Target);
  void deliverResult(const PendingStatement &Pending, const SqlResult &Result,
                     const HistoryPoint &Reported);
  void callPlatform(const VmId &Name, const CallPlatform &Call);
  PlatformAnswer answerPlatform(const PlatformRequest &Request);
  void answerCaller(const VmId &Name, Vm &Process,
                    const AnswerStatement &Answer);
  void forward(const VmId &Name, const ForwardStatement &Forward);
  void failForward(CallerId Remote, bool NeverSent);
  void answerForward(const VmId &Name, const AnswerStatement &Answer);
  void closeForward(const VmId &Name, const CloseForward &Close);
  void failForwardsOf(const VmId &Gone);
  LoopbackCaller *caller(const VmId &Name, CallerId Id);
  void deliverTo(const VmId &Name, Incarnation Start, Event Input);

  LoopbackDelays m_Delays;
  std::uint64_t m_Seed;
  Instant m_Now{};
  std::multimap<Instant, std::function<void()>> m_Queue;
  Store m_Store;
  std::map<DatabaseId, std::unique_ptr<Group>> m_Groups;
  std::map<TargetId, TargetLoad> m_Loads;
  std::map<TargetId, DatabaseId> m_Databases;
  std::vector<ListedVm> m_Listed;
  std::map<VmId, Vm> m_Vms;
  std::deque<LoopbackCaller> m_Callers;
  std::map<std::pair<VmId, CallerId>, LoopbackCaller *> m_CallersById;
  std::map<std::pair<VmId, StatementId>, std::vector<std::vector<std::string>>>
      m_Rows;
  std::map<CallerId, ForwardedCaller>
      m_Forwarded; ///< By the caller's id at the home.
  std::uint64_t m_LastForwarded = 0;
  std::uint64_t m_LastCaller = 0;
  std::uint64_t m_LastStatement = 0;
  std::uint64_t m_LastSession = 0;
};

} // namespace bergamotstage::standin

#endif // BERGAMOTSTAGE_STANDIN_LOOPBACKFLEET_H
