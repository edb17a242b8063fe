// A primary runs reads and their answers are lost; its connections stay open.
#ifndef REVIEW_STANDIN_LOSTANSWER_H
#define REVIEW_STANDIN_LOSTANSWER_H

#include "Machines.h"

namespace review {

class LostAnswer {
public:
  LostAnswer(Loop &Io, Machines &Fleet, Service &Db, Record &Log, bool Trouble)
      : m_Io(Io), m_Fleet(Fleet), m_Record(Log), m_Trouble(Trouble) {
    Db.LosesAnswer = [this](const Instance &At, const std::string &Text) {
      bool Fits = m_Losing && At.IsPrimary && Text.compare(0, 4, "READ") == 0;
      return Fits && ++m_Candidates % LoseEach == 0;
    };
  }

  static Service::Options service() { return {}; }

  void begin() {
    for (std::size_t Index = 0; Index < m_Fleet.all().size(); ++Index)
      open(Index);
    m_Io.after(3000, [this] { m_Losing = m_Trouble; });
    m_Io.after(7000, [this] { m_Losing = false; });
    m_Io.after(9000, [this] { judge(); });
  }
  int result() const { return m_Result; }

private:
  static constexpr int LoseEach = 40; ///< x = 0.025.

  void open(std::size_t Index) {
    auto Peer = std::make_shared<Client>(
        m_Io, m_Record, "reader-" + std::to_string(++m_LastClient));
    m_Clients.push_back(Peer);
    Peer->start(m_Fleet.at(Index), "offers", "key-a",
                [this, Peer, Index](const Client::Answer &Ready) {
                  if (Ready.Broken || !Ready.Code.empty())
                    return retry(Index);
                  read(Peer, Index);
                });
  }
  void retry(std::size_t Index) {
    m_Io.after(300, [this, Index] { open(Index); });
  }
  void read(const std::shared_ptr<Client> &Peer, std::size_t Index) {
    if (!Peer->isOpen())
      return retry(Index);
    std::string Id = "q" + std::to_string(++m_LastId);
    Peer->query(Id, "READ 1a4",
                [this, Peer, Index, Id](const Client::Answer &Got) {
                  if (Got.Broken)
                    return retry(Index);
                  check(Id, Got);
                  m_Io.after(20, [this, Peer, Index] { read(Peer, Index); });
                });
  }
  void check(const std::string &Id, const Client::Answer &Got) {
    if (!Got.Code.empty())
      return;
    ++m_Served;
    bool Signed = Got.Signature.find("." + Id + ".") != std::string::npos;
    bool Rows = Got.Rows == std::vector<std::string>{"row-of-" + Id};
    if (Signed && Rows)
      return;
    ++m_Mixed;
    m_Record.add("MIXED: success for " + Id + " with signature '" +
                 Got.Signature + "' and " + std::to_string(Got.Rows.size()) +
                 " rows");
  }
  void judge() {
    m_Record.add("served " + std::to_string(m_Served) + ", MIXED " +
                 std::to_string(m_Mixed));
    m_Result = m_Mixed > 0 ? 1 : m_Served > 100 ? 0 : 2;
    m_Io.stop();
  }

  Loop &m_Io;
  Machines &m_Fleet;
  Record &m_Record;
  bool m_Trouble;
  bool m_Losing = false;
  std::vector<std::shared_ptr<Client>> m_Clients;
  int m_Candidates = 0;
  int m_LastClient = 0;
  int m_LastId = 0;
  int m_Served = 0;
  int m_Mixed = 0;
  int m_Result = 2;
};

} // namespace review

#endif // REVIEW_STANDIN_LOSTANSWER_H
