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
constexpr Duration AnswerTime = milliseconds(4);
constexpr Duration SilenceLimit = seconds(600);
constexpr double LostPart = 0.3;

std::string unescape(const std::string &Text) {
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
    std::string Part =
        Path.substr(At + 1, End == std::string::npos ? End : End - At - 1);
    std::size_t Equals = Part.find('=');
    Query[Part.substr(0, Equals)] = unescape(Part.substr(Equals + 1));
    At = End;
  }
  return Query;
}

} // namespace

/// @brief One HTTP connection of a VM.
struct StoreStandIn::Connection {
  unsigned Vm = 0;
  std::weak_ptr<runtime::ByteStream> Stream; ///< Whose hooks own this.
  http_parser Parser{};
  http_parser_settings Callbacks{};
  Request Asked;
  std::string Field;
  std::function<void(const Request &)> Done;

  Connection() {
    http_parser_init(&Parser, HTTP_REQUEST);
    Parser.data = this;
    http_parser_settings_init(&Callbacks);
    Callbacks.on_url = [](http_parser *Of, const char *At, std::size_t Size) {
      self(Of).Asked.Path.append(At, Size);
      return 0;
    };
    Callbacks.on_header_field = [](http_parser *Of, const char *At,
                                   std::size_t Size) {
      self(Of).Field.assign(At, Size);
      return 0;
    };
    Callbacks.on_header_value = [](http_parser *Of, const char *At,
                                   std::size_t Size) {
      self(Of).Asked.Headers[self(Of).Field].assign(At, Size);
      return 0;
    };
    Callbacks.on_body = [](http_parser *Of, const char *At, std::size_t Size) {
      self(Of).Asked.Body.append(At, Size);
      return 0;
    };
    Callbacks.on_message_complete = [](http_parser *Of) {
      Connection &Self = self(Of);
      Request Whole = std::move(Self.Asked);
      Self.Asked = Request();
      Whole.Method =
          http_method_str(static_cast<http_method>(Self.Parser.method));
      Whole.Query = parseQuery(Whole.Path);
      Whole.Path = Whole.Path.substr(0, Whole.Path.find('?'));
      Self.Done(Whole);
      return 0;
    };
  }

  static Connection &self(http_parser *Of) {
    return *static_cast<Connection *>(Of->data);
  }
};

StoreStandIn::StoreStandIn(asio::io_context &Io, unsigned Vms,
                           std::uint64_t Seed)
    : m_Io(Io), m_Random(Seed), m_Doors(Vms) {
  for (unsigned Vm = 0; Vm < Vms; ++Vm) {
    m_Doors[Vm].Acceptor = std::make_unique<asio::ip::tcp::acceptor>(
        Io, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    accept(Vm);
  }
}

std::string StoreStandIn::address(unsigned Vm) const {
  return "127.0.0.1:" +
         std::to_string(m_Doors.at(Vm).Acceptor->local_endpoint().port());
}

void StoreStandIn::accept(unsigned Vm) {
  m_Doors[Vm].Acceptor->async_accept([this, Vm](std::error_code Failed,
                                                asio::ip::tcp::socket Socket) {
    if (Failed == asio::error::operation_aborted)
      return;
    if (!Failed) {
      auto New = std::make_shared<Connection>();
      New->Vm = Vm;
      std::weak_ptr<Connection> Known = New;
      New->Done = [this, Known](const Request &Asked) {
        auto From = Known.lock();
        auto Timer = std::make_shared<asio::steady_timer>(m_Io, AnswerTime);
        Timer->async_wait([this, Timer, From, Asked](std::error_code) {
          answer(From, Asked);
        });
      };
      runtime::ByteStream::Hooks Hooks;
      Hooks.Received = [New](std::string_view Bytes) {
        std::size_t Parsed = http_parser_execute(&New->Parser, &New->Callbacks,
                                                 Bytes.data(), Bytes.size());
        if (Parsed != Bytes.size())
          if (auto Stream = New->Stream.lock())
            Stream->close();
      };
      Hooks.Ended = [](const std::string &) {};
      New->Stream = runtime::ByteStream::adopt(std::move(Socket), SilenceLimit,
                                               std::move(Hooks));
    }
    accept(Vm);
  });
}

void StoreStandIn::reply(const std::shared_ptr<Connection> &To, unsigned Status,
                         const std::string &Body) {
  auto Stream = To->Stream.lock();
  if (!Stream)
    return;
  Stream->send("HTTP/1.1 " + std::to_string(Status) +
               " -\r\nContent-Type: application/json\r\nContent-Length: " +
               std::to_string(Body.size()) + "\r\n\r\n" + Body);
}

void StoreStandIn::answer(const std::shared_ptr<Connection> &To,
                          const Request &Asked) {
  Mode Now = m_Doors[To->Vm].Chosen;
  if (Now == Mode::Silent)
    return;
  if (Now == Mode::Busy)
    return reply(To, Unavailable, "{}");
  if (Asked.Path == "/-/rows-get")
    return readTable(To, Asked);
  if (Asked.Path == "/-/rows-feed")
    return follow(To, Asked);
  if (Asked.Path == "/-/rows-tx")
    return write(To, Asked);
  if (Asked.Path == "/promote")
    return promote(To, Asked);
  reply(To, 404, "{}");
}

std::string StoreStandIn::render(
    unsigned Vm, const std::string &Table,
    const std::function<bool(const std::string &, const Row &)> &Wanted) const {
  Json Rows = Json::array();
  auto Found = m_Tables.find(Table);
  if (Found != m_Tables.end())
    for (const auto &[Key, Of] : Found->second) {
      if (!Wanted(Key, Of))
        continue;
      Json Shown = {
          {"table", Table}, {"part", ""}, {"key", Key}, {"ver", Of.Version}};
      if (Of.Deleted)
        Shown["deleted"] = true;
      else
        Shown["value"] =
            toBase64(Table == "servers" && m_View ? m_View(Vm, Key, Of.Value)
                                                  : Of.Value);
      Rows.push_back(std::move(Shown));
    }
  return Json{
      {"rows", Rows}, {"has_more", false}, {"ver", m_Version}, {"now_ms", 0}}
      .dump();
}

void StoreStandIn::readTable(const std::shared_ptr<Connection> &To,
                             const Request &Asked) {
  auto Bound = [&](const char *Name) {
    auto Given = Asked.Query.find(Name);
    return Given == Asked.Query.end() ? std::string() : Given->second;
  };
  std::string From = Bound("from");
  std::string Until = Bound("to");
  reply(To, Ok,
        render(To->Vm, Bound("table"),
               [&](const std::string &Key, const Row &Of) {
                 return !Of.Deleted && Key >= From &&
                        (Until.empty() || Key < Until);
               }));
}

void StoreStandIn::follow(const std::shared_ptr<Connection> &To,
                          const Request &Asked) {
  std::string Table = Asked.Query.at("table");
  std::uint64_t After = std::stoull(Asked.Query.at("after"));
  bool Changed = false;
  for (const auto &[Key, Of] : m_Tables[Table])
    Changed = Changed || Of.Version > After;
  std::uint64_t Number = ++m_LastWait;
  m_Waiting.push_back({To, Number, Table, After});
  if (Changed)
    return wakeFollowers(Table);
  auto Timer = std::make_shared<asio::steady_timer>(
      m_Io, milliseconds(std::stoul(Asked.Query.at("wait_ms"))));
  Timer->async_wait([this, Timer, Number, Table](std::error_code) {
    for (Waiting &Known : m_Waiting)
      if (Known.Number == Number) {
        auto From = Known.From.lock();
        std::uint64_t Since = Known.After;
        Known.Number = 0;
        if (From && m_Doors[From->Vm].Chosen != Mode::Silent)
          reply(
              From, Ok,
              render(From->Vm, Table, [&](const std::string &, const Row &Of) {
                return Of.Version > Since;
              }));
      }
    m_Waiting.erase(
        std::remove_if(m_Waiting.begin(), m_Waiting.end(),
                       [](const Waiting &Known) { return Known.Number == 0; }),
        m_Waiting.end());
  });
}

void StoreStandIn::wakeFollowers(const std::string &Table) {
  std::vector<Waiting> Woken;
  std::vector<Waiting> Left;
  for (const Waiting &Known : m_Waiting)
    (Known.Table == Table ? Woken : Left).push_back(Known);
  m_Waiting = std::move(Left);
  for (const Waiting &Known : Woken) {
    auto From = Known.From.lock();
    if (From && m_Doors[From->Vm].Chosen != Mode::Silent)
      reply(From, Ok,
            render(From->Vm, Table, [&](const std::string &, const Row &Of) {
              return Of.Version > Known.After;
            }));
  }
}

void StoreStandIn::put(const std::string &Table, const std::string &Key,
                       const std::string &Value) {
  m_Tables[Table][Key] = {Value, ++m_Version, false};
  wakeFollowers(Table);
}

void StoreStandIn::write(const std::shared_ptr<Connection> &To,
                         const Request &Asked) {
  Json Body = Json::parse(Asked.Body);
  auto RowOf = [&](const Json &Named) -> Row & {
    return m_Tables[Named["table"]][Named["key"]];
  };
  for (const Json &Known : Body["expect"]) {
    const Row &Of = RowOf(Known);
    std::uint64_t Version = Of.Deleted ? 0 : Of.Version;
    if (Version != Known["ver"].get<std::uint64_t>())
      return reply(To, PreconditionFailed, R"({"rows":[]})");
  }
  ++m_Version;
  for (const Json &Made : Body["put"]) {
    std::string Value = fromBase64(Made["value"].get<std::string>()).value();
    RowOf(Made) = {Value, m_Version, false};
  }
  for (const Json &Gone : Body["remove"])
    RowOf(Gone) = {"", m_Version, true};
  std::uniform_real_distribution<double> Chance(0, 1);
  bool Lost = m_Doors[To->Vm].Chosen == Mode::LosesAnswers &&
              Chance(m_Random) < LostPart;
  if (!Lost)
    reply(To, Ok, Json{{"ver", m_Version}, {"now_ms", 0}}.dump());
}

void StoreStandIn::promote(const std::shared_ptr<Connection> &To,
                           const Request &Asked) {
  Json Body = Json::parse(Asked.Body);
  std::string Service = Body["service"];
  std::uint64_t Fence = std::stoull(Asked.Headers.at("Fencing-Token"));
  std::uint64_t &Seen = m_Fences[Service];
  if (Fence < Seen || !m_Promote(Service, Body["id"]))
    return reply(To, Conflict, "{}");
  Seen = Fence;
  reply(To, Ok, "{}");
}

} // namespace bergamotstage::soak
