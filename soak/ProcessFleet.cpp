#include "ProcessFleet.h"

#include "PlatformText.h"

#include "runtime/site/BootClock.h"

#include <nlohmann/json.hpp>

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <iterator>
#include <set>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace bergamotstage::soak {
namespace {

using Json = nlohmann::json;
using pooling::Statement;

constexpr Duration IdleTimeout = seconds(600);
constexpr Duration ReapInterval = milliseconds(50);
constexpr Duration ReplicationInterval = milliseconds(5);
constexpr Duration PromotionTime = milliseconds(200);
constexpr Duration RestartDelay = milliseconds(400);
constexpr Duration LoadTime = milliseconds(50);
/// The configured grace period of 6 s and one second of scheduling delay.
constexpr Duration StopTimeout = seconds(7);
constexpr unsigned Slots = 3;
constexpr Duration EvacuationBound = seconds(5);
const char *const Zones[] = {"east", "west", "south"};

/// Below the ephemeral range: an outgoing connection must not take the port of
/// a process that is down.
constexpr unsigned FirstPort = 20000;
constexpr unsigned LastPort = 32000;

/// @brief Returns a free port below the ephemeral range, another one each time.
unsigned freePort(asio::io_context &Io) {
  static std::set<unsigned> Given;
  std::random_device Device;
  std::uniform_int_distribution<unsigned> Ports(FirstPort, LastPort);
  while (true) {
    asio::ip::tcp::endpoint Local(asio::ip::address_v4::loopback(),
                                  static_cast<std::uint16_t>(Ports(Device)));
    asio::ip::tcp::acceptor Probe(Io);
    std::error_code Error;
    Probe.open(Local.protocol(), Error);
    Probe.bind(Local, Error);
    if (!Error && Given.insert(Local.port()).second)
      return Local.port();
  }
}

std::string loopback(unsigned Port) {
  return "127.0.0.1:" + std::to_string(Port);
}

} // namespace

ProcessFleet::ProcessFleet(const Settings &Options,
                           const pooling::SiteConfig &Config)
    : m_Settings(Options), m_Config(Config), m_Random(Options.Seed),
      m_Store(std::make_unique<StoreStandIn>(m_Io, Options.Vms, Options.Seed)),
      m_Processes(Options.Vms), m_Evacuations(EvacuationBound, Options.Vms) {
  for (unsigned Index = 0; Index < Options.Groups; ++Index) {
    DatabaseId Id("group-" + std::to_string(Index));
    std::vector<TargetId> Targets;
    for (unsigned Replica = 0; Replica < 3; ++Replica)
      Targets.emplace_back(Id.value() + "-" + std::to_string(Replica));
    m_Groups.push_back(std::make_unique<standin::ModelGroup>(Id, Targets));
    for (const TargetId &Name : Targets) {
      Target &State = m_Targets[Name];
      State.Group = Index;
      State.StandIn = std::make_unique<TargetStandIn>(
          m_Io, *m_Groups.back(), Name, m_LastLink, m_Random, Options.Vms);
      State.StandIn->onStatement(
          [this, Name = Name](unsigned Vm, const Statement &Stmt) {
            m_Evacuations.onStatement(Vm, Name, dataCentreOf(Name),
                                      Stmt.RequestId, now());
          });
      for (unsigned Vm = 0; Vm < Options.Vms; ++Vm)
        State.Proxies.push_back(
            std::make_unique<FaultProxy>(m_Io, State.StandIn->address(Vm)));
    }
  }
  m_Store->onView(
      [this](unsigned Vm, const std::string &Key, const std::string &Value) {
        auto Named = m_Targets.find(TargetId(Key));
        if (Named == m_Targets.end())
          return Value;
        Json Entry = Json::parse(Value);
        Entry["address"] = Named->second.Proxies.at(Vm)->address();
        return Entry.dump();
      });
  m_Store->onPromote(
      [this](const std::string &Service, const std::string &Name) {
        return promote(Service, Name);
      });
}

ProcessFleet::~ProcessFleet() {
  for (unsigned Vm = 0; Vm < m_Processes.size(); ++Vm) {
    if (m_Processes[Vm].Id == 0)
      continue;
    signal(Vm, SIGKILL);
    waitpid(m_Processes[Vm].Id, nullptr, 0);
  }
}

Instant ProcessFleet::now() const { return runtime::bootTime(); }

void ProcessFleet::run(Duration Span) { m_Io.run_for(Span); }

void ProcessFleet::after(Duration Span, std::function<void()> Callback) {
  auto Timer = std::make_shared<asio::steady_timer>(m_Io, Span);
  Timer->async_wait(
      [Timer, Callback = std::move(Callback)](std::error_code) { Callback(); });
}

std::vector<VmId> ProcessFleet::vms() const {
  std::vector<VmId> Vms;
  for (unsigned Vm = 0; Vm < m_Processes.size(); ++Vm)
    Vms.emplace_back("vm-" + std::to_string(Vm));
  return Vms;
}

void ProcessFleet::start() {
  m_Store->put("op", "config", configDocument(m_Config));
  for (const auto &[Name, State] : m_Targets)
    publish(Name);
  unsigned Number = 0;
  for (const std::string &Odd : oddTargetEntries(m_Groups[0]->id().value()))
    m_Store->put("servers", "odd-" + std::to_string(++Number), Odd);
  for (unsigned Vm = 0; Vm < m_Processes.size(); ++Vm) {
    Process &State = m_Processes[Vm];
    State.CallerPort = freePort(m_Io);
    State.ProbePort = freePort(m_Io);
    State.PeerPort = freePort(m_Io);
    writeSettings(Vm);
    spawn(Vm);
  }
  after(ReapInterval, [this] { reap(); });
  after(ReplicationInterval, [this] { replicate(); });
}

void ProcessFleet::writeSettings(unsigned Vm) const {
  const Process &State = m_Processes[Vm];
  Json Settings = {
      {"node_name", "vm-" + std::to_string(Vm)},
      {"zone", Zones[Vm % 3]},
      {"ip", "127.0.0.1"},
      {"listen_addrs",
       {{"frontend", loopback(State.CallerPort)},
        {"ready", loopback(State.ProbePort)}}},
      {"internal_ports", {State.PeerPort, State.PeerPort}},
      {"platform", {{"address", m_Store->address(Vm)}}},
      {"cloud_api", {{"address", m_Store->address(Vm)}}},
      {"zones", Json::object()},
      {"bounds",
       {{"grace_s", 6}, {"evacuate_ms", toMilliseconds(EvacuationBound)}}}};
  for (const char *Zone : Zones)
    Settings["zones"][Zone] = "region";
  std::ofstream(settingsFile(Vm)) << Settings.dump(2);
  if (!m_Settings.Rules.empty())
    std::ofstream(rulesFile(Vm)) << m_Settings.Rules.at(Vm);
}

std::string ProcessFleet::rulesFile(unsigned Vm) const {
  return m_Settings.Folder + "/vm-" + std::to_string(Vm) + ".rules";
}

std::string ProcessFleet::settingsFile(unsigned Vm) const {
  return m_Settings.Folder + "/vm-" + std::to_string(Vm) + ".json";
}

void ProcessFleet::spawn(unsigned Vm) {
  Process &State = m_Processes[Vm];
  State.Killed = false;
  State.Terminating = false;
  std::string File = settingsFile(Vm);
  std::string Log = m_Settings.Folder + "/vm-" + std::to_string(Vm) + ".log";
  pid_t Child = fork();
  if (Child != 0) {
    State.Id = Child;
    return;
  }
  int Out = open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(Out, STDOUT_FILENO);
  dup2(Out, STDERR_FILENO);
  std::string Rules = rulesFile(Vm);
  execl(m_Settings.Program.c_str(), m_Settings.Program.c_str(), "site",
        "--settings", File.c_str(), "--metrics-port", "0",
        m_Settings.Rules.empty() ? nullptr : "--rules", Rules.c_str(), nullptr);
  _exit(127);
}

void ProcessFleet::signal(unsigned Vm, int Number) {
  if (m_Processes[Vm].Id != 0)
    ::kill(m_Processes[Vm].Id, Number);
}

void ProcessFleet::reap() {
  for (unsigned Vm = 0; Vm < m_Processes.size(); ++Vm) {
    Process &State = m_Processes[Vm];
    int Status = 0;
    bool Ended =
        State.Id != 0 && waitpid(State.Id, &Status, WNOHANG) == State.Id;
    bool Late = State.Id != 0 && State.Terminating &&
                now() - State.TerminatedAt > StopTimeout;
    if (Late && !Ended) {
      m_Failures.push_back("vm-" + std::to_string(Vm) +
                           " did not stop within its grace period");
      State.Terminating = false;
      State.Killed = true;
      signal(Vm, SIGKILL);
    }
    if (!Ended)
      continue;
    bool Expected = State.Killed || State.Terminating;
    if (!Expected)
      m_Failures.push_back("vm-" + std::to_string(Vm) +
                           " exited unexpectedly, wait status " +
                           std::to_string(Status));
    State.Id = 0;
    if (!State.Killed)
      after(RestartDelay, [this, Vm] { spawn(Vm); });
  }
  after(ReapInterval, [this] { reap(); });
}

void ProcessFleet::kill(unsigned Vm, Duration Downtime) {
  Process &State = m_Processes[Vm];
  if (State.Id == 0 || State.Killed)
    return;
  State.Killed = true;
  signal(Vm, SIGKILL);
  after(Downtime, [this, Vm] { spawn(Vm); });
}

void ProcessFleet::freeze(unsigned Vm, Duration Span) {
  pid_t Id = m_Processes[Vm].Id;
  if (Id == 0)
    return;
  signal(Vm, SIGSTOP);
  m_Evacuations.loseContact(Vm, now() + Span);
  after(Span, [this, Vm, Id] {
    if (m_Processes[Vm].Id == Id)
      signal(Vm, SIGCONT);
  });
}

void ProcessFleet::terminate(unsigned Vm) {
  Process &State = m_Processes[Vm];
  if (State.Id == 0 || State.Killed || State.Terminating)
    return;
  State.Terminating = true;
  State.TerminatedAt = now();
  // A paused process cannot handle SIGTERM.
  signal(Vm, SIGCONT);
  signal(Vm, SIGTERM);
}

/// @brief Whether a process blocks or catches SIGHUP, from the kernel's view.
bool ProcessFleet::keepsHangup(pid_t Id) {
  std::ifstream Status("/proc/" + std::to_string(Id) + "/status");
  constexpr std::size_t NameLength = 7; // SigBlk: or SigCgt:
  for (std::string Line; std::getline(Status, Line);) {
    std::string Name = Line.substr(0, NameLength);
    if (Name != "SigBlk:" && Name != "SigCgt:")
      continue;
    if ((std::stoull(Line.substr(NameLength), nullptr, 16) & 1U) != 0)
      return true;
  }
  return false;
}

void ProcessFleet::sendHangup(unsigned Vm) {
  pid_t Id = m_Processes[Vm].Id;
  if (Id == 0)
    return;
  if (keepsHangup(Id))
    return signal(Vm, SIGHUP);
  // No program survives a SIGHUP while the loader still maps its libraries.
  after(LoadTime, [this, Vm, Id] {
    if (m_Processes[Vm].Id == Id)
      sendHangup(Vm);
  });
}

void ProcessFleet::setLinkFault(unsigned Vm, const TargetId &Name,
                                FaultProxy::Mode Mode, Duration Span) {
  FaultProxy *Proxy = m_Targets.at(Name).Proxies.at(Vm).get();
  Proxy->setMode(Mode);
  after(Span, [Proxy] { Proxy->setMode(FaultProxy::Mode::Pass); });
}

void ProcessFleet::resetLinks(unsigned Vm) {
  for (auto &[Name, State] : m_Targets)
    State.Proxies.at(Vm)->reset();
}

void ProcessFleet::setStoreFault(unsigned Vm, StoreStandIn::Mode Mode,
                                 Duration Span) {
  m_Store->setMode(Vm, Mode);
  // With LoseReplies the rows can still be read.
  if (Mode != StoreStandIn::Mode::LoseReplies)
    m_Evacuations.loseContact(Vm, now() + Span);
  after(Span, [this, Vm] { m_Store->setMode(Vm, StoreStandIn::Mode::Up); });
}

void ProcessFleet::makeUnresponsive(const TargetId &Name, Duration Span) {
  m_Targets.at(Name).StandIn->setUnresponsive(true);
  after(Span, [this, Name] {
    Target &State = m_Targets.at(Name);
    State.StandIn->setUnresponsive(false);
    m_Groups[State.Group]->rejoin(Name);
    for (const auto &Proxy : State.Proxies)
      Proxy->reset();
    publish(Name);
  });
}

void ProcessFleet::loseReplies(const TargetId &Name, double Ratio,
                               Duration Span) {
  m_Targets.at(Name).StandIn->setLostReplyRatio(Ratio);
  after(Span,
        [this, Name] { m_Targets.at(Name).StandIn->setLostReplyRatio(0); });
}

void ProcessFleet::drainTarget(const TargetId &Name, Duration Span) {
  m_Targets.at(Name).Draining = true;
  publish(Name);
  after(Span, [this, Name] {
    m_Targets.at(Name).Draining = false;
    publish(Name);
  });
}

void ProcessFleet::evacuate(const DataCentreId &DataCentre,
                            const std::string &Body, Duration Span) {
  if (m_Evacuations.isEvacuated(DataCentre))
    return;
  std::string Key = "evacuate/" + DataCentre.value();
  m_Evacuations.begin(DataCentre, now());
  m_Store->put("op", Key, Body);
  after(Span, [this, DataCentre, Key] {
    m_Evacuations.end(DataCentre);
    m_Store->remove("op", Key);
  });
}

std::vector<DataCentreId> ProcessFleet::dataCentres() {
  return {std::begin(Zones), std::end(Zones)};
}

DataCentreId ProcessFleet::dataCentreOf(const TargetId &Name) const {
  constexpr std::size_t Count = std::size(Zones);
  std::size_t Index =
      m_Settings.SpreadTargets
          ? std::stoul(Name.value().substr(Name.value().find_last_of('-') + 1))
          : std::hash<std::string>()(Name.value());
  return DataCentreId(Zones[Index % Count]);
}

void ProcessFleet::publish(const TargetId &Name) {
  Target &State = m_Targets.at(Name);
  const standin::ModelGroup &Group = *m_Groups[State.Group];
  Json Entry = {
      {"service", Group.id().value()},
      {"address", ""},
      {"zone", dataCentreOf(Name).value()},
      {"version", "v1"},
      {"capacity", Slots},
      {"state", State.Draining ? "draining" : "ready"},
      {"cold_remaining_ms", 0},
      {"db_role", Group.believesItIsPrimary(Name) ? "primary" : "replica"},
      {"sequence", ++State.Sequence},
      {"born", 1}};
  m_Store->put("servers", Name.value(), Entry.dump());
}

bool ProcessFleet::promote(const std::string &Service,
                           const std::string &Name) {
  auto Found = m_Targets.find(TargetId(Name));
  if (Found == m_Targets.end() || Found->second.StandIn->isUnresponsive())
    return false;
  standin::ModelGroup *Group = m_Groups[Found->second.Group].get();
  if (Group->id().value() != Service)
    return false;
  after(PromotionTime, [this, Group, NewPrimary = TargetId(Name)] {
    TargetId OldPrimary = Group->primary();
    if (OldPrimary == NewPrimary)
      return;
    Group->promote(NewPrimary);
    ++m_Promotions;
    publish(NewPrimary);
    if (!m_Targets.at(OldPrimary).StandIn->isUnresponsive())
      publish(OldPrimary);
  });
  return true;
}

void ProcessFleet::replicate() {
  for (const auto &Group : m_Groups) {
    if (m_Targets.at(Group->primary()).StandIn->isUnresponsive())
      continue;
    std::size_t Length = Group->log().size();
    for (const TargetId &Name : Group->targets()) {
      bool CaughtUp = Group->applied(Name) >= Length;
      if (Name == Group->primary() ||
          m_Targets.at(Name).StandIn->isUnresponsive() || CaughtUp)
        continue;
      after(m_Lag,
            [Replicated = Group.get(), Name, Length, AtTerm = Group->term()] {
              if (Replicated->term() == AtTerm)
                Replicated->apply(Name, Length);
            });
    }
  }
  after(ReplicationInterval, [this] { replicate(); });
}

CallerId ProcessFleet::connect(const VmId &Vm, const std::string &Database,
                               const std::string &Key) {
  CallerId Id(++m_LastCaller);
  unsigned Index = static_cast<unsigned>(std::stoul(Vm.value().substr(3)));
  runtime::ByteStream::Hooks Hooks;
  Hooks.Received = [this, Vm, Id](std::string_view Bytes) {
    onBytes(Vm, Id, Bytes);
  };
  Hooks.Ended = [this, Vm, Id](const std::string &) {
    m_Callers.erase(Id);
    m_OnClose(Vm, Id);
  };
  Caller &Client = m_Callers[Id];
  Client.Stream = runtime::ByteStream::connect(
      m_Io, loopback(m_Processes[Index].CallerPort), IdleTimeout,
      std::move(Hooks));
  Client.Stream->send("START " + Database + " " + Key + "\r\n");
  return Id;
}

void ProcessFleet::send(const VmId &, CallerId Id, const Statement &Stmt) {
  auto Found = m_Callers.find(Id);
  if (Found != m_Callers.end())
    Found->second.Stream->send(statementLine(Stmt));
}

void ProcessFleet::disconnect(const VmId &, CallerId Id) {
  auto Found = m_Callers.find(Id);
  if (Found == m_Callers.end())
    return;
  auto Stream = Found->second.Stream;
  m_Callers.erase(Found);
  Stream->close();
}

void ProcessFleet::onBytes(const VmId &Vm, CallerId Id,
                           std::string_view Bytes) {
  auto Found = m_Callers.find(Id);
  if (Found == m_Callers.end())
    return;
  Found->second.Lines.append(Bytes);
  while (true) {
    Found = m_Callers.find(Id);
    if (Found == m_Callers.end())
      return;
    auto Line = Found->second.Lines.next();
    if (!Line)
      return;
    auto Progress = Found->second.Reader.addLine(*Line);
    if (Progress == platform::LinkReplyReader::Progress::Malformed)
      m_Failures.push_back("a caller received a malformed reply: " + *Line);
    if (Progress == platform::LinkReplyReader::Progress::Complete)
      deliver(Vm, Id, Found->second.Reader.takeReply());
  }
}

void ProcessFleet::deliver(const VmId &Vm, CallerId Id,
                           pooling::LinkReply Parsed) {
  Caller &Client = m_Callers.at(Id);
  pooling::CallerReply Reply;
  Reply.Greeting = !Client.Greeted;
  Client.Greeted = true;
  Reply.Rows = std::move(Parsed.Rows);
  Reply.Error = Parsed.Error;
  Reply.ErrorText = Parsed.ErrorText;
  Reply.Signature = Parsed.Signature;
  Reply.State = Parsed.State;
  Reply.Position = Parsed.Position;
  m_OnAnswer(Vm, Id, Reply);
}

} // namespace bergamotstage::soak
