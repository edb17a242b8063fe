// The machines of a small deployment: processes of the program under review.
#ifndef REVIEW_STANDIN_MACHINES_H
#define REVIEW_STANDIN_MACHINES_H

#include "Instances.h"

#include <csignal>
#include <cstdlib>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace review {

/// @brief One machine with the one process that the deploy file names.
struct Machine {
  std::string Name;
  std::string Ip;
  std::string Zone;
  std::string Folder;
  int CallerPort = 0;
  int ReadyPort = 0;
  pid_t Process = 0;
  bool Ready = false;
  int Missed = 0; ///< Probes without a 200 in a row.
};

/// @brief Starts the machines, probes them as the platform does, and ends what
/// it started.
class Machines {
public:
  struct Options {
    unsigned Count = 3;
    unsigned GraceSeconds = 6;
    std::string Root;   ///< The repository, where the program starts.
    std::string Folder; ///< Temporary.
  };

  Machines(Loop &Io, Store &Platform, Record &Log, Options Given)
      : m_Io(Io), m_Store(Platform), m_Record(Log), m_Options(Given) {}
  ~Machines() {
    for (Machine &Each : m_Machines)
      if (Each.Process != 0) {
        ::kill(Each.Process, SIGKILL);
        waitpid(Each.Process, nullptr, 0);
      }
  }

  void start() {
    static const char *const Zones[] = {"zone-a", "zone-b", "zone-c"};
    int Ports[4] = {};
    for (int &Port : Ports)
      Port = freePort();
    for (unsigned Index = 0; Index < m_Options.Count; ++Index) {
      Machine Each;
      Each.Name = "frontend-" + std::to_string(Index + 1);
      Each.Ip = ipOf(Index);
      Each.Zone = Zones[Index % 3];
      Each.Folder = m_Options.Folder + "/" + Each.Name;
      Each.CallerPort = Ports[0];
      Each.ReadyPort = Ports[1];
      ::system(("mkdir -p '" + Each.Folder + "'").c_str());
      Json Settings = {
          {"node_name", Each.Name},
          {"role", "proxy"},
          {"machine_class", "frontend"},
          {"serves", {"frontend"}},
          {"ip", Each.Ip},
          {"zone", Each.Zone},
          {"region", "region-1"},
          {"zones",
           {{"zone-a", "region-1"},
            {"zone-b", "region-1"},
            {"zone-c", "region-1"}}},
          {"listen_addrs",
           {{"frontend", Each.Ip + ":" + std::to_string(Ports[0])},
            {"ready", Each.Ip + ":" + std::to_string(Ports[1])}}},
          {"internal_ports", {Ports[2], Ports[2]}},
          {"bootstrap", true},
          {"limits",
           {{"cpu_share", 0.25}, {"cpu_cores", 1}, {"memory_mb", 260}}},
          {"bounds", {{"grace_s", m_Options.GraceSeconds}}},
          {"platform", {{"address", m_Store.address()}, {"form", "table"}}},
          {"cloud_api", {{"address", m_Store.address()}}}};
      std::ofstream(Each.Folder + "/boot.json") << Settings.dump(2);
      m_MetricsPort = Ports[3];
      m_Machines.push_back(Each);
      spawn(m_Machines.back());
    }
    probe();
  }

  std::vector<Machine> &all() { return m_Machines; }
  Machine &at(std::size_t Index) { return m_Machines.at(Index); }
  bool allReady() const {
    return std::all_of(m_Machines.begin(), m_Machines.end(),
                       [](const Machine &Each) { return Each.Ready; });
  }
  Store &store() { return m_Store; }

  /// @brief Processor time that a machine's process has used, in seconds.
  static double processorSeconds(const Machine &Of) {
    std::ifstream In("/proc/" + std::to_string(Of.Process) + "/stat");
    std::string Text;
    std::getline(In, Text);
    std::string Rest = Text.substr(std::min(Text.size(), Text.rfind(')') + 2));
    constexpr int FieldsBefore = 11; // Between the name and the user time.
    for (int Field = 0; Field < FieldsBefore; ++Field)
      takeWord(Rest);
    double Ticks = std::atof(takeWord(Rest).c_str());
    Ticks += std::atof(takeWord(Rest).c_str());
    return Ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
  }

  void signal(Machine &To, int Number) {
    m_Record.add("signal " + std::to_string(Number) + " to " + To.Name);
    ::kill(To.Process, Number);
  }

private:
  static std::string ipOf(unsigned Index) {
    return "127.0.1." + std::to_string(Index + 1);
  }

  /// @brief A port that is free at the addresses of all machines.
  int freePort() {
    std::random_device Device;
    std::uniform_int_distribution<int> Ports(20000, 32000);
    while (true) {
      int Port = Ports(Device);
      bool Free = true;
      for (unsigned Index = 0; Index < m_Options.Count && Free; ++Index) {
        Loop Probe;
        Free = Probe.listen(ipOf(Index), Port, [](ConnectionPtr) {}) != 0;
        Probe.stopListening(ipOf(Index) + ":" + std::to_string(Port));
      }
      if (Free && m_Taken.insert(Port).second)
        return Port;
    }
  }

  void spawn(Machine &Each) {
    std::string Port = std::to_string(m_MetricsPort);
    pid_t Child = fork();
    if (Child != 0) {
      Each.Process = Child;
      return;
    }
    // The process ends with this one, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    int Out = ::open((Each.Folder + "/log").c_str(),
                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(Out, STDOUT_FILENO);
    dup2(Out, STDERR_FILENO);
    for (int Other = 3; Other < 1024; ++Other)
      ::close(Other);
    setenv("BERGAMOTSTAGE_BOOT", (Each.Folder + "/boot.json").c_str(), 1);
    if (chdir(m_Options.Root.c_str()) != 0)
      _exit(126);
    execl("target/bergamotstage", "target/bergamotstage", "site", "--rules",
          "deploy/policies.rules", "--metrics-port", Port.c_str(), nullptr);
    _exit(127);
  }

  void probe() {
    for (Machine &Each : m_Machines) {
      int Status = 0;
      if (Each.Process != 0 &&
          waitpid(Each.Process, &Status, WNOHANG) == Each.Process) {
        m_Record.add("ended " + Each.Name + " wait status " +
                     std::to_string(Status));
        Each.Process = 0;
      }
      ask(Each);
    }
    m_Io.after(1000, [this] { probe(); });
  }

  void ask(Machine &Each) {
    auto Peer = m_Io.connect(Each.Ip, Each.ReadyPort);
    auto Answered = std::make_shared<bool>(false);
    auto Missed = [&Each, Answered] {
      if (!std::exchange(*Answered, true) && ++Each.Missed >= 2)
        Each.Ready = false;
    };
    std::weak_ptr<Connection> Weak = Peer;
    Peer->OnData = [&Each, Answered, Missed, Weak](const std::string &Bytes) {
      if (Bytes.compare(0, 12, "HTTP/1.1 200") != 0)
        return Missed();
      *Answered = true;
      Each.Missed = 0;
      Each.Ready = true;
    };
    Peer->OnEnd = [Missed](const std::string &) { Missed(); };
    Peer->send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
    // Data written before the connection is open is sent once it is.
    m_Io.after(900, [Missed, Peer] {
      Missed();
      Peer->close();
    });
  }

  Loop &m_Io;
  Store &m_Store;
  Record &m_Record;
  Options m_Options;
  int m_MetricsPort = 0;
  std::set<int> m_Taken;
  std::vector<Machine> m_Machines;
};

/// @brief A client's connection; one request at a time.
class Client {
public:
  struct Answer {
    std::vector<std::string> Rows;
    std::string Code;      ///< Of an error; empty on success.
    std::string Signature; ///< As received.
    char State = 'I';
    bool Broken = false; ///< The connection ended before the answer did.
  };
  using Callback = std::function<void(const Answer &)>;

  Client(Loop &Io, Record &Log, std::string Name)
      : m_Io(Io), m_Record(Log), m_Name(std::move(Name)) {}
  ~Client() {
    if (m_Peer)
      m_Peer->close();
  }

  void start(const Machine &To, const std::string &Database,
             const std::string &Key, Callback OnReady) {
    m_Peer = m_Io.connect(To.Ip, To.CallerPort);
    m_Peer->OnData = [this](const std::string &Bytes) {
      for (const std::string &Line : m_Input.add(Bytes))
        onLine(Line);
    };
    m_Peer->OnEnd = [this](const std::string &Reason) {
      m_Record.add(m_Name + " connection ends: " + Reason);
      m_Pending.Broken = true;
      if (m_Callback)
        done();
      else if (OnIdleEnd)
        OnIdleEnd();
    };
    m_Callback = std::move(OnReady);
    m_Record.add(m_Name + " to " + To.Name + ": START " + Database);
    m_Peer->send("START " + Database + " " + Key + "\r\n");
  }

  void query(const std::string &Id, const std::string &Text,
             Callback OnAnswer) {
    m_Callback = std::move(OnAnswer);
    m_Pending = Answer();
    m_Record.add(m_Name + " sends " + Id + " " + Text);
    m_Peer->send("QUERY " + Id + " " + Text + "\r\n");
  }
  void close() { m_Peer->close(); }
  bool isOpen() const { return m_Peer && m_Peer->isOpen(); }

  std::function<void()> OnIdleEnd;

private:
  void onLine(const std::string &Line) {
    std::string Rest = Line;
    std::string Word = takeWord(Rest);
    if (Word == "ROW")
      m_Pending.Rows.push_back(Rest);
    else if (Word == "COMPLETE")
      m_Pending.Signature = Rest;
    else if (Word == "ERROR")
      m_Pending.Code = takeWord(Rest);
    else if (Word == "READY") {
      m_Pending.State = Rest.empty() ? '?' : Rest[0];
      done();
    }
  }
  void done() {
    m_Record.add(m_Name + " gets " +
                 (m_Pending.Broken           ? "no complete answer"
                  : !m_Pending.Code.empty() ? "ERROR " + m_Pending.Code
                                            : "COMPLETE " + m_Pending.Signature) +
                 " rows " + std::to_string(m_Pending.Rows.size()) + " state " +
                 m_Pending.State);
    auto Callback = std::exchange(m_Callback, nullptr);
    Answer Ended = std::exchange(m_Pending, Answer());
    if (Callback)
      Callback(Ended);
  }

  Loop &m_Io;
  Record &m_Record;
  std::string m_Name;
  ConnectionPtr m_Peer;
  Lines m_Input;
  Answer m_Pending;
  Callback m_Callback;
};

/// @brief A configuration with one route of each kind.
inline Json configuration(const Service::Options &Service) {
  auto Route = [&](const char *Database, const char *Type, int Timeout,
                   int Target, int Staleness) {
    Json Entry = {{"name", std::string("r-") + Database},
                  {"database", Database},
                  {"prefix", "/"},
                  {"type", Type},
                  {"timeout_ms", Timeout},
                  {"target_latency_ms", Target},
                  {"priority", 1},
                  {"service", Service.Name},
                  {"max_attempts", 2},
                  {"public", false}};
    if (Staleness > 0)
      Entry["max_staleness_ms"] = Staleness;
    return Entry;
  };
  return {{"version", 7},
          {"routes",
           {Route("offers", "primary", 800, 150, 0),
            Route("history", "bounded", 3000, 800, 1500),
            Route("updates", "read_your_writes", 800, 250, 2500)}},
          {"services",
           {{{"name", Service.Name},
             {"health_check_path", "/health"},
             {"max_connections", 23},
             {"sync_replicas", Service.SyncReplicas}}}},
          {"limits", {{"tx_idle_ms", 3000}}},
          {"tenants",
           {{{"name", "tenant-a"},
             {"api_keys", {"key-a"}},
             {"priority", 1},
             {"rate_per_s", 300},
             {"burst", 300}},
            {{"name", "tenant-b"},
             {"api_keys", {"key-b"}},
             {"priority", 1},
             {"rate_per_s", 300},
             {"burst", 300}}}}};
}

} // namespace review

#endif // REVIEW_STANDIN_MACHINES_H
