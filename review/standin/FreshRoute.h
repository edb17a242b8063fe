// The operator adds a route whose reads may be only a little old.
#ifndef REVIEW_STANDIN_FRESHROUTE_H
#define REVIEW_STANDIN_FRESHROUTE_H

#include "Machines.h"

namespace review {

class FreshRoute {
public:
  FreshRoute(Loop &Io, Machines &Fleet, Service &, Record &Log, bool Trouble)
      : m_Io(Io), m_Fleet(Fleet), m_Record(Log), m_Trouble(Trouble) {}

  static Service::Options service() { return {}; }

  void begin() {
    for (std::size_t Index = 0; Index < m_Fleet.all().size(); ++Index)
      for (const char *Database : {"offers", "history", "updates"})
        open(Index, Database);
    m_Io.after(3000, [this] { changeConfiguration(); });
    m_Io.after(6000, [this] {
      for (std::size_t Index = 0; Index < m_Fleet.all().size(); ++Index)
        open(Index, "latest");
    });
    m_Io.after(22000, [this] { judge(); });
  }
  int result() const { return m_Result; }

private:
  /// The bounds of the routes' reads in ms, without and with the disruption.
  static constexpr int UsualStaleness = 1500;
  static constexpr int LowStaleness = 20;
  /// No request may take longer: its timeout is 3 s.
  static constexpr double NeverAnsweredMs = 8000;
  static constexpr double MinPauseMs = 50;
  static constexpr double MaxPauseMs = 150;

  void changeConfiguration() {
    Json Next = configuration(service());
    Json Route = Next["routes"][1];
    Route["name"] = "r-latest";
    Route["database"] = "latest";
    Route["max_staleness_ms"] = m_Trouble ? LowStaleness : UsualStaleness;
    Next["routes"].push_back(Route);
    Next["version"] = 11;
    m_Record.add("configuration 11 adds the route 'latest', " +
                 Route["max_staleness_ms"].dump() + " ms");
    m_Fleet.store().put("op", "config", Next.dump());
  }

  struct Reader {
    std::unique_ptr<Client> Peer;
    std::size_t Machine = 0;
    std::string Database;
    double SentAt = 0; ///< Of the request without an answer; 0 if none.
  };

  void open(std::size_t Index, const std::string &Database) {
    auto Created = std::make_shared<Reader>();
    Created->Machine = Index;
    Created->Database = Database;
    Created->Peer = std::make_unique<Client>(
        m_Io, m_Record,
        Database + "-" + std::to_string(Index + 1) + "-" +
            std::to_string(++m_LastClient));
    m_Readers.push_back(Created);
    Created->SentAt = nowMs();
    Created->Peer->start(m_Fleet.at(Index), Database, "key-a",
                         [this, Created](const Client::Answer &Ready) {
                           Created->SentAt = 0;
                           if (!Ready.Broken && Ready.Code.empty())
                             read(Created);
                         });
  }
  void read(const std::shared_ptr<Reader> &Of) {
    if (!Of->Peer->isOpen())
      return;
    std::string Id = "q" + std::to_string(++m_LastId);
    Of->SentAt = nowMs();
    Of->Peer->query(Id, "READ 1a4", [this, Of](const Client::Answer &Got) {
      Of->SentAt = 0;
      if (Got.Broken)
        return;
      m_Served += Got.Code.empty() ? 1 : 0;
      m_Io.after(m_Pause(m_Random), [this, Of] { read(Of); });
    });
  }

  void judge() {
    int Hung = 0;
    for (Machine &Each : m_Fleet.all()) {
      int Unanswered = 0;
      for (const auto &Of : m_Readers)
        if (m_Fleet.at(Of->Machine).Name == Each.Name && Of->SentAt > 0 &&
            nowMs() - Of->SentAt > NeverAnsweredMs)
          ++Unanswered;
      bool Hangs = Each.Process != 0 && !Each.Ready && Unanswered > 0;
      Hung += Hangs ? 1 : 0;
      m_Record.add(Each.Name + (Each.Ready ? " is ready" : " is not ready") +
                   ", probes missed in a row " + std::to_string(Each.Missed) +
                   ", processor seconds " +
                   std::to_string(m_Fleet.processorSeconds(Each)) +
                   ", requests without an answer for " +
                   std::to_string(int(NeverAnsweredMs)) + " ms: " +
                   std::to_string(Unanswered));
    }
    m_Record.add("served " + std::to_string(m_Served) + ", machines that hang " +
                 std::to_string(Hung));
    m_Result = Hung > 0 ? 1 : m_Served > 100 ? 0 : 2;
    m_Io.stop();
  }

  Loop &m_Io;
  Machines &m_Fleet;
  Record &m_Record;
  bool m_Trouble;
  std::vector<std::shared_ptr<Reader>> m_Readers;
  std::mt19937 m_Random{1};
  std::uniform_real_distribution<double> m_Pause{MinPauseMs, MaxPauseMs};
  int m_LastClient = 0;
  int m_LastId = 0;
  int m_Served = 0;
  int m_Result = 2;
};

} // namespace review

#endif // REVIEW_STANDIN_FRESHROUTE_H
