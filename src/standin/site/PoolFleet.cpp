#include "standin/site/PoolFleet.h"

#include "standin/site/ModelConfig.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace bergamotstage::standin {
namespace {

using pooling::FleetMessage;
using pooling::LinkRequest;
using pooling::PoolNode;
/// Delay between two attempts of a subscriber to read the store.
constexpr Duration StoreRetry = milliseconds(500);

} // namespace

PoolFleet::PoolFleet(const Settings &Options)
    : m_Settings(Options), m_Random(Options.Seed) {
  const char *const Zones[] = {"east", "west", "south"};
  for (unsigned Index = 0; Index < Options.Vms; ++Index) {
    VmId Name("vm-" + std::to_string(Index));
    Vm &Added = m_Vms[Name];
    Added.Self = {Name,
                  DataCentreId(Zones[Index % 3]),
                  "10.0.0." + std::to_string(Index) + ":1",
                  Incarnation(1),
                  true,
                  false};
    if (Options.SizeOf) {
      VmSize Size = Options.SizeOf(Index);
      Added.Self.Cores = Size.Cores;
      Added.Outgoing = LinkModel(Size.LinkBytesPerSecond);
      Added.Incoming = LinkModel(Size.LinkBytesPerSecond);
    }
  }
  for (unsigned Index = 0; Index < Options.Groups; ++Index) {
    DatabaseId Id("group-" + std::to_string(Index));
    std::vector<TargetId> Names;
    for (unsigned Replica = 0; Replica < 3; ++Replica) {
      TargetId Name(Id.value() + "-" + std::to_string(Replica));
      Names.push_back(Name);
      m_Targets[Name].Group = Index;
      m_Targets[Name].DataCentre = DataCentreId(Zones[(Replica + Index) % 3]);
    }
    m_Groups.push_back(std::make_unique<ModelGroup>(Id, Names));
    m_Targets[Names.front()].ReportsPrimary = true;
  }
  replicate();
  storeHeartbeat();
  if (m_Settings.TargetRewriteInterval > Duration(0)) {
    std::uniform_real_distribution<double> Phase(0, 1);
    for (const auto &[Name, Model] : m_Targets)
      after(scaled(m_Settings.TargetRewriteInterval, Phase(m_Random)),
            [this, Name = Name] { rewriteTarget(Name); });
  }
}

std::vector<VmId> PoolFleet::vms() const {
  std::vector<VmId> Names;
  for (const auto &[Name, Unused] : m_Vms)
    Names.push_back(Name);
  return Names;
}

PoolNode *PoolFleet::node(const VmId &Name) {
  Vm &Process = m_Vms.at(Name);
  return Process.Up ? Process.Node.get() : nullptr;
}

// Time.

void PoolFleet::after(Duration Span, std::function<void()> Callback) {
  m_Events.schedule(m_Now + Span, std::move(Callback));
}

void PoolFleet::run(Duration Span) {
  Instant End = m_Now + Span;
  while (true) {
    auto Next = m_Events.next();
    if (!Next || *Next > End)
      break;
    m_Now = std::max(m_Now, *Next);
    m_Events.runDue(m_Now);
  }
  m_Now = End;
}

void PoolFleet::deliverAfter(const VmId &Name, std::uint64_t Generation,
                             Duration Delay,
                             std::function<void(PoolNode &)> Handler) {
  after(Delay, [this, Name, Generation, Handler = std::move(Handler)] {
    Vm &Process = m_Vms.at(Name);
    if (!Process.Up || Process.Generation != Generation)
      return;
    if (m_Now < Process.FrozenUntil)
      return deliverAfter(Name, Generation, Process.FrozenUntil - m_Now,
                          Handler);
    Handler(*Process.Node);
    scheduleWake(Name);
  });
}

void PoolFleet::deliverFromPeer(const VmId &From, const VmId &To,
                                std::size_t Bytes,
                                std::function<void(PoolNode &)> Handler) {
  Vm &Sender = m_Vms.at(From);
  std::uint64_t Generation = m_Vms.at(To).Generation;
  Instant SentAt = Sender.Outgoing.transfer(m_Now, Bytes);
  Duration Delay = SentAt - m_Now + m_Settings.PeerDelay;
  if (m_Vms.at(To).Incoming.duration(Bytes) == Duration(0))
    return deliverAfter(To, Generation, Delay, std::move(Handler));
  after(Delay, [this, To, Generation, Bytes, Handler = std::move(Handler)] {
    // The first bytes arrived while the last ones were being sent.
    LinkModel &Link = m_Vms.at(To).Incoming;
    Instant At = Link.transfer(m_Now - Link.duration(Bytes), Bytes);
    deliverAfter(To, Generation, std::max(Duration(0), At - m_Now), Handler);
  });
}

void PoolFleet::deliverConfig(const VmId &Name, std::uint64_t Generation,
                              const std::function<void()> &OnArrived) {
  const std::string &Text = m_Configs.at(m_Config->Version).Text;
  pooling::ReceivedConfig Received{m_Config, Text, "store", Text.size()};
  Instant At =
      m_Vms.at(Name).Incoming.transfer(m_Now, encodedSize(Text.size()));
  deliverAfter(Name, Generation, At - m_Now,
               [this, OnArrived, Received](PoolNode &Node) {
                 OnArrived();
                 Node.onConfigRead(m_Now, Received);
               });
}

void PoolFleet::scheduleWake(const VmId &Name) {
  Vm &Process = m_Vms.at(Name);
  if (!Process.Up)
    return;
  auto Next = Process.Node->nextTimerDue();
  if (!Next || (Process.Wake && *Process.Wake <= *Next))
    return;
  Process.Wake = Next;
  deliverAfter(Name, Process.Generation, std::max(Duration(0), *Next - m_Now),
               [this, Name, Due = *Next](PoolNode &Node) {
                 Vm &Woken = m_Vms.at(Name);
                 if (Woken.Wake == Due)
                   Woken.Wake.reset();
                 Node.runDueTimers(m_Now);
               });
}

// VMs.

void PoolFleet::start() {
  for (auto &[Name, Process] : m_Vms)
    startProcess(Name);
}

void PoolFleet::startProcess(const VmId &Name) {
  Vm &Process = m_Vms.at(Name);
  ++Process.Generation;
  Process.Self.Start = Incarnation(Process.Generation);
  Process.Up = true;
  Process.Subscribed = false;
  Process.Listed = false;
  Process.Refreshing = false;
  Process.Wake.reset();
  Process.Streams.clear();
  PoolNode::Settings NodeSettings;
  NodeSettings.Self = Process.Self;
  Process.Node = std::make_unique<PoolNode>(
      NodeSettings, m_Random(), makeHooks(Name, Process.Generation));
  if (m_OnLog)
    Process.Node->setLogHook(
        [this, Name](WriteLog &&Entry) { m_OnLog(m_Now, Name, Entry); });
  if (!m_Policies.rules().Policies.empty())
    Process.Node->onPoliciesRead(m_Now, m_Policies);
  readTables(Name, Process.Generation);
  Process.Node->start(m_Now);
  scheduleWake(Name);
}

void PoolFleet::readTables(const VmId &Name, std::uint64_t Generation) {
  deliverAfter(Name, Generation, m_Settings.StoreDelay,
               [this, Name, Generation](PoolNode &Node) {
                 Vm &Reader = m_Vms.at(Name);
                 if (!Reader.Subscribed && Reader.Listed)
                   return;
                 if (m_StoreDown)
                   return after(StoreRetry, [this, Name, Generation] {
                     readTables(Name, Generation);
                   });
                 Reader.Listed = true;
                 std::vector<pooling::TargetEntry> All;
                 for (const auto &[Target, Unused] : m_Targets)
                   All.push_back(targetEntry(Target));
                 Node.onEvacuationsListed(m_Now, {m_Version, m_Evacuated});
                 Node.onTargetsListed(m_Now, All);
                 if (m_Config)
                   deliverConfig(Name, Generation, [] {});
                 Node.onStoreResponse(m_Now);
               });
}

void PoolFleet::setStoreDown(bool Down) {
  bool Restored = m_StoreDown && !Down;
  m_StoreDown = Down;
  if (!Restored)
    return;
  // Subscribers receive the changes that they missed.
  for (auto &[Name, Process] : m_Vms)
    if (Process.Up && (Process.Subscribed || !Process.Listed))
      readTables(Name, Process.Generation);
}

void PoolFleet::kill(const VmId &Name, Duration Downtime) {
  Vm &Process = m_Vms.at(Name);
  if (!Process.Up)
    return;
  Process.Up = false;
  for (auto &[Other, OtherProcess] : m_Vms) {
    if (Other == Name || !OtherProcess.Up)
      continue;
    // The connections of a killed process are reset.
    if (OtherProcess.Streams.erase(Name) > 0)
      deliverAfter(
          Other, OtherProcess.Generation, m_Settings.PeerDelay,
          [this, Name](PoolNode &Node) { Node.onPeerLost(m_Now, Name); });
    if (Process.Streams.count(Other) > 0)
      deliverAfter(
          Other, OtherProcess.Generation, m_Settings.PeerDelay,
          [this, Name](PoolNode &Node) { Node.onOriginLost(m_Now, Name); });
  }
  std::vector<std::uint64_t> Closed;
  for (const auto &[Key, Opened] : m_Links)
    if (Opened.Vm == Name)
      Closed.push_back(Key);
  for (std::uint64_t Key : Closed)
    closeLink(Key);
  after(Downtime, [this, Name] { startProcess(Name); });
}

void PoolFleet::freeze(const VmId &Name, Duration Span) {
  m_Vms.at(Name).FrozenUntil = m_Now + Span;
}

void PoolFleet::terminate(const VmId &Name) {
  deliverAfter(Name, m_Vms.at(Name).Generation, Duration(0),
               [this](PoolNode &Node) { Node.terminate(m_Now); });
}

PoolNode::Hooks PoolFleet::makeHooks(const VmId &Name,
                                     std::uint64_t Generation) {
  PoolNode::Hooks Hooks;
  Hooks.Answer = [this, Name](CallerId Caller, pooling::CallerReply &&Reply) {
    if (m_OnAnswer)
      after(Duration(0),
            [this, Name, Caller, Reply] { m_OnAnswer(Name, Caller, Reply); });
  };
  Hooks.CloseCaller = [this, Name](CallerId Caller) {
    if (m_OnClose)
      after(Duration(0), [this, Name, Caller] { m_OnClose(Name, Caller); });
  };
  Hooks.OpenLink = [this, Name, Generation](LinkId Id,
                                            const pooling::LinkTarget &To) {
    openLink(Name, Generation, Id, To);
  };
  Hooks.CloseLink = [this, Name](LinkId Id) {
    auto Key = m_LinkKeys.find({Name, Id});
    if (Key != m_LinkKeys.end())
      closeLink(Key->second);
  };
  Hooks.SendLink = [this, Name](LinkId Id, const LinkRequest &Request) {
    sendLink(Name, Id, Request);
  };
  Hooks.SendPeer = [this, Name](const MemberState &To,
                                const FleetMessage &Message) {
    sendPeer(Name, To, Message);
  };
  Hooks.ReplyPeer = [this, Name](const VmId &To, const FleetMessage &Message) {
    replyPeer(Name, To, Message);
  };
  Hooks.DropPeer = [this, Name](const VmId &Other) {
    bool WasOpen = m_Vms.at(Name).Streams.erase(Other) > 0;
    if (WasOpen && m_Vms.count(Other) > 0 && canReachPeer(Name, Other))
      deliverAfter(
          Other, m_Vms.at(Other).Generation, m_Settings.PeerDelay,
          [this, Name](PoolNode &Node) { Node.onOriginLost(m_Now, Name); });
  };
  Hooks.CallPlatform =
      [this, Name, Generation](const PlatformRequest &Request,
                               const PoolNode::PlatformCallback &Callback) {
        callPlatform(Name, Generation, Request, Callback);
      };
  Hooks.ReadConfig = [this, Name, Generation] {
    ++m_ConfigReads;
    Vm &Process = m_Vms.at(Name);
    if (m_StoreDown || Process.Refreshing)
      return;
    Process.Refreshing = true;
    after(m_Settings.StoreDelay, [this, Name, Generation] {
      deliverConfig(Name, Generation,
                    [this, Name] { m_Vms.at(Name).Refreshing = false; });
    });
  };
  Hooks.ApplyConfigText = [this, Name, Generation](const VmId &From,
                                                   const std::string &Text,
                                                   std::size_t Bytes) {
    auto Read = m_Configs.find(configVersionOf(Text));
    if (Read == m_Configs.end())
      return;
    pooling::ReceivedConfig Received{Read->second.Config, Text, From.value(),
                                     Bytes};
    deliverAfter(Name, Generation, Duration(0),
                 [this, Received](PoolNode &Node) {
                   Node.onConfigRead(m_Now, Received);
                 });
  };
  Hooks.FollowStore = [this,
                       Name](const pooling::StoreReaders::Following &How) {
    bool Subscribed = std::exchange(m_Vms.at(Name).Subscribed, How.Active);
    if (!How.Active || Subscribed)
      return;
    readTables(Name, m_Vms.at(Name).Generation);
  };
  Hooks.StopAccepting = [] {};
  Hooks.Exit = [this, Name] {
    after(Duration(0), [this, Name] { kill(Name, seconds(1)); });
  };
  return Hooks;
}

void PoolFleet::setPolicies(const pooling::SitePolicies &Policies) {
  m_Policies = Policies;
  for (auto &[Name, Process] : m_Vms)
    if (Process.Up)
      deliverAfter(Name, Process.Generation, Duration(0),
                   [this, Policies](PoolNode &Node) {
                     Node.onPoliciesRead(m_Now, Policies);
                   });
}

// Callers.

CallerId PoolFleet::connect(const VmId &Name, const std::string &Database,
                            const std::string &Key) {
  CallerId Caller(++m_LastCaller);
  deliverAfter(Name, m_Vms.at(Name).Generation, Duration(0),
               [this, Caller, Database, Key](PoolNode &Node) {
                 Node.onCallerOpened(m_Now, Caller, Database, Key);
               });
  return Caller;
}

void PoolFleet::send(const VmId &Name, CallerId Caller,
                     pooling::Statement Stmt) {
  deliverAfter(Name, m_Vms.at(Name).Generation, Duration(0),
               [this, Caller, Stmt = std::move(Stmt)](PoolNode &Node) {
                 Node.onCallerStatement(m_Now, Caller, Stmt);
               });
}

void PoolFleet::disconnect(const VmId &Name, CallerId Caller) {
  deliverAfter(
      Name, m_Vms.at(Name).Generation, Duration(0),
      [this, Caller](PoolNode &Node) { Node.onCallerClosed(m_Now, Caller); });
}

// The platform.

void PoolFleet::configure(pooling::SiteConfig Config) {
  m_Config = std::make_shared<const pooling::SiteConfig>(std::move(Config));
  m_Configs[m_Config->Version] = {m_Config, renderConfig(*m_Config)};
  if (m_StoreDown)
    return;
  for (auto &[Name, Process] : m_Vms)
    if (Process.Subscribed && Process.Up)
      after(m_Settings.StoreDelay,
            [this, Name = Name, Generation = Process.Generation] {
              deliverConfig(Name, Generation, [] {});
            });
}

} // namespace bergamotstage::standin
