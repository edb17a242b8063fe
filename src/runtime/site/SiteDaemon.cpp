#include "runtime/site/SiteDaemon.h"

#include "bergamotstage/pooling/PoolNode.h"
#include "platform/BootSettings.h"
#include "platform/StoreCodec.h"
#include "runtime/LogThread.h"
#include "runtime/TextFile.h"
#include "runtime/site/BootClock.h"
#include "runtime/site/CallerSockets.h"
#include "runtime/site/HttpServer.h"
#include "runtime/site/LinkSockets.h"
#include "runtime/site/LogBudget.h"
#include "runtime/site/PeerStreams.h"
#include "runtime/site/PolicyFile.h"
#include "runtime/site/SiteMetrics.h"
#include "runtime/site/StoreCalls.h"
#include "runtime/site/StoreTables.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include <csignal>
#include <random>
#include <set>
#include <utility>

namespace bergamotstage::runtime {
namespace {

using pooling::FleetMessage;
using pooling::PoolNode;

/// The settings file is polled because it may change without a signal.
constexpr Duration SettingsCheckInterval = seconds(5);
constexpr unsigned HttpOk = 200;
constexpr unsigned HttpNotFound = 404;
constexpr unsigned HttpUnavailable = 503;

Incarnation newIncarnation() {
  auto Elapsed = std::chrono::system_clock::now().time_since_epoch();
  return Incarnation(static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(Elapsed).count()));
}

std::string hostOf(const std::string &Address) {
  return Address.substr(0, Address.rfind(':'));
}

tl::expected<platform::BootSettings, std::string>
readSettings(const std::string &Text) {
  auto Parsed = platform::parseBootSettings(Text);
  if (Parsed)
    return *Parsed;
  std::string Reasons = "settings:";
  for (const platform::BootFault &Fault : Parsed.error())
    Reasons += " " + Fault.Path + " " + Fault.Reason + ";";
  return tl::make_unexpected(Reasons);
}

/// @brief Connects a PoolNode to its sockets, timers, signals and files.
class SiteProcess {
public:
  SiteProcess(SiteOptions Requested, std::string SettingsText,
              platform::BootSettings Boot)
      : m_Options(std::move(Requested)),
        m_SettingsText(std::move(SettingsText)), m_Boot(std::move(Boot)),
        m_Start(newIncarnation()), m_Policies(m_Options.PolicyPath),
        m_Log(m_Options.LogLevel), m_Signals(m_Io, SIGTERM, SIGINT, SIGHUP),
        m_NodeTimer(m_Io), m_SettingsTimer(m_Io),
        m_Calls(m_Io, m_Boot.Vm, m_Boot.StoreAddress, m_Boot.PromotionAddress),
        m_Tables(m_Io, m_Boot.StoreAddress, knownDataCentres(), tableHooks()),
        m_Links(m_Io, linkHooks()),
        m_Node(nodeSettings(), std::random_device{}(), nodeHooks()) {
    m_Node.setLogHook([this](WriteLog &&Entry) { log(std::move(Entry)); });
  }

  tl::expected<void, std::string> run() {
    auto Policies = m_Policies.read();
    if (!Policies)
      return tl::make_unexpected(Policies.error());
    auto Opened = openSockets();
    if (!Opened)
      return Opened;
    m_Log.start();
    log({WriteLog::Level::Info,
         "process_started",
         {{"vm", m_Boot.Vm.value()},
          {"data_centre", m_Boot.DataCentre.value()},
          {"callers", m_Boot.CallerAddress},
          {"peers", m_Boot.PeerAddress},
          {"start", std::to_string(m_Start.value())}}});
    waitForSignal();
    if (m_Options.SignalsHandled)
      m_Options.SignalsHandled();
    scheduleSettingsCheck();
    m_Tables.start();
    m_Node.start(bootTime());
    if (*Policies)
      m_Node.onPoliciesRead(bootTime(), **Policies);
    armTimer();
    m_Io.run();
    log({WriteLog::Level::Info, "process_stopped", {}});
    m_Log.stop();
    return {};
  }

private:
  PoolNode::Settings nodeSettings() const {
    PoolNode::Settings Result;
    Result.Self = {
        m_Boot.Vm, m_Boot.DataCentre, m_Boot.PeerAddress, m_Start, true,
        false,     m_Boot.Cores};
    Result.Grace = m_Boot.GracePeriod;
    Result.EvacuationBound = m_Boot.EvacuationBound;
    Result.ColdOverage = m_Boot.ColdOverage;
    Result.ColdSlack = m_Boot.ColdSlack;
    Result.Regions = m_Boot.Regions;
    return Result;
  }

  PoolNode::Hooks nodeHooks() {
    PoolNode::Hooks Hooks;
    Hooks.Answer = [this](CallerId Caller, pooling::CallerReply &&Reply) {
      m_Callers->answer(Caller, Reply);
    };
    Hooks.CloseCaller = [this](CallerId Caller) { m_Callers->close(Caller); };
    Hooks.OpenLink = [this](LinkId Link, const pooling::LinkTarget &To) {
      m_Links.open(Link, To);
      ++m_LinksOpened;
    };
    Hooks.CloseLink = [this](LinkId Link) { m_Links.close(Link); };
    Hooks.SendLink = [this](LinkId Link, const pooling::LinkRequest &Request) {
      m_Links.send(Link, Request);
    };
    Hooks.SendPeer = [this](const MemberState &To,
                            const FleetMessage &Message) {
      m_Peers->send(To, Message);
    };
    Hooks.ReplyPeer = [this](const VmId &To, const FleetMessage &Message) {
      m_Peers->reply(To, Message);
    };
    Hooks.DropPeer = [this](const VmId &Vm) { m_Peers->drop(Vm); };
    Hooks.CallPlatform = [this](const PlatformRequest &Request,
                                PoolNode::PlatformCallback OnDone) {
      m_Calls.call(Request, [this, OnDone = std::move(OnDone)](
                                const PlatformAnswer &Answer) {
        dispatch(
            [&](Instant Now) { m_Node.onPlatformAnswer(Now, OnDone, Answer); });
      });
    };
    Hooks.ReadConfig = [this] { m_Tables.refreshConfig(); };
    Hooks.ApplyConfigText = [this](const VmId &From, const std::string &Text,
                                   std::size_t Bytes) {
      m_Tables.applyConfig(Text, From.value(), Bytes);
    };
    Hooks.FollowStore = [this](const pooling::StoreReaders::Following &How) {
      m_Tables.setFollowing(How);
    };
    Hooks.StopAccepting = [this] { m_Callers->stopAccepting(); };
    Hooks.Exit = [this] { m_Io.stop(); };
    return Hooks;
  }

  LinkSockets::Hooks linkHooks() {
    LinkSockets::Hooks Hooks;
    Hooks.Opened = [this](LinkId Link, const std::optional<HistoryPoint> &At) {
      dispatch([&](Instant Now) { m_Node.onLinkOpened(Now, Link, At); });
    };
    Hooks.Refused = [this](LinkId Link, pooling::ErrorCode Code) {
      dispatch([&](Instant Now) { m_Node.onLinkRefused(Now, Link, Code); });
    };
    Hooks.Failed = [this](LinkId Link, const std::string &Reason) {
      dispatch([&](Instant Now) { m_Node.onLinkFailed(Now, Link, Reason); });
    };
    Hooks.Replied = [this](LinkId Link, pooling::LinkReply &&Reply) {
      dispatch([&](Instant Now) {
        m_Node.onLinkReply(Now, Link, std::move(Reply));
      });
    };
    return Hooks;
  }

  CallerSockets::Hooks callerHooks() {
    CallerSockets::Hooks Hooks;
    Hooks.Opened = [this](CallerId Caller, std::string Database,
                          std::string Key) {
      dispatch([&](Instant Now) {
        m_Node.onCallerOpened(Now, Caller, std::move(Database), std::move(Key));
      });
    };
    Hooks.StatementReceived = [this](CallerId Caller, pooling::Statement Stmt) {
      dispatch([&](Instant Now) {
        m_Node.onCallerStatement(Now, Caller, std::move(Stmt));
      });
    };
    Hooks.Closed = [this](CallerId Caller) {
      dispatch([&](Instant Now) { m_Node.onCallerClosed(Now, Caller); });
    };
    Hooks.Refused = [this](const std::string &Reason) {
      log({WriteLog::Level::Warning, "caller_refused", {{"reason", Reason}}});
    };
    return Hooks;
  }

  PeerStreams::Hooks peerHooks() {
    PeerStreams::Hooks Hooks;
    Hooks.Received = [this](const VmId &From, FleetMessage &&Message) {
      dispatch([&](Instant Now) {
        m_Node.onPeerMessage(Now, From, std::move(Message));
      });
    };
    Hooks.Lost = [this](const VmId &Vm) {
      dispatch([&](Instant Now) { m_Node.onPeerLost(Now, Vm); });
    };
    Hooks.OriginLost = [this](const VmId &Vm) {
      dispatch([&](Instant Now) { m_Node.onOriginLost(Now, Vm); });
    };
    Hooks.MakeHello = [this] {
      return pooling::Hello{
          m_Boot.Vm,   m_Boot.DataCentre,      m_Boot.PeerAddress,
          m_Start,     m_Node.configVersion(), m_Leaving,
          m_Boot.Cores};
    };
    Hooks.Refused = [this](const std::string &Reason) {
      log({WriteLog::Level::Warning, "peer_refused", {{"reason", Reason}}});
    };
    return Hooks;
  }

  StoreTables::Hooks tableHooks() {
    StoreTables::Hooks Hooks;
    Hooks.Config = [this](const pooling::ReceivedConfig &Received) {
      dispatch([&](Instant Now) { m_Node.onConfigRead(Now, Received); });
    };
    Hooks.Evacuations = [this](const placement::EvacuationList &List) {
      dispatch([&](Instant Now) { m_Node.onEvacuationsListed(Now, List); });
    };
    Hooks.Evacuation = [this](const DataCentreId &DataCentre, bool Evacuated,
                              std::uint64_t Version) {
      dispatch([&](Instant Now) {
        m_Node.onEvacuationChanged(Now, DataCentre, Evacuated, Version);
      });
    };
    Hooks.Targets = [this](const std::vector<pooling::TargetEntry> &All) {
      dispatch([&](Instant Now) { m_Node.onTargetsListed(Now, All); });
    };
    Hooks.Target = [this](const pooling::TargetEntry &Entry) {
      dispatch([&](Instant Now) { m_Node.onTargetListed(Now, Entry); });
    };
    Hooks.TargetRemoved = [this](const TargetId &Id) {
      dispatch([&](Instant Now) { m_Node.onTargetRemoved(Now, Id); });
    };
    Hooks.Answered = [this] { m_Node.onStoreResponse(bootTime()); };
    Hooks.Log = [this](WriteLog &&Entry) { log(std::move(Entry)); };
    return Hooks;
  }

  std::set<DataCentreId> knownDataCentres() const {
    std::set<DataCentreId> Known;
    for (const auto &[DataCentre, Region] : m_Boot.Regions)
      Known.insert(DataCentre);
    return Known;
  }

  tl::expected<void, std::string> openSockets() {
    auto Callers =
        CallerSockets::listen(m_Io, m_Boot.CallerAddress, callerHooks());
    if (!Callers)
      return tl::make_unexpected(Callers.error());
    m_Callers = std::move(*Callers);
    auto Peers = PeerStreams::listen(m_Io, m_Boot.PeerAddress, peerHooks());
    if (!Peers)
      return tl::make_unexpected(Peers.error());
    m_Peers = std::move(*Peers);
    auto Serve = [this](const std::string &Path) { return serve(Path); };
    auto LogFailure = [this](const std::string &Reason) {
      log({WriteLog::Level::Warning, "probe_refused", {{"reason", Reason}}});
    };
    auto Probe =
        HttpServer::listen(m_Io, m_Boot.ProbeAddress, Serve, LogFailure);
    if (!Probe)
      return tl::make_unexpected(Probe.error());
    m_Probe = std::move(*Probe);
    if (m_Options.MetricsPort == 0)
      return {};
    auto Metrics = HttpServer::listen(m_Io,
                                      hostOf(m_Boot.PeerAddress) + ":" +
                                          std::to_string(m_Options.MetricsPort),
                                      Serve, LogFailure);
    if (!Metrics)
      return tl::make_unexpected(Metrics.error());
    m_Metrics = std::move(*Metrics);
    return {};
  }

  HttpResponse serve(const std::string &Path) const {
    if (Path == platform::ReadyPath)
      return {m_Node.ready() ? HttpOk : HttpUnavailable, ""};
    if (Path != "/metrics")
      return {HttpNotFound, "page not found\n"};
    return {HttpOk,
            renderSiteMetrics(m_Node, m_LinksOpened, m_Peers->traffic())};
  }

  /// @brief Passes an event to the node and rearms the timer.
  template <class Handler> void dispatch(const Handler &Handle) {
    Handle(bootTime());
    armTimer();
  }

  void armTimer() {
    auto Next = m_Node.nextTimerDue();
    bool Earlier = Next && (!m_TimerDeadline || *Next < *m_TimerDeadline);
    if (!Earlier)
      return;
    m_TimerDeadline = Next;
    m_NodeTimer.expires_after(std::max(Duration(0), *Next - bootTime()));
    m_NodeTimer.async_wait([this](std::error_code Cancelled) {
      if (Cancelled)
        return;
      m_TimerDeadline.reset();
      dispatch([&](Instant Now) { m_Node.runDueTimers(Now); });
    });
  }

  void log(WriteLog &&Entry) {
    std::vector<WriteLog> Summaries;
    bool Admitted = m_Budget.admit(Entry.EventName, bootTime(), Summaries);
    for (WriteLog &Line : Summaries)
      m_Log.push(std::move(Line));
    if (Admitted)
      m_Log.push(std::move(Entry));
  }

  void waitForSignal() {
    m_Signals.async_wait([this](std::error_code Failed, int Number) {
      if (Failed)
        return;
      if (Number == SIGHUP) {
        checkSettings(true);
        checkPolicies();
      } else {
        m_Leaving = true;
        dispatch([&](Instant Now) { m_Node.terminate(Now); });
      }
      waitForSignal();
    });
  }

  void scheduleSettingsCheck() {
    m_SettingsTimer.expires_after(SettingsCheckInterval);
    m_SettingsTimer.async_wait([this](std::error_code Cancelled) {
      if (Cancelled)
        return;
      checkSettings(false);
      checkPolicies();
      scheduleSettingsCheck();
    });
  }

  /// @brief Applies changed policies; invalid ones keep the previous policies.
  void checkPolicies() {
    auto Read = m_Policies.read();
    if (!Read)
      log({WriteLog::Level::Error,
           "policies_refused",
           {{"reason", Read.error()}}});
    else if (*Read)
      dispatch([&](Instant Now) { m_Node.onPoliciesRead(Now, **Read); });
  }

  /// @brief Applies changed settings; new addresses need a restart.
  void checkSettings(bool BySignal) {
    auto Text = readTextFile(m_Options.SettingsPath);
    if (!Text || (!BySignal && *Text == m_SettingsText)) {
      if (!Text)
        log({WriteLog::Level::Error,
             "settings_not_read",
             {{"reason", Text.error()}}});
      return;
    }
    m_SettingsText = *Text;
    auto Read = readSettings(*Text);
    if (!Read) {
      log({WriteLog::Level::Error,
           "settings_refused",
           {{"reason", Read.error()}}});
      return;
    }
    m_Node.setGrace(Read->GracePeriod);
    bool SameAddresses = Read->CallerAddress == m_Boot.CallerAddress &&
                         Read->PeerAddress == m_Boot.PeerAddress &&
                         Read->StoreAddress == m_Boot.StoreAddress;
    log({WriteLog::Level::Info,
         "settings_reloaded",
         {{"signal", BySignal ? "yes" : "no"},
          {"needs_restart", SameAddresses ? "no" : "yes"}}});
  }

  SiteOptions m_Options;
  std::string m_SettingsText;
  platform::BootSettings m_Boot;
  Incarnation m_Start;
  PolicyFile m_Policies;
  LogThread m_Log;
  LogBudget m_Budget;
  asio::io_context m_Io{1};
  asio::signal_set m_Signals;
  asio::steady_timer m_NodeTimer;
  asio::steady_timer m_SettingsTimer;
  std::optional<Instant> m_TimerDeadline;
  StoreCalls m_Calls;
  StoreTables m_Tables;
  LinkSockets m_Links;
  std::unique_ptr<CallerSockets> m_Callers;
  std::unique_ptr<PeerStreams> m_Peers;
  std::unique_ptr<HttpServer> m_Probe;
  std::unique_ptr<HttpServer> m_Metrics;
  PoolNode m_Node;
  std::uint64_t m_LinksOpened = 0;
  bool m_Leaving = false;
};

} // namespace

tl::expected<void, std::string> runSite(const SiteOptions &Requested) {
  std::signal(SIGPIPE, SIG_IGN);
  SiteOptions Options = Requested;
  if (Options.SettingsPath.empty())
    Options.SettingsPath = platform::bootSettingsPath();
  if (Options.SettingsPath.empty())
    return tl::make_unexpected(std::string("no settings file was given"));
  auto Text = readTextFile(Options.SettingsPath);
  if (!Text)
    return tl::make_unexpected(Text.error());
  auto Boot = readSettings(*Text);
  if (!Boot)
    return tl::make_unexpected(Boot.error());
  SiteProcess Process(std::move(Options), std::move(*Text), std::move(*Boot));
  return Process.run();
}

} // namespace bergamotstage::runtime
