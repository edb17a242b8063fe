// A service of one primary and its replicas, as PROTOCOL.md describes them.
#ifndef REVIEW_STANDIN_INSTANCES_H
#define REVIEW_STANDIN_INSTANCES_H

#include "Store.h"

#include <algorithm>
#include <deque>
#include <fstream>
#include <random>

namespace review {

/// @brief What was sent, answered and run, line by line.
class Record {
public:
  explicit Record(const std::string &Path) : m_Out(Path) {}
  void add(const std::string &Text) {
    char Time[32];
    std::snprintf(Time, sizeof(Time), "%9.1f ", nowMs());
    m_Out << Time << Text << "\n";
    m_Out.flush();
  }

private:
  std::ofstream m_Out;
};

struct Commit {
  unsigned Term = 0;
  std::vector<std::string> Writes; ///< Ids of the client's statements.
};

class Service;

/// @brief One instance: its log, its sessions and its slots.
class Instance {
public:
  Instance(Service &Owner, std::string Id, std::string Zone, std::string Ip)
      : m_Service(Owner), m_Id(std::move(Id)), m_Zone(std::move(Zone)),
        m_Ip(std::move(Ip)) {}

  void start();
  /// @brief Reports its state at once.
  void heartbeatNow() { heartbeat(); }
  /// @brief Ends the process: its port is closed and its connections reset.
  void crash();

  const std::string &id() const { return m_Id; }
  bool isUp() const { return m_Up; }

  bool IsPrimary = false;
  bool Draining = false;
  bool Deaf = false; ///< Receives no commits.
  unsigned Term = 1;
  unsigned PausedAt = 0;
  std::vector<Commit> Log;

private:
  friend class Service;
  struct Session {
    ConnectionPtr Peer;
    Lines Input;
    bool Started = false;
    bool Busy = false;
    char State = 'I';
    bool ReadOnly = false;
    std::vector<std::string> Writes;
    std::map<std::string, std::string> Prepared; ///< Name to "MODE shape".
    std::deque<std::string> Waiting;
  };
  using SessionPtr = std::shared_ptr<Session>;

  void accept(ConnectionPtr Peer);
  void onLine(const SessionPtr &From, const std::string &Line);
  void runNext(const SessionPtr &From);
  void runSlot(const SessionPtr &From, std::string Id, std::string Text,
               std::string After);
  void execute(const SessionPtr &From, const std::string &Id,
               const std::string &Text, const std::string &After);
  void finish(const SessionPtr &From, const std::string &Reply);
  std::string ready(const SessionPtr &To) const;
  std::string error(const SessionPtr &To, const std::string &Code) const {
    return "ERROR " + Code + " " + m_Id + "\r\n" + ready(To);
  }
  bool lacks(const std::string &Position) const;
  void heartbeat();
  void startQueued();

  Service &m_Service;
  std::string m_Id;
  std::string m_Zone;
  std::string m_Ip;
  std::string m_Address;
  bool m_Up = false;
  unsigned m_SlotsUsed = 0;
  std::uint64_t m_Sequence = 0;
  std::uint64_t m_Signatures = 0;
  std::uint64_t m_Life = 0;
  std::deque<std::function<void()>> m_SlotQueue;
  std::set<SessionPtr> m_Sessions;
};

/// @brief The instances of one service and the replication between them.
class Service {
public:
  struct Options {
    std::string Name = "svc-review";
    unsigned SyncReplicas = 0;
    unsigned Slots = 3;
    double ReadMs = 8;
    double WriteMs = 6;
    double LagMs = 8;
    double PromoteMs = 300;
    double HeartbeatMs = 1200;
  };

  Service(Loop &Io, Store &Platform, Record &Log, Options Given)
      : m_Io(Io), m_Store(Platform), m_Record(Log), m_Options(Given) {
    m_Store.OnPromote = [this](const Store::Order &Received) {
      return promote(Received);
    };
  }

  Instance &add(const std::string &Zone, const std::string &Ip) {
    std::string Id = "i-" + std::to_string(m_Instances.size());
    m_Instances.push_back(std::make_unique<Instance>(*this, Id, Zone, Ip));
    m_Instances.back()->IsPrimary = m_Instances.size() == 1;
    return *m_Instances.back();
  }
  Instance &at(std::size_t Index) { return *m_Instances.at(Index); }
  void start() {
    for (auto &Each : m_Instances)
      Each->start();
  }

  /// Called with the statement's id as an instance begins to run it.
  std::function<void(const Instance &, const std::string &Id)> OnRun;
  std::function<void(const Instance &, const std::string &Id)> OnRan;
  /// Called as an instance takes the lead, before it serves.
  std::function<void(const Instance &)> OnPromoted;
  /// Whether the answer to a client's statement that was run is lost.
  std::function<bool(const Instance &, const std::string &Text)> LosesAnswer;

  const Options &options() const { return m_Options; }

private:
  friend class Instance;

  void commit(Instance &Primary, std::vector<std::string> Writes,
              std::function<void(bool)> Done) {
    Primary.Log.push_back({Primary.Term, std::move(Writes)});
    std::size_t Length = Primary.Log.size();
    unsigned Term = Primary.Term;
    if (m_Options.SyncReplicas == 0)
      Done(true);
    else
      m_Pending.push_back({&Primary, Term, Length, 0, std::move(Done)});
    for (auto &Each : m_Instances)
      if (Each.get() != &Primary)
        m_Io.after(1, [this, &Primary, Term, Replica = Each.get()] {
          replicate(Primary, Term, *Replica);
        });
  }

  /// @brief Sends a replica what it lacks; it may have missed earlier ones.
  void replicate(Instance &Primary, unsigned Term, Instance &Replica) {
    bool Connected = Primary.m_Up && Primary.IsPrimary && Primary.Term == Term &&
                     Replica.m_Up && !Replica.Deaf && Replica.PausedAt == 0 &&
                     !Replica.IsPrimary;
    if (!Connected)
      return;
    Replica.Term = Primary.Term;
    Replica.Log = Primary.Log;
    std::size_t Length = Replica.Log.size();
    m_Io.after(1, [this, &Primary, Term, Length] {
      acknowledge(Primary, Term, Length);
    });
  }

  void acknowledge(Instance &Primary, unsigned Term, std::size_t Length) {
    for (std::size_t Index = 0; Index < m_Pending.size();) {
      Pending &Next = m_Pending[Index];
      bool Held = Next.Primary == &Primary && Next.Term == Term &&
                  Next.Length <= Length && Primary.m_Up && Primary.IsPrimary;
      if (!Held) {
        ++Index;
        continue;
      }
      auto Done = std::move(Next.Done);
      m_Pending.erase(m_Pending.begin() + static_cast<std::ptrdiff_t>(Index));
      Done(true);
    }
  }

  bool promote(const Store::Order &Received) {
    m_Record.add("promote " + Received.Id + " by " + Received.Holder +
                 " token " + std::to_string(Received.Token));
    Instance *Chosen = nullptr;
    for (auto &Each : m_Instances)
      if (Each->m_Id == Received.Id && Each->m_Up)
        Chosen = Each.get();
    if (Received.Service != m_Options.Name || Chosen == nullptr)
      return false;
    m_Io.after(m_Options.PromoteMs, [this, Chosen] { lead(*Chosen); });
    return true;
  }

  void lead(Instance &Chosen) {
    if (!Chosen.m_Up || Chosen.IsPrimary)
      return;
    for (auto &Each : m_Instances)
      m_Term = std::max(m_Term, Each->Term);
    ++m_Term;
    m_Record.add("leads " + Chosen.m_Id + " term " + std::to_string(m_Term) +
                 " log " + std::to_string(Chosen.Log.size()));
    for (auto &Each : m_Instances) {
      Each->PausedAt = 0;
      if (std::exchange(Each->IsPrimary, false))
        Each->heartbeat();
    }
    Chosen.IsPrimary = true;
    Chosen.Term = m_Term;
    if (OnPromoted)
      OnPromoted(Chosen);
    Chosen.heartbeat();
    for (auto &Each : m_Instances)
      if (Each.get() != &Chosen)
        m_Io.after(20, [this, &Chosen, Term = m_Term, Replica = Each.get()] {
          replicate(Chosen, Term, *Replica);
        });
  }

  struct Pending {
    Instance *Primary;
    unsigned Term;
    std::size_t Length;
    unsigned Received;
    std::function<void(bool)> Done;
  };

  Loop &m_Io;
  Store &m_Store;
  Record &m_Record;
  Options m_Options;
  unsigned m_Term = 1;
  std::vector<std::unique_ptr<Instance>> m_Instances;
  std::vector<Pending> m_Pending;
};

inline void Instance::start() {
  m_Up = true;
  int Port = m_Service.m_Io.listen(
      m_Ip, 0, [this](ConnectionPtr Peer) { accept(std::move(Peer)); });
  m_Address = m_Ip + ":" + std::to_string(Port);
  std::uint64_t Life = ++m_Life;
  auto Beat = std::make_shared<std::function<void()>>();
  *Beat = [this, Life, Beat] {
    if (m_Life != Life)
      return;
    heartbeat();
    m_Service.m_Io.after(m_Service.m_Options.HeartbeatMs, *Beat);
  };
  (*Beat)();
}

inline void Instance::crash() {
  m_Service.m_Record.add("crash " + m_Id);
  m_Up = false;
  ++m_Life;
  m_Service.m_Io.stopListening(m_Address);
  for (const SessionPtr &Each : std::exchange(m_Sessions, {}))
    Each->Peer->close();
  m_SlotQueue.clear();
  m_SlotsUsed = 0;
  // Its entry is removed after three heartbeat intervals of silence.
  m_Service.m_Io.after(3 * m_Service.m_Options.HeartbeatMs, [this] {
    if (!m_Up)
      m_Service.m_Store.remove("servers", m_Id);
  });
}

inline void Instance::heartbeat() {
  if (!m_Up)
    return;
  Json Entry = {{"service", m_Service.m_Options.Name},
                {"address", m_Address},
                {"zone", m_Zone},
                {"version", "v1"},
                {"capacity", m_Service.m_Options.Slots},
                {"state", Draining ? "draining" : "ready"},
                {"cold_remaining_ms", 0},
                {"sequence", ++m_Sequence},
                {"born", 1764800000000},
                {"db_role", IsPrimary ? "primary" : "replica"}};
  m_Service.m_Store.put("servers", m_Id, Entry.dump());
}

inline void Instance::accept(ConnectionPtr Peer) {
  auto Created = std::make_shared<Session>();
  Created->Peer = Peer;
  m_Sessions.insert(Created);
  std::weak_ptr<Session> Weak = Created;
  Peer->OnData = [this, Weak](const std::string &Bytes) {
    auto From = Weak.lock();
    if (!From)
      return;
    for (const std::string &Line : From->Input.add(Bytes))
      onLine(From, Line);
  };
  Peer->OnEnd = [this, Weak](const std::string &) {
    m_Sessions.erase(Weak.lock());
  };
}

inline std::string Instance::ready(const SessionPtr &To) const {
  return std::string("READY ") + To->State + " " + std::to_string(Term) + "." +
         std::to_string(Log.size()) + "\r\n";
}

inline bool Instance::lacks(const std::string &Position) const {
  return std::stoul(Position.substr(Position.find('.') + 1)) > Log.size();
}

inline void Instance::onLine(const SessionPtr &From, const std::string &Line) {
  std::string Rest = Line;
  std::string Word = takeWord(Rest);
  if (Word == "TERMINATE")
    return From->Peer->close();
  if (Word == "START") {
    std::string Name = takeWord(Rest);
    takeWord(Rest);
    bool Expected = Name == m_Service.m_Options.Name &&
                    (Rest.empty() || Rest == m_Id);
    m_Service.m_Io.after(12, [this, From, Expected] {
      if (!Expected) {
        From->Peer->send("ERROR MISROUTED " + m_Id + "\r\n");
        return From->Peer->close();
      }
      From->Started = true;
      From->Peer->send(ready(From));
      runNext(From);
    });
    return;
  }
  From->Waiting.push_back(Rest);
  runNext(From);
}

inline void Instance::runNext(const SessionPtr &From) {
  if (From->Busy || !From->Started || From->Waiting.empty() ||
      !From->Peer->isOpen())
    return;
  std::string Text = From->Waiting.front();
  From->Waiting.pop_front();
  From->Busy = true;
  std::string Id = takeWord(Text);
  std::string After;
  if (Text.compare(0, 6, "AFTER ") == 0) {
    takeWord(Text);
    After = takeWord(Text);
  }
  std::string Verb = Text.substr(0, Text.find(' '));
  bool NeedsSlot = Verb == "READ" || Verb == "WRITE" || Verb == "EXECUTE" ||
                   Verb == "COMMIT" || Verb == "STATUS";
  if (!NeedsSlot)
    return execute(From, Id, Text, After);
  m_SlotQueue.push_back(
      [this, From, Id, Text, After] { runSlot(From, Id, Text, After); });
  startQueued();
}

inline void Instance::startQueued() {
  while (m_SlotsUsed < m_Service.m_Options.Slots && !m_SlotQueue.empty()) {
    auto Next = std::move(m_SlotQueue.front());
    m_SlotQueue.pop_front();
    ++m_SlotsUsed;
    Next();
  }
}

inline void Instance::runSlot(const SessionPtr &From, std::string Id,
                              std::string Text, std::string After) {
  bool Client = Id != "-";
  bool Reads = Text.compare(0, 5, "READ ") == 0;
  double Work = !Client ? 1
                : Reads ? m_Service.m_Options.ReadMs
                        : m_Service.m_Options.WriteMs;
  if (Client) {
    m_Service.m_Record.add("starts " + m_Id + " " + Id + " " + Text);
    if (m_Service.OnRun)
      m_Service.OnRun(*this, Id);
  }
  m_Service.m_Io.after(Work, [this, From, Id, Text, After, Life = m_Life] {
    if (Life != m_Life)
      return;
    --m_SlotsUsed;
    startQueued();
    // A connection that is closed rolls back.
    if (From->Peer->isOpen())
      execute(From, Id, Text, After);
  });
}

inline void Instance::finish(const SessionPtr &From, const std::string &Reply) {
  From->Peer->send(Reply);
  From->Busy = false;
  runNext(From);
}

inline void Instance::execute(const SessionPtr &From, const std::string &Id,
                              const std::string &Text,
                              const std::string &After) {
  Session &Own = *From;
  std::string Rest = Text;
  std::string Verb = takeWord(Rest);
  auto Done = [&] { finish(From, "COMPLETE -\r\n" + ready(From)); };
  if (Verb == "ROLLBACK") {
    Own.State = 'I';
    Own.Writes.clear();
    return Done();
  }
  if (Verb == "SET")
    return Done();
  if (Verb == "RESET") {
    Own.Prepared.clear();
    return Done();
  }
  if (Verb == "PREPARE") {
    std::string Name = takeWord(Rest);
    Own.Prepared[Name] = Rest;
    return Done();
  }
  if (Verb == "STATUS" || Verb == "PAUSE" || Verb == "RESUME" ||
      Verb == "STEPDOWN") {
    unsigned At = Rest.empty() ? 0 : static_cast<unsigned>(std::stoul(Rest));
    // The row shows the state in which the command finds the instance.
    std::string Row = std::string("ROW ") +
                      (IsPrimary ? "primary " : "replica ") +
                      std::to_string(Term) + " " + std::to_string(Term) + "." +
                      std::to_string(Log.size()) + " " +
                      std::to_string(PausedAt) + " 0 " +
                      std::to_string(m_SlotsUsed) + " " +
                      std::to_string(m_Sessions.size()) + "\r\n";
    if (Verb == "PAUSE" && !IsPrimary && At > Term)
      PausedAt = At;
    if (Verb == "RESUME")
      PausedAt = 0;
    if (Verb == "STEPDOWN" && IsPrimary && Term < At) {
      IsPrimary = false;
      heartbeat();
    }
    m_Service.m_Record.add(Verb + " at " + m_Id + " " + Rest);
    return finish(From, Row + "COMPLETE -\r\n" + ready(From));
  }
  if (Own.State == 'E')
    return finish(From, error(From, "MALFORMED"));
  if (Verb == "BEGIN") {
    bool ReadOnly = Rest == "READ";
    if (!ReadOnly && !IsPrimary)
      return finish(From, error(From, "READONLY"));
    if (!After.empty() && lacks(After))
      return finish(From, error(From, "LAGGING"));
    Own.State = 'T';
    Own.ReadOnly = ReadOnly;
    Own.Writes.clear();
    return Done();
  }
  bool Writes = Verb == "WRITE";
  if (Verb == "EXECUTE") {
    auto Found = Own.Prepared.find(takeWord(Rest));
    if (Found == Own.Prepared.end())
      return finish(From, error(From, "NOSTMT"));
    Writes = Found->second.compare(0, 5, "WRITE") == 0;
  }
  bool Commits = Verb == "COMMIT";
  bool LostLead = Own.State == 'T' && !Own.ReadOnly && !IsPrimary &&
                  !(Commits && Own.Writes.empty());
  if (LostLead || (Writes && !IsPrimary)) {
    if (Own.State == 'T')
      Own.State = Commits ? 'I' : 'E';
    return finish(From, error(From, "READONLY"));
  }
  if (!After.empty() && lacks(After))
    return finish(From, error(From, "LAGGING"));
  std::string Signature =
      "sig." + m_Id + "." + Id + "." + std::to_string(++m_Signatures);
  std::string Rows =
      Writes || Commits ? "" : "ROW row-of-" + Id + "\r\n";
  auto Reply = [this, From, Id, Text, Signature, Rows] {
    m_Service.m_Record.add("ran " + m_Id + " " + Id);
    if (m_Service.OnRan)
      m_Service.OnRan(*this, Id);
    if (m_Service.LosesAnswer && m_Service.LosesAnswer(*this, Text)) {
      m_Service.m_Record.add("loses the answer to " + Id);
      From->Busy = false;
      return runNext(From);
    }
    finish(From, Rows + "COMPLETE " + Signature + "\r\n" + ready(From));
  };
  std::vector<std::string> Written;
  if (Commits) {
    Written = std::move(Own.Writes);
    Own.Writes.clear();
    Own.State = 'I';
  } else if (Writes && Own.State == 'T') {
    Own.Writes.push_back(Id);
  } else if (Writes) {
    Written = {Id};
  }
  if (Written.empty())
    return Reply();
  m_Service.commit(*this, std::move(Written), [Reply](bool) { Reply(); });
}

} // namespace review

#endif // REVIEW_STANDIN_INSTANCES_H
