// A machine gets SIGTERM while clients work in transactions on it.
#ifndef REVIEW_STANDIN_DRAINBUSY_H
#define REVIEW_STANDIN_DRAINBUSY_H

#include "Machines.h"

namespace review {

class DrainBusy {
public:
  DrainBusy(Loop &Io, Machines &Fleet, Service &Db, Record &Log, bool Trouble)
      : m_Io(Io), m_Fleet(Fleet), m_Record(Log), m_Trouble(Trouble) {
    Db.OnRun = [this](const Instance &, const std::string &Id) {
      m_Started[Id] = nowMs();
    };
  }

  static Service::Options service() {
    Service::Options Result;
    Result.ReadMs = 400;
    Result.WriteMs = 400;
    return Result;
  }

  void begin() {
    // Whole transactions beforehand show that the deployment serves them.
    for (int Number = 0; Number < Clients; ++Number)
      open(Number, "before", 0);
    m_Io.after(9000, [this] {
      for (int Number = 0; Number < Clients; ++Number)
        open(Number, "around", TransactionAfterMs + StaggerMs * Number);
    });
    m_Io.after(9000 + ConnectBeforeMs, [this] {
      m_TermAt = nowMs();
      if (m_Trouble)
        m_Fleet.signal(m_Fleet.at(0), SIGTERM);
    });
    m_Io.after(9000 + 12000, [this] { judge(); });
  }
  int result() const { return m_Result; }

private:
  static constexpr int Clients = 9;
  static constexpr int Statements = 12; ///< BEGIN and COMMIT included.
  static constexpr double ConnectBeforeMs = 300;
  static constexpr double TransactionAfterMs = 1700; ///< After connecting.
  static constexpr double StaggerMs = 43;
  static constexpr double PauseMs = 1; ///< Between two statements.
  static constexpr double GraceMs = 6000;
  static constexpr double ExcusedMs = 3000;

  struct Session {
    std::unique_ptr<Client> Peer;
    std::string Phase;
    int Next = 0;
    std::string Id;
    double SentAt = 0;
    bool Served = false;
  };

  void open(int Number, const std::string &Phase, double PauseMs) {
    auto Created = std::make_shared<Session>();
    Created->Phase = Phase;
    Created->Peer = std::make_unique<Client>(
        m_Io, m_Record, Phase + "-" + std::to_string(Number));
    m_Sessions.push_back(Created);
    Created->Peer->start(m_Fleet.at(0), "history",
                         Number % 2 == 0 ? "key-a" : "key-b",
                         [this, Created, PauseMs](const Client::Answer &Ready) {
                           if (Ready.Broken || !Ready.Code.empty())
                             return;
                           m_Io.after(PauseMs, [this, Created] { step(Created); });
                         });
  }

  void step(const std::shared_ptr<Session> &Of) {
    if (!Of->Peer->isOpen())
      return;
    int Number = Of->Next++;
    std::string Text = Number == 0                ? "BEGIN READ"
                       : Number == Statements - 1 ? "COMMIT"
                                                  : "READ 1a" + std::to_string(Number);
    Of->Id = "q" + std::to_string(++m_LastId);
    Of->SentAt = nowMs();
    Of->Peer->query(Of->Id, Text, [this, Of, Number](const Client::Answer &Got) {
      if (Got.Broken)
        return onBroken(*Of);
      if (!Got.Code.empty())
        return Of->Peer->close();
      if (Number < Statements - 1)
        return m_Io.after(PauseMs, [this, Of] { step(Of); });
      Of->Served = true;
      Of->Peer->close();
    });
  }

  void onBroken(const Session &Of) {
    double Sent = Of.SentAt - m_TermAt;
    bool PassedOn = m_Started.count(Of.Id) > 0;
    bool Excused = Sent <= ExcusedMs;
    m_Record.add("cut: " + Of.Id + " sent " + std::to_string(Sent) +
                 " ms after SIGTERM, cut " + std::to_string(nowMs() - m_TermAt) +
                 " ms after it, passed on to an instance: " +
                 (PassedOn ? "yes" : "no"));
    bool Planned = m_TermAt > 0 && nowMs() <= m_TermAt + GraceMs + 1000;
    if (PassedOn && !Excused && Planned)
      ++m_Lost;
  }

  void judge() {
    int Before = 0;
    int Around = 0;
    for (const auto &Each : m_Sessions)
      (Each->Phase == "before" ? Before : Around) += Each->Served ? 1 : 0;
    m_Record.add("transactions served: " + std::to_string(Before) +
                 " before, " + std::to_string(Around) +
                 " around; LOST: " + std::to_string(m_Lost));
    bool Works = Before == Clients && (m_Trouble || Around == Clients);
    m_Result = m_Lost > 0 ? 1 : Works ? 0 : 2;
    m_Io.stop();
  }

  Loop &m_Io;
  Machines &m_Fleet;
  Record &m_Record;
  bool m_Trouble;
  std::vector<std::shared_ptr<Session>> m_Sessions;
  std::map<std::string, double> m_Started;
  double m_TermAt = 0;
  int m_LastId = 0;
  int m_Lost = 0;
  int m_Result = 2;
};

} // namespace review

#endif // REVIEW_STANDIN_DRAINBUSY_H
