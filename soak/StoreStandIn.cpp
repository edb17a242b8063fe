#include "StoreStandIn.h"

#include "bergamotstage/core/Parse.h"

#include <asio/steady_timer.hpp>
#include <http_parser.h>
#include <nlohmann/json.hpp>

#include <utility>

namespace bergamotstage::soak {
namespace {

using Json = nlohmann::json;

constexpr unsigned Ok = 200;
constexpr unsigned Conflict = 409;
constexpr unsigned PreconditionFailed = 412;
constexpr unsigned Unavailable = 503;
constexpr Duration ReplyDelay = milliseconds(4);
constexpr Duration IdleTimeout = seconds(600);
constexpr double LostReplyRatio = 0.3;

std::string decodePercent(const std::string &Text) {
  std::string Out;
  for (std::size_t At = 0; At < Text.size(); ++At) {
    bool Escaped = Text[At] == '%' && At + 2 < Text.size();
    Out +=
        Escaped
            ? static_cast<char>(std::stoi(Text.substr(At + 1, 2), nullptr, 16))
            : Text[At];
    At += Escaped ? 2 : 0;
  }
  return Out;
}

std::map<std::string, std::string> parseQuery(const std::string &Path) {
  std::map<std::string, std::string> Query;
  std::size_t At = Path.find('?');
  while (At != std::string::npos) {
    std::size_t End = Path.find('&', At + 1);
    std::string Pair =
        Path.substr(At + 1, End == std::string::npos ? End : End - At - 1);
    std::size_t Equals = Pair.find('=');
    Query[Pair.substr(0, Equals)] = decodePercent(Pair.substr(Equals + 1));
    At = End;
  }
  return Query;
}

} // namespace

/// @brief An HTTP connection from a VM.
struct StoreStandIn::Connection {
  unsigned Vm = 0;
  std::weak_ptr<runtime::ByteStream> Stream; ///< Its hooks own this object.
  http_parser Parser{};
  http_parser_settings Callbacks{};
  Request Call;
  std::string Field;
  std::function<void(const Request &)> OnRequest;

  Connection() {
    http_parser_init(&Parser, HTTP_REQUEST);
    Parser.data = this;
    http_parser_settings_init(&Callbacks);
    Callbacks.on_url = [](http_parser *HttpParser, const char *At,
                          std::size_t Size) {
      connectionOf(HttpParser).Call.Path.append(At, Size);
      return 0;
    };
    Callbacks.on_header_field = [](http_parser *HttpParser, const char *At,
                                   std::size_t Size) {
      connectionOf(HttpParser).Field.assign(At, Size);
      return 0;
    };
    Callbacks.on_header_value = [](http_parser *HttpParser, const char *At,
                                   std::size_t Size) {
      connectionOf(HttpParser)
          .Call.Headers[connectionOf(HttpParser).Field]
          .assign(At, Size);
      return 0;
    };
    Callbacks.on_body = [](http_parser *HttpParser, const char *At,
                           std::size_t Size) {
      connectionOf(HttpParser).Call.Body.append(At, Size);
      return 0;
    };
    Callbacks.on_message_complete = [](http_parser *HttpParser) {
      Connection &Owner = connectionOf(HttpParser);
      Request Complete = std::move(Owner.Call);
      Owner.Call = Request();
      Complete.Method =
          http_method_str(static_cast<http_method>(Owner.Parser.method));
      Complete.Query = parseQuery(Complete.Path);
      Complete.Path = Complete.Path.substr(0, Complete.Path.find('?'));
      Owner.OnRequest(Complete);
      return 0;
    };
  }

  static Connection &connectionOf(http_parser *HttpParser) {
    return *static_cast<Connection *>(HttpParser->data);
  }
};

StoreStandIn::StoreStandIn(asio::io_context &Io, unsigned Vms,
                           std::uint64_t Seed)
    : m_Io(Io), m_Random(Seed), m_Ports(Vms) {
  for (unsigned Vm = 0; Vm < Vms; ++Vm) {
    m_Ports[Vm].Acceptor = std::make_unique<asio::ip::tcp::acceptor>(
        Io, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    accept(Vm);
  }
}

std::string StoreStandIn::address(unsigned Vm) const {
  return "127.0.0.1:" +
         std::to_string(m_Ports.at(Vm).Acceptor->local_endpoint().port());
}

void StoreStandIn::accept(unsigned Vm) {
  m_Ports[Vm].Acceptor->async_accept([this, Vm](std::error_code Error,
                                                asio::ip::tcp::socket Socket) {
    if (Error == asio::error::operation_aborted)
      return;
    if (!Error) {
      auto Opened = std::make_shared<Connection>();
      Opened->Vm = Vm;
      std::weak_ptr<Connection> Weak = Opened;
      Opened->OnRequest = [this, Weak](const Request &Call) {
        auto Peer = Weak.lock();
        auto Timer = std::make_shared<asio::steady_timer>(m_Io, ReplyDelay);
        Timer->async_wait([this, Timer, Peer, Call](std::error_code) {
          handleRequest(Peer, Call);
        });
      };
      runtime::ByteStream::Hooks Hooks;
      Hooks.Received = [Opened](std::string_view Bytes) {
        std::size_t Parsed = http_parser_execute(
            &Opened->Parser, &Opened->Callbacks, Bytes.data(), Bytes.size());
        if (Parsed != Bytes.size())
          if (auto Stream = Opened->Stream.lock())
            Stream->close();
      };
      Hooks.Ended = [](const std::string &) {};
      Opened->Stream = runtime::ByteStream::adopt(
          std::move(Socket), IdleTimeout, std::move(Hooks));
    }
    accept(Vm);
  });
}

void StoreStandIn::reply(const std::shared_ptr<Connection> &Peer,
                         unsigned Status, const std::string &Body) {
  auto Stream = Peer->Stream.lock();
  if (!Stream)
    return;
  Stream->send("HTTP/1.1 " + std::to_string(Status) +
               " -\r\nContent-Type: application/json\r\nContent-Length: " +
               std::to_string(Body.size()) + "\r\n\r\n" + Body);
}

void StoreStandIn::handleRequest(const std::shared_ptr<Connection> &Peer,
                                 const Request &Call) {
  Mode CurrentMode = m_Ports[Peer->Vm].CurrentMode;
  if (CurrentMode == Mode::Silent)
    return;
  if (CurrentMode == Mode::Busy)
    return reply(Peer, Unavailable, "{}");
  if (Call.Path == "/-/rows-get")
    return readTable(Peer, Call);
  if (Call.Path == "/-/rows-feed")
    return poll(Peer, Call);
  if (Call.Path == "/-/rows-tx")
    return write(Peer, Call);
  if (Call.Path == "/promote")
    return promote(Peer, Call);
  reply(Peer, 404, "{}");
}

std::string StoreStandIn::render(
    unsigned Vm, const std::string &Table,
    const std::function<bool(const std::string &, const Row &)> &Filter) const {
  Json Rows = Json::array();
  auto Found = m_Tables.find(Table);
  if (Found != m_Tables.end())
    for (const auto &[Key, Stored] : Found->second) {
      if (!Filter(Key, Stored))
        continue;
      Json Shown = {{"table", Table},
                    {"part", ""},
                    {"key", Key},
                    {"ver", Stored.Version}};
      if (Stored.Deleted)
        Shown["deleted"] = true;
      else
        Shown["value"] = toBase64(Table == "servers" && m_View
                                      ? m_View(Vm, Key, Stored.Value)
                                      : Stored.Value);
      Rows.push_back(std::move(Shown));
    }
  return Json{
      {"rows", Rows}, {"has_more", false}, {"ver", m_Version}, {"now_ms", 0}}
      .dump();
}

void StoreStandIn::readTable(const std::shared_ptr<Connection> &Peer,
                             const Request &Call) {
  auto Parameter = [&](const char *Name) {
    auto Found = Call.Query.find(Name);
    return Found == Call.Query.end() ? std::string() : Found->second;
  };
  std::string From = Parameter("from");
  std::string Until = Parameter("to");
  reply(Peer, Ok,
        render(Peer->Vm, Parameter("table"),
               [&](const std::string &Key, const Row &Stored) {
                 return !Stored.Deleted && Key >= From &&
                        (Until.empty() || Key < Until);
               }));
}

void StoreStandIn::poll(const std::shared_ptr<Connection> &Peer,
                        const Request &Call) {
  std::string Table = Call.Query.at("table");
  std::uint64_t After = std::stoull(Call.Query.at("after"));
  bool Changed = false;
  for (const auto &[Key, Stored] : m_Tables[Table])
    Changed = Changed || Stored.Version > After;
  std::uint64_t Id = ++m_LastPoll;
  m_Polls.push_back({Peer, Id, Table, After});
  if (Changed)
    return completePolls(Table);
  auto Timer = std::make_shared<asio::steady_timer>(
      m_Io, milliseconds(std::stoul(Call.Query.at("wait_ms"))));
  Timer->async_wait([this, Timer, Id, Table](std::error_code) {
    for (LongPoll &Entry : m_Polls)
      if (Entry.Id == Id) {
        auto Waiting = Entry.Peer.lock();
        std::uint64_t Since = Entry.After;
        Entry.Id = 0;
        if (Waiting && m_Ports[Waiting->Vm].CurrentMode != Mode::Silent)
          reply(Waiting, Ok,
                render(Waiting->Vm, Table,
                       [&](const std::string &, const Row &Stored) {
                         return Stored.Version > Since;
                       }));
      }
    m_Polls.erase(
        std::remove_if(m_Polls.begin(), m_Polls.end(),
                       [](const LongPoll &Entry) { return Entry.Id == 0; }),
        m_Polls.end());
  });
}

void StoreStandIn::completePolls(const std::string &Table) {
  std::vector<LongPoll> Matching;
  std::vector<LongPoll> Remaining;
  for (const LongPoll &Entry : m_Polls)
    (Entry.Table == Table ? Matching : Remaining).push_back(Entry);
  m_Polls = std::move(Remaining);
  for (const LongPoll &Entry : Matching) {
    auto Peer = Entry.Peer.lock();
    if (Peer && m_Ports[Peer->Vm].CurrentMode != Mode::Silent)
      reply(
          Peer, Ok,
          render(Peer->Vm, Table, [&](const std::string &, const Row &Stored) {
            return Stored.Version > Entry.After;
          }));
  }
}

void StoreStandIn::put(const std::string &Table, const std::string &Key,
                       const std::string &Value) {
  m_Tables[Table][Key] = {Value, ++m_Version, false};
  completePolls(Table);
}

void StoreStandIn::remove(const std::string &Table, const std::string &Key) {
  m_Tables[Table][Key] = {"", ++m_Version, true};
  completePolls(Table);
}

void StoreStandIn::write(const std::shared_ptr<Connection> &Peer,
                         const Request &Call) {
  Json Body = Json::parse(Call.Body);
  auto FindRow = [&](const Json &RowKey) -> Row & {
    return m_Tables[RowKey["table"]][RowKey["key"]];
  };
  for (const Json &Entry : Body["expect"]) {
    const Row &Stored = FindRow(Entry);
    std::uint64_t Version = Stored.Deleted ? 0 : Stored.Version;
    if (Version != Entry["ver"].get<std::uint64_t>())
      return reply(Peer, PreconditionFailed, R"({"rows":[]})");
  }
  ++m_Version;
  for (const Json &Written : Body["put"]) {
    std::string Value = fromBase64(Written["value"].get<std::string>()).value();
    FindRow(Written) = {Value, m_Version, false};
  }
  for (const Json &Removed : Body["remove"])
    FindRow(Removed) = {"", m_Version, true};
  std::uniform_real_distribution<double> Chance(0, 1);
  bool Lost = m_Ports[Peer->Vm].CurrentMode == Mode::LoseReplies &&
              Chance(m_Random) < LostReplyRatio;
  if (!Lost)
    reply(Peer, Ok, Json{{"ver", m_Version}, {"now_ms", 0}}.dump());
}

void StoreStandIn::promote(const std::shared_ptr<Connection> &Peer,
                           const Request &Call) {
  Json Body = Json::parse(Call.Body);
  std::string Service = Body["service"];
  std::uint64_t Token = std::stoull(Call.Headers.at("Fencing-Token"));
  std::uint64_t &HighestToken = m_FencingTokens[Service];
  if (Token < HighestToken || !m_Promote(Service, Body["id"]))
    return reply(Peer, Conflict, "{}");
  HighestToken = Token;
  reply(Peer, Ok, "{}");
}

} // namespace bergamotstage::soak
