#include "TargetStandIn.h"

#include "bergamotstage/core/Parse.h"
#include <asio/steady_timer.hpp>

#include <algorithm>
#include <sstream>
#include <utility>
#include <variant>

namespace bergamotstage::soak {
namespace {

using pooling::LinkRequest;
using pooling::Statement;
using pooling::Verb;

constexpr Duration IdleTimeout = seconds(600);
constexpr Duration HandshakeTime = milliseconds(10);
constexpr Duration MeanServiceTime = milliseconds(8);
constexpr double MaxServiceTimeFactor = 5; ///< Multiple of the mean.

HistoryPoint parsePoint(const std::string &Text) {
  std::size_t Dot = Text.find('.');
  return {Term(std::stoull(Text.substr(0, Dot))),
          LogPosition(std::stoull(Text.substr(Dot + 1)))};
}

std::string pointText(const HistoryPoint &Point) {
  return std::to_string(Point.AtTerm.value()) + "." +
         std::to_string(Point.Position.value());
}

std::string errorLine(pooling::ErrorCode Code) {
  pooling::CallerReply Reply;
  Reply.Error = Code;
  Reply.Greeting = true;
  return platform::encodeReply(Reply);
}

/// @brief Parses a request that the proxy itself sends, with the id "-".
std::optional<LinkRequest> parseProxyRequest(const std::string &Text) {
  LinkRequest Request;
  std::istringstream In(Text);
  std::string Word;
  In >> Word;
  if (Text == "BEGIN")
    Request.Type = LinkRequest::Kind::Begin;
  else if (Text == "BEGIN READ")
    Request.Type = LinkRequest::Kind::BeginReadOnly;
  else if (Word == "ROLLBACK")
    Request.Type = LinkRequest::Kind::Rollback;
  else if (Word == "RESET")
    Request.Type = LinkRequest::Kind::ClearSession;
  else if (Word == "STATUS")
    Request.Type = LinkRequest::Kind::Status;
  else if (Word == "RESUME")
    Request.Type = LinkRequest::Kind::Resume;
  else if (Word == "SET") {
    Request.Type = LinkRequest::Kind::SetValue;
    In >> Request.Name;
    std::getline(In >> std::ws, Request.Value);
  } else if (Word == "PREPARE") {
    std::string AccessMode;
    Request.Type = LinkRequest::Kind::Prepare;
    In >> Request.Name >> AccessMode;
    Request.Prepared.Writes = AccessMode == "WRITE";
    std::getline(In >> std::ws, Request.Prepared.Text);
  } else if (Word == "PAUSE" || Word == "STEPDOWN") {
    std::uint64_t AtTerm = 0;
    In >> AtTerm;
    Request.AtTerm = Term(AtTerm);
    Request.Type = Word == "PAUSE" ? LinkRequest::Kind::Pause
                                   : LinkRequest::Kind::StepDown;
  } else {
    return std::nullopt;
  }
  return Request;
}

/// @brief Whether a request is a caller's read, write or commit.
bool runsStatement(const LinkRequest &Request) {
  Verb Kind = Request.Stmt.Kind;
  return Request.Type == LinkRequest::Kind::CallerStatement &&
         (Kind == Verb::Read || Kind == Verb::Write || Kind == Verb::Execute ||
          Kind == Verb::Commit);
}

} // namespace

std::optional<LinkRequest> parseTargetRequest(const std::string &Line) {
  std::istringstream In(Line);
  std::string Word;
  std::string Id;
  std::string Text;
  In >> Word >> Id;
  std::getline(In >> std::ws, Text);
  if (Word != "QUERY")
    return std::nullopt;
  std::optional<HistoryPoint> After;
  if (Text.compare(0, 6, "AFTER ") == 0) {
    std::size_t End = Text.find(' ', 6);
    After = parsePoint(Text.substr(6, End - 6));
    Text = Text.substr(End + 1);
  }
  std::optional<LinkRequest> Request;
  if (Id == "-") {
    Request = parseProxyRequest(Text);
  } else {
    auto Message = platform::parseCallerLine("QUERY " + Id + " " + Text);
    auto *Stmt = std::get_if<Statement>(&Message);
    if (Stmt != nullptr && Stmt->Kind != Verb::Unknown) {
      Request = LinkRequest();
      Request->Stmt = *Stmt;
      Request->Name = Stmt->Name;
    }
  }
  if (Request)
    Request->After = After;
  return Request;
}

TargetStandIn::TargetStandIn(asio::io_context &Io, standin::ModelGroup &Group,
                             TargetId Name, std::uint64_t &LastLink,
                             std::mt19937_64 &Random, unsigned Vms)
    : m_Io(Io), m_Group(Group), m_Name(std::move(Name)), m_LastLink(LastLink),
      m_Random(Random), m_OnStatement([](unsigned, const Statement &) {}) {
  m_Acceptors.reserve(Vms);
  for (unsigned Vm = 0; Vm < Vms; ++Vm) {
    m_Acceptors.emplace_back(
        Io, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    accept(Vm);
  }
}

std::string TargetStandIn::address(unsigned Vm) const {
  return "127.0.0.1:" +
         std::to_string(m_Acceptors.at(Vm).local_endpoint().port());
}

void TargetStandIn::accept(unsigned Vm) {
  m_Acceptors[Vm].async_accept(
      [this, Vm](std::error_code Error, asio::ip::tcp::socket Socket) {
        if (Error == asio::error::operation_aborted)
          return;
        if (!Error) {
          auto Accepted = std::make_shared<Link>();
          Accepted->Vm = Vm;
          runtime::ByteStream::Hooks Hooks;
          Hooks.Received = [this, Accepted](std::string_view Bytes) {
            Accepted->Lines.append(Bytes);
            while (auto Line = Accepted->Lines.next())
              onLine(Accepted, *Line);
          };
          Hooks.Ended = [this, Accepted](const std::string &) {
            if (Accepted->Key != 0)
              m_Group.closeLink(Accepted->Key);
          };
          Accepted->Stream = runtime::ByteStream::adopt(
              std::move(Socket), IdleTimeout, std::move(Hooks));
        }
        accept(Vm);
      });
}

void TargetStandIn::onLine(const std::shared_ptr<Link> &Peer,
                           const std::string &Line) {
  auto Request = parseTargetRequest(Line);
  if (Request && runsStatement(*Request))
    m_OnStatement(Peer->Vm, Request->Stmt);
  if (m_Unresponsive || Peer->Silent) {
    Peer->Silent = true;
    return;
  }
  if (Peer->Key == 0)
    return start(Peer, Line);
  if (!Request) {
    if (auto Stream = Peer->Stream.lock())
      Stream->close();
    return;
  }
  Peer->Queue.push_back(std::move(*Request));
  runNext(Peer);
}

void TargetStandIn::runNext(const std::shared_ptr<Link> &Peer) {
  while (!Peer->Busy && !Peer->Queue.empty()) {
    LinkRequest Next = std::move(Peer->Queue.front());
    Peer->Queue.pop_front();
    if (!m_Unresponsive && !Peer->Silent)
      run(Peer, Next);
  }
}

void TargetStandIn::start(const std::shared_ptr<Link> &Peer,
                          const std::string &Line) {
  std::istringstream In(Line);
  std::string Word;
  std::string Service;
  std::string Account;
  std::string Id;
  In >> Word >> Service >> Account >> Id;
  bool Expected = Word == "START" && Service == m_Group.id().value() &&
                  Id == m_Name.value();
  if (!Expected) {
    if (auto Stream = Peer->Stream.lock()) {
      Stream->send(errorLine(pooling::ErrorCode::WrongTarget));
      Stream->closeAfterOutput();
    }
    return;
  }
  Peer->Key = ++m_LastLink;
  m_Group.openLink(m_Name, Peer->Key, AccountId(Account));
  sendAfter(Peer, HandshakeTime, "READY I -\r\n");
}

void TargetStandIn::run(const std::shared_ptr<Link> &Peer,
                        const LinkRequest &Request) {
  if (!m_Group.hasLink(Peer->Key))
    return;
  pooling::LinkReply Result = m_Group.run(Peer->Key, Request);
  std::uniform_real_distribution<double> Chance(0, 1);
  std::exponential_distribution<double> Factor(1.0);
  bool Executes = Request.Type == LinkRequest::Kind::CallerStatement;
  if (Executes && Chance(m_Random) < m_LostReplyRatio)
    Peer->Silent = true;
  pooling::CallerReply Reply;
  Reply.Rows = Result.Rows;
  Reply.Error = Result.Error;
  Reply.Signature = Result.Signature;
  Reply.State = Result.State;
  Reply.Position = Result.Position;
  if (Result.Status)
    Reply.Rows = {
        std::string(Result.Status->IsPrimary ? "primary" : "replica") + " " +
        std::to_string(Result.Status->HighestTerm.value()) + " " +
        pointText(Result.Status->Received) + " " +
        std::to_string(Result.Status->HighestTerm.value()) + " 0 0 0"};
  Duration Span =
      scaled(MeanServiceTime, std::min(MaxServiceTimeFactor, Factor(m_Random)));
  sendAfter(Peer, Executes ? Span : Duration(0), platform::encodeReply(Reply));
}

void TargetStandIn::send(const Link &Peer, const std::string &Text) {
  if (auto Stream = Peer.Stream.lock())
    Stream->send(Text);
}

void TargetStandIn::sendAfter(const std::shared_ptr<Link> &Peer, Duration Delay,
                              const std::string &Text) {
  if (Delay == Duration(0)) {
    if (!Peer->Silent)
      send(*Peer, Text);
    return;
  }
  Peer->Busy = true;
  auto Timer = std::make_shared<asio::steady_timer>(m_Io, Delay);
  Timer->async_wait([this, Timer, Peer, Text](std::error_code) {
    if (!Peer->Silent && !m_Unresponsive)
      send(*Peer, Text);
    Peer->Busy = false;
    runNext(Peer);
  });
}

} // namespace bergamotstage::soak
