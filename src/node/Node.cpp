#include "bergamotstage/node/Node.h"

#include "bergamotstage/forward/HomeVm.h"
#include "bergamotstage/node/Status.h"
#include "bergamotstage/rules/PolicyChoice.h"

#include <utility>
#include <variant>

namespace bergamotstage {
namespace {

constexpr std::size_t MinSecretBytes = 16;
constexpr Duration DrainCheckInterval = milliseconds(20);
/// @brief Time to receive statements that peers sent before they learned of
/// the shutdown.
constexpr Duration LeaveGrace = milliseconds(500);

Refusal shutdownRefusal() {
  Refusal Reason;
  Reason.SqlState = sqlstate::AdminShutdown;
  Reason.State = RunState::NotRun;
  Reason.Message = "the proxy is shutting down";
  Reason.CloseConnection = true;
  return Reason;
}

} // namespace

tl::expected<std::unique_ptr<Node>, NodeError>
Node::create(NodeSettings Settings, std::uint64_t Seed) {
  if (Settings.Vm.value().empty())
    return tl::make_unexpected(NodeError{"vm", "must not be empty"});
  if (Settings.TokenSecret.size() < MinSecretBytes)
    return tl::make_unexpected(
        NodeError{"token_secret", "must have at least 16 bytes"});
  return std::unique_ptr<Node>(new Node(std::move(Settings), Seed));
}

Node::Node(NodeSettings Settings, std::uint64_t Seed)
    : m_Context(std::move(Settings), Seed), m_Accounts(m_Context),
      m_Targets(m_Context), m_Statements(m_Context, m_Accounts, m_Targets),
      m_Fleet(
          m_Context, [this] { onRulesChanged(); },
          [this] { m_Targets.onMembersChanged(); }) {
  m_Statements.setHomeLookup(
      [this](const DatabaseId &Database) { return findRemoteHome(Database); });
}

void Node::start(Instant Now, Actions &Out) {
  m_Context.beginStep(Now, Out);
  m_Fleet.start();
  m_Targets.start();
  scheduleWake();
}

void Node::step(Instant Now, const Event &Input, Actions &Out) {
  m_Context.beginStep(Now, Out);
  if (m_ScheduledWake && *m_ScheduledWake <= Now)
    m_ScheduledWake.reset();
  m_Context.timers().runDue(Now);
  dispatch(Input);
  scheduleWake();
}

void Node::dispatch(const Event &Input) {
  struct Dispatcher {
    Node &Self;
    void operator()(const CallerOpened &E) { Self.onCallerOpened(E); }
    void operator()(const StatementReceived &E) {
      Self.m_Statements.onStatementReceived(E);
    }
    void operator()(const CancelRequested &E) {
      Self.m_Statements.onCancelRequested(E);
    }
    void operator()(const CallerClosed &E) {
      Self.m_Statements.onCallerClosed(E);
    }
    void operator()(const LinkOpened &E) { Self.m_Targets.onLinkOpened(E); }
    void operator()(const LinkFailed &E) { Self.m_Targets.onLinkFailed(E); }
    void operator()(const LinkAnswered &E) { Self.m_Targets.onLinkAnswered(E); }
    void operator()(const ForwardReceived &E) {
      Self.m_Statements.onForwardReceived(E);
    }
    void operator()(const ForwardAnswered &E) {
      Self.m_Statements.onForwardAnswered(E);
    }
    void operator()(const ForwardLost &E) {
      Self.m_Statements.onForwardLost(E);
    }
    void operator()(const PlatformAnswered &E) {
      Self.m_Context.onPlatformAnswered(E);
    }
    void operator()(const PeerReceived &E) { Self.onPeerReceived(E); }
    void operator()(const OperatorRequested &E) { Self.onOperatorRequested(E); }
    void operator()(const TimerFired &) {}
    void operator()(const ShutdownRequested &) { Self.shutdown(); }
    void operator()(const AcceptFailed &E) {
      Self.m_Context.log(WriteLog::Level::Warning, "accept_failed",
                         {{"reason", E.Reason}});
    }
  };
  std::visit(Dispatcher{*this}, Input);
}

void Node::onPeerReceived(const PeerReceived &Event) {
  switch (Event.Message.Channel) {
  case PeerChannel::Membership:
  case PeerChannel::Rules:
    return m_Fleet.onPeerMessage(Event);
  case PeerChannel::Allocation:
    return m_Accounts.onPeerMessage(Event);
  case PeerChannel::Failover:
    return m_Targets.onPeerMessage(Event);
  case PeerChannel::Forwarding:
    return;
  }
}

std::optional<VmId> Node::findRemoteHome(const DatabaseId &Database) {
  PolicyChoice Policy =
      choosePolicy(m_Context.rules(), "home", "rendezvous", 0);
  const GroupState *Group = m_Targets.group(Database);
  if (Policy.Choice == "none" || Group == nullptr)
    return std::nullopt;
  const TargetState *Primary = Group->find(Group->Primary);
  DataCentreId PrimaryCentre =
      Primary == nullptr ? DataCentreId() : Primary->DataCentre;
  std::optional<VmId> Home =
      chooseHomeVm(Database, PrimaryCentre, m_Context.members());
  if (!Home || *Home == m_Context.settings().Vm)
    return std::nullopt;
  return Home;
}

void Node::onRulesChanged() {
  m_Targets.onRulesChanged();
  m_Accounts.onRulesChanged();
  m_Statements.onRulesChanged();
}

void Node::onCallerOpened(const CallerOpened &Event) {
  if (m_DrainingSince)
    m_Context.emit(CloseCaller{Event.Caller, shutdownRefusal()});
  else
    m_Statements.onCallerOpened(Event);
}

void Node::answerStatus(const OperatorRequested &Request) {
  bool AsJson = Request.Arguments.count("json") > 0;
  m_Context.emit(AnswerOperator{
      Request.Call, true,
      AsJson ? renderStatusJson(m_Context, m_Targets, m_Accounts)
             : renderStatusText(m_Context, m_Targets, m_Accounts)});
}

void Node::onOperatorRequested(const OperatorRequested &Request) {
  if (Request.Verb == "status")
    return answerStatus(Request);
  if (Request.Verb != "drain")
    return m_Fleet.onOperatorRequest(Request);
  m_Context.emit(AnswerOperator{Request.Call, true, "draining"});
  if (!m_DrainingSince)
    shutdown();
}

void Node::shutdown() {
  if (m_DrainingSince)
    return exit();
  m_DrainingSince = m_Context.now();
  m_Context.log(WriteLog::Level::Info, "shutdown_started", {});
  m_Fleet.leave();
  m_Context.timers().schedule(
      m_Context.now() + m_Context.settings().DrainTimeout, [this] { exit(); });
  checkDrained();
}

/// @brief Ends the process and logs whether that aborts requests.
void Node::exit() {
  bool Aborted = m_Statements.isBusy();
  m_Context.log(Aborted ? WriteLog::Level::Warning : WriteLog::Level::Info,
                "shutdown_done", {{"requests_cut", Aborted ? "yes" : "no"}});
  m_Context.emit(Exit{Aborted});
}

void Node::checkDrained() {
  m_Statements.closeIdleCallers(shutdownRefusal());
  bool GraceOver = m_Context.now() - *m_DrainingSince >= LeaveGrace;
  bool Idle = GraceOver && !m_Statements.isBusy();
  if (Idle)
    m_Accounts.drain();
  if (Idle && m_Accounts.isDrained())
    return exit();
  m_Context.timers().schedule(m_Context.now() + DrainCheckInterval,
                              [this] { checkDrained(); });
}

void Node::scheduleWake() {
  std::optional<Instant> NextTimer = m_Context.timers().next();
  if (!NextTimer || NextTimer == m_ScheduledWake)
    return;
  m_ScheduledWake = NextTimer;
  m_Context.emit(WakeAt{*NextTimer});
}

} // namespace bergamotstage
