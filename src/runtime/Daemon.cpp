#include "runtime/Daemon.h"

#include "runtime/CallerThread.h"
#include "runtime/DecisionThread.h"
#include "runtime/LogThread.h"
#include "runtime/OperatorService.h"
#include "runtime/PeerThread.h"
#include "runtime/PlatformThread.h"
#include "runtime/TargetThread.h"

#include <chrono>
#include <csignal>
#include <random>
#include <utility>

namespace bergamotstage::runtime {
namespace {

Incarnation newIncarnation() {
  auto Elapsed = std::chrono::system_clock::now().time_since_epoch();
  return Incarnation(static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(Elapsed).count()));
}

/// @brief Turns signals into shutdown events until the node asks to exit.
class SignalWait {
public:
  SignalWait() : m_Signals(m_Io, SIGTERM, SIGINT) {}

  DaemonEnd run(const EventSink &Events) {
    wait(Events);
    m_Io.run();
    return m_End;
  }

  void exit(const Exit &Asked) {
    asio::post(m_Io, [this, Asked] {
      m_End.CutRequests = Asked.CutRequests;
      m_Io.stop();
    });
  }

private:
  void wait(const EventSink &Events) {
    m_Signals.async_wait([this, Events](std::error_code Fault, int) {
      if (Fault)
        return;
      Events(ShutdownAsked{});
      wait(Events);
    });
  }

  asio::io_context m_Io;
  asio::signal_set m_Signals;
  DaemonEnd m_End;
};

} // namespace

tl::expected<DaemonEnd, std::string> runDaemon(const Settings &Chosen) {
  NodeSettings ForNode = Chosen.Node;
  ForNode.Start = newIncarnation();
  auto Made = Node::create(ForNode, std::random_device{}());
  if (!Made)
    return tl::make_unexpected(Made.error().Member + " " + Made.error().Reason);
  SignalWait Signals;
  LogThread Log(Chosen.LogLevel);
  PeerThread Peers(ForNode.Vm, ForNode.Start);
  CallerThread *CallersAt = nullptr;
  TargetThread *TargetsAt = nullptr;
  PlatformThread *PlatformAt = nullptr;
  OperatorService *OperatorsAt = nullptr;
  ActionSinks Sinks;
  Sinks.Callers = [&](CallerCommand &&C) {
    return CallersAt->push(std::move(C));
  };
  Sinks.Targets = [&](TargetCommand &&C) {
    return TargetsAt->push(std::move(C));
  };
  Sinks.Platform = [&](CallPlatform &&C) {
    return PlatformAt->push(std::move(C));
  };
  Sinks.Peers = [&](SendPeer &&M) { return Peers.push(std::move(M)); };
  DecisionThread *DecisionAt = nullptr;
  Sinks.Forwards = [&](ForwardCommand &&C) {
    const auto *Wanted = std::get_if<ForwardStatement>(&C);
    if (Wanted == nullptr)
      return true;
    ForwardLost Lost{Wanted->Caller, Wanted->Statement, true, 0};
    return DecisionAt->otherEvents()(Lost);
  };
  Sinks.Operators = [&](AnswerOperator &&A) {
    OperatorsAt->answer(std::move(A));
  };
  Sinks.Log = [&](WriteLog &&Entry) { Log.push(std::move(Entry)); };
  Sinks.Exit = [&](const Exit &Asked) { Signals.exit(Asked); };
  DecisionThread Decision(std::move(*Made), std::move(Sinks));
  CallerThread Callers(Decision.callerEvents());
  TargetThread Targets(
      Chosen.Target, Decision.targetEvents(),
      [&Callers](RowChunk &&C) { return Callers.pushRows(std::move(C)); });
  PlatformThread Platform(Chosen.PlatformAddress, Decision.platformEvents());
  OperatorService Operators(Decision.otherEvents());
  PeerService PeerInput(Decision.otherEvents());
  DecisionAt = &Decision;
  CallersAt = &Callers;
  TargetsAt = &Targets;
  PlatformAt = &Platform;
  OperatorsAt = &Operators;
  grpc::ServerBuilder Builder;
  Builder.AddListeningPort(Chosen.Node.PeerAddress,
                           grpc::InsecureServerCredentials());
  Builder.RegisterService(&PeerInput);
  Builder.RegisterService(&Operators);
  std::unique_ptr<grpc::Server> Server = Builder.BuildAndStart();
  if (!Server)
    return tl::make_unexpected("cannot listen on " + Chosen.Node.PeerAddress);
  auto Listening = Callers.start(Chosen.ListenAddress);
  if (!Listening)
    return tl::make_unexpected(Listening.error());
  Log.start();
  Peers.start();
  Targets.start();
  Platform.start();
  Decision.start();
  DaemonEnd End = Signals.run(Decision.otherEvents());
  Server->Shutdown(std::chrono::system_clock::now());
  Decision.stop();
  Callers.stop();
  Targets.stop();
  Platform.stop();
  Peers.stop();
  Log.stop();
  return End;
}

} // namespace bergamotstage::runtime
