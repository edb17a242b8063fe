#include "runtime/Daemon.h"

#include "runtime/DecisionThread.h"
#include "runtime/LogThread.h"
#include "runtime/OperatorService.h"
#include "runtime/Tls.h"
#include "runtime/callers/CallerThread.h"
#include "runtime/peers/ForwardReceiver.h"
#include "runtime/peers/ForwardSender.h"
#include "runtime/peers/PeerThread.h"
#include "runtime/platform/PlatformThread.h"
#include "runtime/targets/TargetThread.h"

#include <chrono>
#include <csignal>
#include <random>
#include <utility>

namespace bergamotstage::runtime {
namespace {

constexpr int MinPingIntervalMilliseconds = 500;

Incarnation newIncarnation() {
  auto Elapsed = std::chrono::system_clock::now().time_since_epoch();
  return Incarnation(static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(Elapsed).count()));
}

/// @brief Requests a shutdown for each signal until the node has stopped.
class SignalHandler {
public:
  SignalHandler() : m_Signals(m_Io, SIGTERM, SIGINT) {}

  DaemonExit run(Daemon &Instance) {
    wait(Instance);
    m_Io.run();
    return m_Result;
  }

  void exit(const Exit &Request) {
    asio::post(m_Io, [this, Request] {
      m_Result.RequestsAborted = Request.RequestsAborted;
      m_Io.stop();
    });
  }

private:
  void wait(Daemon &Instance) {
    m_Signals.async_wait([this, &Instance](std::error_code Fault, int) {
      if (Fault)
        return;
      Instance.requestShutdown();
      wait(Instance);
    });
  }

  asio::io_context m_Io;
  asio::signal_set m_Signals;
  DaemonExit m_Result;
};

/// @brief TLS contexts and credentials loaded from the settings.
struct Credentials {
  std::shared_ptr<asio::ssl::context> Callers;
  PeerCredentials Peers;
  PeerCredentials Platform;
};

tl::expected<Credentials, std::string> loadCredentials(const Settings &Config) {
  Credentials Loaded;
  if (Config.CallerTls != TlsMode::Off) {
    auto Callers = makeCallerTls(Config.CallerFiles);
    if (!Callers)
      return tl::make_unexpected(Callers.error());
    Loaded.Callers = std::move(*Callers);
  }
  auto Peers = makePeerCredentials(Config.PeerTls);
  if (!Peers)
    return tl::make_unexpected(Peers.error());
  Loaded.Peers = std::move(*Peers);
  auto Platform = makePeerCredentials(Config.PlatformTls);
  if (!Platform)
    return tl::make_unexpected(Platform.error());
  Loaded.Platform = std::move(*Platform);
  return Loaded;
}

} // namespace

/// @brief Threads and services, in order of construction.
struct Daemon::Components {
  LogThread Log;
  PeerThread Peers;
  DecisionThread Decision;
  CallerThread Callers;
  TargetThread Targets;
  PlatformThread Platform;
  OperatorService Operators;
  PeerService PeerInput;
  ForwardSender Sender;
  ForwardReceiver Receiver;
  ForwardTransport Transport;
  std::unique_ptr<grpc::Server> Server;

  Components(const Settings &Config, Incarnation Start,
             const Credentials &Secured, std::unique_ptr<Node> DecisionNode,
             std::function<void(const Exit &)> OnExit)
      : Log(Config.LogLevel),
        Peers(Config.Node.Vm, Start, Secured.Peers.Client),
        Decision(std::move(DecisionNode), actionSinks(std::move(OnExit))),
        Callers(Decision.callerEvents(), Config.Limits, Secured.Callers,
                Config.CallerTls),
        Targets(Config.Target, Decision.targetEvents(),
                [this](RowChunk &&C) { return pushRows(std::move(C)); }),
        Platform(Config.PlatformAddress, Secured.Platform.Client,
                 Decision.platformEvents()),
        Operators(Decision.sharedEvents()), PeerInput(Decision.sharedEvents()),
        Sender(senderHooks()), Receiver(receiverHooks()),
        Transport(Config.Node.Vm, Start, Secured.Peers.Client,
                  transportHooks()) {}

  /// @brief Sends rows to a local caller or to the origin of a forwarded one.
  bool pushRows(RowChunk &&Chunk) {
    if (isForwarded(Chunk.Caller))
      return Receiver.pushRows(std::move(Chunk));
    return Callers.pushRows(std::move(Chunk));
  }

  bool pushCaller(CallerCommand &&Command) {
    CallerId Caller = std::visit(
        [](const auto &Alternative) { return Alternative.Caller; }, Command);
    if (!isForwarded(Caller))
      return Callers.push(std::move(Command));
    Receiver.push(std::move(Command));
    return true;
  }

  ForwardSender::Hooks senderHooks() {
    ForwardSender::Hooks Hooks;
    Hooks.Send = [this](const std::string &Address, ForwardFrame Frame) {
      return Transport.send(Address, std::move(Frame));
    };
    Hooks.Events = Decision.sharedEvents();
    Hooks.Rows = [this](RowChunk &&Chunk) {
      return Callers.pushForwardedRows(std::move(Chunk));
    };
    return Hooks;
  }

  ForwardReceiver::Hooks receiverHooks() {
    ForwardReceiver::Hooks Hooks;
    Hooks.Reply = [this](std::uint64_t Stream, ForwardFrame Frame) {
      return Transport.reply(Stream, std::move(Frame));
    };
    Hooks.Events = Decision.sharedEvents();
    return Hooks;
  }

  ForwardHooks transportHooks() {
    ForwardHooks Hooks;
    Hooks.OnRequest = [this](const ForwardOrigin &From, ForwardFrame &&Frame) {
      Receiver.onFrame(From, std::move(Frame));
    };
    Hooks.OnOriginLost = [this](const ForwardOrigin &From) {
      Receiver.onOriginLost(From);
    };
    Hooks.OnAnswer = [this](ForwardFrame &&Frame) {
      Sender.onFrame(std::move(Frame));
    };
    Hooks.OnLost = [this](std::uint64_t Id, bool NeverSent) {
      Sender.onLost(Id, NeverSent);
    };
    return Hooks;
  }

  ActionSinks actionSinks(std::function<void(const Exit &)> OnExit) {
    ActionSinks Sinks;
    Sinks.Callers = [this](CallerCommand &&C) {
      return pushCaller(std::move(C));
    };
    Sinks.Forwards = [this](ForwardCommand &&C) {
      return Sender.push(std::move(C));
    };
    Sinks.Targets = [this](TargetCommand &&C) {
      return Targets.push(std::move(C));
    };
    Sinks.Platform = [this](CallPlatform &&C) {
      return Platform.push(std::move(C));
    };
    Sinks.Peers = [this](SendPeer &&M) { return Peers.push(std::move(M)); };
    Sinks.Operators = [this](AnswerOperator &&A) {
      Operators.answer(std::move(A));
    };
    Sinks.Log = [this](WriteLog &&Entry) { Log.push(std::move(Entry)); };
    Sinks.Exit = std::move(OnExit);
    return Sinks;
  }

  /// @brief Starts the service for peers and operators.
  bool serve(const std::string &Address,
             const std::shared_ptr<grpc::ServerCredentials> &Secured) {
    grpc::ServerBuilder Builder;
    Builder.AddChannelArgument(
        GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS,
        MinPingIntervalMilliseconds);
    // With SO_REUSEPORT, two processes on one port would each get some peers.
    Builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    Builder.AddListeningPort(Address, Secured);
    Builder.RegisterService(&PeerInput);
    Builder.RegisterService(&Operators);
    Builder.RegisterService(&Transport.service());
    Server = Builder.BuildAndStart();
    return Server != nullptr;
  }

  void startThreads() {
    Log.start();
    Peers.start();
    Targets.start();
    Platform.start();
    Decision.start();
  }

  void stop() {
    if (Server)
      Server->Shutdown(std::chrono::system_clock::now());
    Transport.stop();
    Decision.stop();
    Callers.stop();
    Targets.stop();
    Platform.stop();
    Peers.stop();
    Log.stop();
  }
};

Daemon::Daemon(std::unique_ptr<Components> Instance)
    : m_Components(std::move(Instance)) {}

Daemon::~Daemon() { m_Components->stop(); }

tl::expected<std::unique_ptr<Daemon>, std::string>
Daemon::start(const Settings &Config,
              std::function<void(const Exit &)> OnExit) {
  NodeSettings Options = Config.Node;
  Options.ProcessIncarnation = newIncarnation();
  auto CreatedNode = Node::create(Options, std::random_device{}());
  if (!CreatedNode)
    return tl::make_unexpected(CreatedNode.error().Setting + " " +
                               CreatedNode.error().Reason);
  auto Secured = loadCredentials(Config);
  if (!Secured)
    return tl::make_unexpected(Secured.error());
  auto Instance =
      std::make_unique<Components>(Config, Options.ProcessIncarnation, *Secured,
                                   std::move(*CreatedNode), std::move(OnExit));
  if (!Instance->serve(Config.Node.PeerAddress, Secured->Peers.Server))
    return tl::make_unexpected("cannot listen on " + Config.Node.PeerAddress);
  auto Listening = Instance->Callers.start(Config.ListenAddress);
  if (!Listening)
    return tl::make_unexpected(Listening.error());
  Instance->startThreads();
  return std::unique_ptr<Daemon>(new Daemon(std::move(Instance)));
}

bool Daemon::requestShutdown() {
  return m_Components->Decision.sharedEvents()(ShutdownRequested{});
}

std::uint16_t Daemon::callerPort() const {
  return m_Components->Callers.port();
}

tl::expected<DaemonExit, std::string> runDaemon(const Settings &Config) {
  SignalHandler Signals;
  auto Instance = Daemon::start(
      Config, [&Signals](const Exit &Request) { Signals.exit(Request); });
  if (!Instance)
    return tl::make_unexpected(Instance.error());
  return Signals.run(**Instance);
}

} // namespace bergamotstage::runtime
