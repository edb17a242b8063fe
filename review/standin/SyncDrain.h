// A service with one synchronous replica: the replica that holds the newest
// commits is draining as the primary crashes.
#ifndef REVIEW_STANDIN_SYNCDRAIN_H
#define REVIEW_STANDIN_SYNCDRAIN_H

#include "Machines.h"

namespace review {

class SyncDrain {
public:
  SyncDrain(Loop &Io, Machines &Fleet, Service &Db, Record &Log, bool Trouble)
      : m_Io(Io), m_Fleet(Fleet), m_Service(Db), m_Record(Log),
        m_Trouble(Trouble) {
    Db.OnPromoted = [this](const Instance &Chosen) { onPromoted(Chosen); };
  }

  static Service::Options service() {
    Service::Options Result;
    Result.SyncReplicas = 1;
    return Result;
  }

  void begin() {
    for (std::size_t Index = 0; Index < m_Fleet.all().size(); ++Index)
      open(Index);
    if (m_Trouble) {
      // Planned: the replica i-1 is to be shut down and drains.
      m_Io.after(3000, [this] {
        m_Record.add("i-1 drains");
        m_Service.at(1).Draining = true;
        m_Service.at(1).heartbeatNow();
      });
      m_Io.after(4500, [this] {
        m_Record.add("i-2 receives nothing for 6 s");
        m_Service.at(2).Deaf = true;
      });
      m_Io.after(6000, [this] { m_Service.at(0).crash(); });
      m_Io.after(10500, [this] { m_Service.at(2).Deaf = false; });
      m_Io.after(13000, [this] { m_Service.at(0).start(); });
    }
    m_Io.after(16000, [this] { judge(); });
  }
  int result() const { return m_Result; }

private:
  void open(std::size_t Index) {
    auto Peer = std::make_shared<Client>(m_Io, m_Record,
                                         "writer-" + std::to_string(++m_LastClient));
    m_Clients.push_back(Peer);
    Peer->start(m_Fleet.at(Index), "offers", "key-a",
                [this, Peer, Index](const Client::Answer &Ready) {
                  if (Ready.Broken || !Ready.Code.empty())
                    return retry(Index);
                  write(Peer, Index);
                });
  }
  void retry(std::size_t Index) {
    m_Io.after(300, [this, Index] { open(Index); });
  }
  void write(const std::shared_ptr<Client> &Peer, std::size_t Index) {
    if (!Peer->isOpen())
      return retry(Index);
    std::string Id = "w" + std::to_string(++m_LastId);
    Peer->query(Id, "WRITE 1a4 data" + Id,
                [this, Peer, Index, Id](const Client::Answer &Got) {
                  if (Got.Broken)
                    return retry(Index);
                  if (Got.Code.empty())
                    m_Acknowledged.push_back(Id);
                  m_Io.after(40, [this, Peer, Index] { write(Peer, Index); });
                });
  }

  void onPromoted(const Instance &Chosen) {
    std::set<std::string> Held;
    for (const Commit &Each : Chosen.Log)
      Held.insert(Each.Writes.begin(), Each.Writes.end());
    for (const std::string &Id : m_Acknowledged)
      if (Held.count(Id) == 0) {
        m_Record.add("LOST: " + Id + " was acknowledged, " + Chosen.id() +
                     " is promoted without it");
        ++m_Lost;
      }
  }

  void judge() {
    m_Record.add("acknowledged " + std::to_string(m_Acknowledged.size()) +
                 ", LOST " + std::to_string(m_Lost));
    m_Result = m_Lost > 0 ? 1 : m_Acknowledged.size() > 50 ? 0 : 2;
    m_Io.stop();
  }

  Loop &m_Io;
  Machines &m_Fleet;
  Service &m_Service;
  Record &m_Record;
  bool m_Trouble;
  std::vector<std::shared_ptr<Client>> m_Clients;
  std::vector<std::string> m_Acknowledged;
  int m_LastClient = 0;
  int m_LastId = 0;
  int m_Lost = 0;
  int m_Result = 2;
};

} // namespace review

#endif // REVIEW_STANDIN_SYNCDRAIN_H
