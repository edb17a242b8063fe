// The platform's store and its promotion call, over HTTP.
#ifndef REVIEW_STANDIN_STORE_H
#define REVIEW_STANDIN_STORE_H

#include "Loop.h"

#include <nlohmann/json.hpp>

#include <cctype>
#include <cstdlib>

namespace review {

using Json = nlohmann::json;

inline std::string toBase64(const std::string &Text) {
  static const char *const Digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Out;
  unsigned Bits = 0;
  int Count = 0;
  for (unsigned char Byte : Text) {
    Bits = (Bits << 8) | Byte;
    Count += 8;
    while (Count >= 6) {
      Count -= 6;
      Out += Digits[(Bits >> Count) & 63];
    }
  }
  if (Count > 0)
    Out += Digits[(Bits << (6 - Count)) & 63];
  while (Out.size() % 4 != 0)
    Out += '=';
  return Out;
}

inline std::string fromBase64(const std::string &Text) {
  std::string Out;
  unsigned Bits = 0;
  int Count = 0;
  for (char Letter : Text) {
    int Value = Letter >= 'A' && Letter <= 'Z'   ? Letter - 'A'
                : Letter >= 'a' && Letter <= 'z' ? Letter - 'a' + 26
                : Letter >= '0' && Letter <= '9' ? Letter - '0' + 52
                : Letter == '+'                  ? 62
                : Letter == '/'                  ? 63
                                                 : -1;
    if (Value < 0)
      break;
    Bits = (Bits << 6) | static_cast<unsigned>(Value);
    Count += 6;
    if (Count >= 8) {
      Count -= 8;
      Out += static_cast<char>((Bits >> Count) & 255);
    }
  }
  return Out;
}

/// @brief Tables with one version counter. An answer takes 4 ms.
class Store {
public:
  struct Order {
    std::string Service;
    std::string Id;
    std::string Holder;
    std::uint64_t Token = 0;
  };
  /// Whether the named instance runs and was told to take over.
  std::function<bool(const Order &)> OnPromote;

  Store(Loop &Io, const std::string &Ip) : m_Io(Io) {
    m_Address = Ip + ":" + std::to_string(Io.listen(
                               Ip, 0, [this](ConnectionPtr Peer) {
                                 accept(std::move(Peer));
                               }));
  }

  const std::string &address() const { return m_Address; }

  void put(const std::string &Table, const std::string &Key,
           const std::string &Value) {
    m_Tables[Table][Key] = {Value, ++m_Version, false};
    wakePolls();
  }
  void remove(const std::string &Table, const std::string &Key) {
    m_Tables[Table][Key] = {"", ++m_Version, true};
    wakePolls();
  }

private:
  static constexpr double AnswerMs = 4;

  struct Row {
    std::string Value;
    std::uint64_t Version = 0;
    bool Deleted = false;
  };
  struct Call {
    std::string Method;
    std::string Path;
    std::map<std::string, std::string> Query;
    std::map<std::string, std::string> Headers;
    std::string Body;
  };
  struct Poll {
    ConnectionPtr Peer;
    std::string Table;
    std::uint64_t After = 0;
    std::uint64_t Number = 0;
  };

  void accept(ConnectionPtr Peer) {
    auto Input = std::make_shared<std::string>();
    std::weak_ptr<Connection> Weak = Peer;
    m_Peers.insert(Peer);
    Peer->OnEnd = [this, Weak](const std::string &) {
      m_Peers.erase(Weak.lock());
    };
    Peer->OnData = [this, Weak, Input](const std::string &Bytes) {
      *Input += Bytes;
      Call Next;
      while (parse(*Input, Next)) {
        m_Io.after(AnswerMs, [this, Weak, Next] {
          if (auto Open = Weak.lock())
            handle(Open, Next);
        });
        Next = Call();
      }
    };
  }

  static std::string decodePercent(const std::string &Text) {
    std::string Out;
    for (std::size_t At = 0; At < Text.size(); ++At)
      if (Text[At] == '%' && At + 2 < Text.size()) {
        Out += static_cast<char>(
            std::strtol(Text.substr(At + 1, 2).c_str(), nullptr, 16));
        At += 2;
      } else {
        Out += Text[At];
      }
    return Out;
  }

  static bool parse(std::string &Input, Call &Next) {
    std::size_t End = Input.find("\r\n\r\n");
    if (End == std::string::npos)
      return false;
    std::string Head = Input.substr(0, End + 2);
    std::size_t Line = Head.find("\r\n");
    std::string First = Head.substr(0, Line);
    for (std::size_t At = Line + 2; At < Head.size();) {
      std::size_t Stop = Head.find("\r\n", At);
      std::string Field = Head.substr(At, Stop - At);
      std::size_t Colon = Field.find(": ");
      std::string Name = Field.substr(0, Colon);
      for (char &Letter : Name)
        Letter = static_cast<char>(std::tolower(Letter));
      Next.Headers[Name] =
          Colon == std::string::npos ? "" : Field.substr(Colon + 2);
      At = Stop + 2;
    }
    std::size_t Length = 0;
    if (Next.Headers.count("content-length") > 0)
      Length = std::stoul(Next.Headers["content-length"]);
    if (Input.size() < End + 4 + Length)
      return false;
    Next.Body = Input.substr(End + 4, Length);
    Input.erase(0, End + 4 + Length);
    Next.Method = takeWord(First);
    std::string Target = takeWord(First);
    std::size_t Mark = Target.find('?');
    Next.Path = Target.substr(0, Mark);
    std::string Rest =
        Mark == std::string::npos ? "" : Target.substr(Mark + 1);
    while (!Rest.empty()) {
      std::size_t And = Rest.find('&');
      std::string Pair = Rest.substr(0, And);
      Rest = And == std::string::npos ? "" : Rest.substr(And + 1);
      std::size_t Equals = Pair.find('=');
      Next.Query[Pair.substr(0, Equals)] =
          Equals == std::string::npos ? ""
                                      : decodePercent(Pair.substr(Equals + 1));
    }
    return true;
  }

  void answer(const ConnectionPtr &Peer, int Status, const Json &Body) {
    std::string Text = Body.dump();
    Peer->send("HTTP/1.1 " + std::to_string(Status) +
               " -\r\nContent-Type: application/json\r\nContent-Length: " +
               std::to_string(Text.size()) + "\r\n\r\n" + Text);
  }

  Json list(const std::string &Table,
            const std::function<bool(const std::string &, const Row &)> &Fits) {
    Json Rows = Json::array();
    for (const auto &[Key, Stored] : m_Tables[Table]) {
      if (!Fits(Key, Stored))
        continue;
      Json Shown = {{"table", Table},
                    {"part", ""},
                    {"key", Key},
                    {"ver", Stored.Version}};
      if (Stored.Deleted)
        Shown["deleted"] = true;
      else
        Shown["value"] = toBase64(Stored.Value);
      Rows.push_back(Shown);
    }
    return {{"rows", Rows},
            {"has_more", false},
            {"ver", m_Version},
            {"now_ms", static_cast<std::uint64_t>(nowMs())}};
  }

  void handle(const ConnectionPtr &Peer, Call Next) {
    if (Next.Path == "/-/rows-get") {
      std::string From = Next.Query["from"];
      std::string To = Next.Query["to"];
      return answer(Peer, 200,
                    list(Next.Query["table"],
                         [&](const std::string &Key, const Row &Stored) {
                           return !Stored.Deleted && Key >= From &&
                                  (To.empty() || Key < To);
                         }));
    }
    if (Next.Path == "/-/rows-feed")
      return poll(Peer, Next);
    if (Next.Path == "/-/rows-tx")
      return write(Peer, Next);
    if (Next.Path == "/promote")
      return promote(Peer, Next);
    answer(Peer, 404, Json::object());
  }

  Json changes(const std::string &Table, std::uint64_t After) {
    return list(Table, [After](const std::string &, const Row &Stored) {
      return Stored.Version > After;
    });
  }

  void poll(const ConnectionPtr &Peer, Call Next) {
    Poll Waiting{Peer, Next.Query["table"], std::stoull(Next.Query["after"]),
                 ++m_LastPoll};
    if (!changes(Waiting.Table, Waiting.After)["rows"].empty())
      return answer(Peer, 200, changes(Waiting.Table, Waiting.After));
    std::uint64_t Number = Waiting.Number;
    m_Polls[Number] = Waiting;
    m_Io.after(std::stod(Next.Query["wait_ms"]), [this, Number] {
      auto Found = m_Polls.find(Number);
      if (Found == m_Polls.end())
        return;
      Poll Ended = Found->second;
      m_Polls.erase(Found);
      answer(Ended.Peer, 200, changes(Ended.Table, Ended.After));
    });
  }

  void wakePolls() {
    auto Waiting = m_Polls;
    for (const auto &[Number, Entry] : Waiting) {
      Json Found = changes(Entry.Table, Entry.After);
      if (Found["rows"].empty())
        continue;
      m_Polls.erase(Number);
      answer(Entry.Peer, 200, Found);
    }
  }

  void write(const ConnectionPtr &Peer, const Call &Next) {
    Json Body = Json::parse(Next.Body);
    auto RowOf = [&](const Json &Entry) -> Row & {
      return m_Tables[Entry["table"]][Entry["key"]];
    };
    for (const Json &Entry : Body["expect"]) {
      const Row &Stored = RowOf(Entry);
      std::uint64_t Version = Stored.Deleted ? 0 : Stored.Version;
      if (Version != Entry["ver"].get<std::uint64_t>())
        return answer(Peer, 412, {{"rows", Json::array()}});
    }
    ++m_Version;
    for (const Json &Entry : Body["put"])
      RowOf(Entry) = {fromBase64(Entry["value"]), m_Version, false};
    for (const Json &Entry : Body["remove"])
      RowOf(Entry) = {"", m_Version, true};
    answer(Peer, 200, {{"ver", m_Version}, {"now_ms", 0}});
    wakePolls();
  }

  void promote(const ConnectionPtr &Peer, Call Next) {
    Json Body = Json::parse(Next.Body);
    Order Received{Body["service"], Body["id"], Next.Headers["lease-holder"],
                   std::stoull(Next.Headers["fencing-token"])};
    std::uint64_t &Highest = m_Tokens[Received.Service];
    if (Received.Token < Highest || !OnPromote(Received))
      return answer(Peer, 409, Json::object());
    Highest = Received.Token;
    answer(Peer, 200, Json::object());
  }

  Loop &m_Io;
  std::string m_Address;
  std::map<std::string, std::map<std::string, Row>> m_Tables;
  std::map<std::string, std::uint64_t> m_Tokens;
  std::map<std::uint64_t, Poll> m_Polls;
  std::set<ConnectionPtr> m_Peers;
  std::uint64_t m_Version = 0;
  std::uint64_t m_LastPoll = 0;
};

} // namespace review

#endif // REVIEW_STANDIN_STORE_H
