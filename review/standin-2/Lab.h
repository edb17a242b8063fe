// Stand-ins for the platform's store and promotion call, database instances and
// clients, and the start and stop of the program's own processes. Everything is
// on loopback addresses and on the real clock. One thread serves all sockets of
// the stand-ins; one mutex guards their state.
#ifndef REVIEW_STANDIN_2_LAB_H
#define REVIEW_STANDIN_2_LAB_H

#include <nlohmann/json.hpp>

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace lab {

using Json = nlohmann::json;

/// Milliseconds of the steady clock since the start of the program.
std::int64_t nowMs();
void sleepMs(std::int64_t Milliseconds);
/// A port of an address that is free now.
int freePort(const std::string &Ip);

/// Writes record.txt.
class Record {
public:
  explicit Record(const std::string &Path);
  ~Record();
  void line(const std::string &Text);

private:
  std::mutex m_Mutex;
  std::FILE *m_File;
};

/// TERM.NUMBER of an instance's log.
struct Position {
  std::uint64_t Term = 0;
  std::uint64_t Number = 0;
  std::string text() const;
};
bool operator<(const Position &Left, const Position &Right);

struct Commit {
  Position At;
  std::map<std::string, std::string> Data;
  std::int64_t SentMs = 0; ///< When the primary sent it to its replicas.
};

class Lab;
struct Connection;

/// One database instance.
struct Instance {
  std::string Id;
  std::string Service;
  std::string Zone;
  int Port = 0;
  bool Primary = false;
  std::uint64_t Term = 1;
  std::vector<Commit> Log; ///< Applied commits, oldest first.
  std::int64_t LagMs = 8;  ///< Time until a replica applies a commit.
  std::string State = "ready";
  bool Listed = true; ///< Whether it writes to the store.
  /// Processes whose connections are reset, and which cannot connect.
  std::set<pid_t> CutFrom;
  std::uint64_t Sequence = 0;
  std::int64_t Born = 0;
  int Listener = -1;

  Position end() const;
};

/// What an instance ran for a client.
struct Run {
  std::int64_t AtMs = 0;
  std::string Instance;
  std::string Service;
  std::string RequestId;
  std::string Text;
  std::string Outcome; ///< "ok", or an error code.
  Position LogEnd;     ///< Of the instance when it ran the statement.
};

struct Reply {
  bool Answered = false; ///< A whole answer arrived.
  std::string Error;     ///< Code; empty for a success.
  std::string ErrorText;
  std::vector<std::string> Rows;
  std::string Signature;
  std::string State;
  std::string Where; ///< Position as sent.
  std::int64_t SentMs = 0;
  std::int64_t EndedMs = 0;
};

/// One session of a client, with blocking calls.
class Session {
public:
  Session(Record &Log, std::string Name);
  ~Session();
  /// Whether the greeting arrived.
  bool open(const std::string &Ip, int Port, const std::string &Database,
            const std::string &Key, int TimeoutMs);
  Reply query(const std::string &Text, int TimeoutMs);
  bool isOpen() const { return m_Socket >= 0; }
  void close();

private:
  std::optional<std::string> readLine(std::int64_t Deadline);

  Record &m_Log;
  std::string m_Name;
  int m_Socket = -1;
  std::string m_Bytes;
};

/// One process of the program under test.
struct Daemon {
  std::string Name;
  std::string Zone;
  std::string Ip;
  int CallerPort = 0;
  int ReadyPort = 0;
  int PeerPort = 0;
  int MetricsPort = 0;
  std::string Boot;
  std::string LogPath;
  pid_t Pid = -1;
  unsigned Starts = 0;
};

class Lab {
public:
  /// @param Folder temporary folder for settings and logs
  Lab(std::string Folder, Record &Log);
  ~Lab();

  std::mutex &mutex() { return m_Mutex; }

  // The deployment. Names of zones, in order, are those of the daemons.
  Daemon &addDaemon(const std::string &Name, const std::string &Zone);
  Instance &addInstance(const std::string &Id, const std::string &Service,
                        const std::string &Zone, bool Primary);
  /// Starts to serve the stand-ins' sockets.
  void serve();
  void putConfig(const Json &Config);

  void start(Daemon &Started);
  void signal(Daemon &Receiver, int Number);
  /// Ends a process with SIGKILL and waits for its end.
  void kill(Daemon &Ended);
  void killAll();
  /// Whether the daemon answers the ready probe with 200.
  bool isReady(const Daemon &Asked);
  bool awaitReady(std::int64_t TimeoutMs);

  /// Cuts an instance off from some daemons: their connections are reset, and
  /// so are new ones.
  void cut(Instance &Target, const std::vector<Daemon *> &From);
  void heal(Instance &Target);

  /// Row of the store, for what a test has to know.
  std::optional<std::string> row(const std::string &Table,
                                 const std::string &Key);

  std::list<Daemon> Daemons;
  std::list<Instance> Instances;
  std::vector<Run> Runs; ///< Guarded by mutex().
  int PromoteMs = 300;
  int WorkMs = 5;
  int HandshakeMs = 12;
  int StoreMs = 4;
  unsigned MaxConnections = 23;
  /// Items that all instances hold from the start, one row a line.
  std::map<std::string, std::string> Stored;
  std::uint64_t Promotions = 0;

private:
  friend struct Connection;
  struct Row {
    std::string Value;
    std::uint64_t Version = 0;
    bool Deleted = false;
  };
  struct Poll {
    std::weak_ptr<Connection> Peer;
    std::string Table;
    std::uint64_t After = 0;
    std::int64_t DueMs = 0;
  };
  struct Timer {
    std::int64_t DueMs;
    std::function<void()> Call;
  };

  void run();
  void after(std::int64_t Milliseconds, std::function<void()> Call);
  int listenOn(const std::string &Ip, int &Port);
  void acceptOn(int Listener);
  void onBytes(const std::shared_ptr<Connection> &Peer);
  void onHttp(const std::shared_ptr<Connection> &Peer);
  void handleStore(const std::shared_ptr<Connection> &Peer,
                   const std::string &Method, const std::string &Path,
                   const std::map<std::string, std::string> &Query,
                   const std::string &Body);
  void handlePromote(const std::shared_ptr<Connection> &Peer,
                     const std::map<std::string, std::string> &Headers,
                     const std::string &Body);
  void answerHttp(const std::shared_ptr<Connection> &Peer, unsigned Status,
                  const std::string &Body);
  Json renderRows(const std::string &Table,
                  const std::function<bool(const std::string &, const Row &)>
                      &Filter,
                  std::size_t Limit, bool &HasMore) const;
  void put(const std::string &Table, const std::string &Key,
           const std::string &Value);
  void completePolls();
  void beat(Instance &Source);
  void scheduleBeat(Instance &Source);
  void onLine(const std::shared_ptr<Connection> &Peer, std::string Line);
  void runNext(const std::shared_ptr<Connection> &Peer);
  void execute(const std::shared_ptr<Connection> &Peer, const std::string &Id,
               std::string Text);
  void finish(const std::shared_ptr<Connection> &Peer, const std::string &Text);
  Position commit(Instance &Primary, std::map<std::string, std::string> Data);
  void promote(Instance &Candidate);
  void closeConnection(const std::shared_ptr<Connection> &Peer, bool Reset);
  pid_t ownerOf(int PeerPort) const;
  void writeBoot(Daemon &Described);

  std::string m_Folder;
  Record &m_Log;
  std::mutex m_Mutex;
  std::thread m_Thread;
  std::atomic<bool> m_Stopped{false};
  std::map<int, Instance *> m_InstanceListeners;
  int m_StoreListener = -1;
  int m_CloudListener = -1;
  int m_StorePort = 0;
  int m_CloudPort = 0;
  std::map<int, std::shared_ptr<Connection>> m_Connections;
  std::vector<Timer> m_Timers;
  std::map<std::string, std::map<std::string, Row>> m_Tables;
  std::uint64_t m_Version = 1;
  std::vector<Poll> m_Polls;
  std::map<std::string, std::uint64_t> m_Fences;
  std::uint64_t m_LastSignature = 0;
};

/// Route of a configuration.
Json route(const std::string &Name, const std::string &Database,
           const std::string &Type, const std::string &Service);
Json service(const std::string &Name, unsigned MaxConnections);
Json config(std::uint64_t Version, std::vector<Json> Routes,
            std::vector<Json> Services, const std::string &Tenant,
            const std::string &Key, double Rate);

/// Whether the test runs with its disruption: TROUBLE=0 leaves all of it out,
/// and TROUBLE=PART all but the part of that name.
bool withTrouble(const char *Part = "");
/// Path of a file or folder of this run.
std::string makeFolder();

} // namespace lab

#endif // REVIEW_STANDIN_2_LAB_H
