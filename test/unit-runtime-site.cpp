#include "runtime/site/CallerSockets.h"
#include "runtime/site/HttpClient.h"
#include "runtime/site/HttpServer.h"
#include "runtime/site/TableFollower.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>

#include <CppUTest/TestHarness.h>

#include <sys/resource.h>

#include <cerrno>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

using namespace bergamotstage;
using namespace bergamotstage::runtime;

namespace {

using Tcp = asio::ip::tcp;

/// @brief Returns a local address that is currently unused.
std::string freeAddress(asio::io_context &Io) {
  Tcp::acceptor Probe(Io, {asio::ip::address_v4::loopback(), 0});
  return "127.0.0.1:" + std::to_string(Probe.local_endpoint().port());
}

Tcp::endpoint endpointOf(const std::string &Address) {
  std::string Port = Address.substr(Address.rfind(':') + 1);
  return {asio::ip::address_v4::loopback(),
          static_cast<std::uint16_t>(std::stoul(Port))};
}

/// @brief A TCP client that sends arbitrary bytes.
class Client {
public:
  Client(asio::io_context &Io, const std::string &Address)
      : m_Io(Io), m_Socket(Io) {
    m_Socket.connect(endpointOf(Address));
    m_Socket.non_blocking(true);
  }

  /// Writes in parts, so that one thread can drive both ends.
  void send(std::string_view Bytes) {
    while (!Bytes.empty() && !m_Closed) {
      std::error_code Failed;
      std::size_t Sent =
          m_Socket.write_some(asio::buffer(Bytes.data(), Bytes.size()), Failed);
      Bytes.remove_prefix(Failed ? 0 : Sent);
      m_Closed = Failed && Failed != asio::error::would_block;
      m_Io.run_for(std::chrono::milliseconds(1));
      m_Io.restart();
    }
    read();
  }

  void read(std::chrono::milliseconds Wait = std::chrono::milliseconds(20)) {
    m_Io.run_for(Wait);
    m_Io.restart();
    char Bytes[4096];
    std::error_code Failed;
    while (!Failed) {
      std::size_t Count = m_Socket.read_some(asio::buffer(Bytes), Failed);
      m_Text.append(Bytes, Failed ? 0 : Count);
    }
    m_Closed = m_Closed || Failed != asio::error::would_block;
  }

  const std::string &text() const { return m_Text; }
  bool closed() const { return m_Closed; }

private:
  asio::io_context &m_Io;
  Tcp::socket m_Socket;
  std::string m_Text;
  bool m_Closed = false;
};

struct CallerFixture {
  asio::io_context Io;
  std::string Address = freeAddress(Io);
  std::vector<std::string> Databases;
  std::vector<std::string> Requests;
  std::vector<std::string> Refused;
  std::unique_ptr<CallerSockets> Sockets;

  CallerFixture() {
    CallerSockets::Hooks Callbacks;
    Callbacks.Opened = [this](CallerId, const std::string &Database,
                              const std::string &) {
      Databases.push_back(Database);
    };
    Callbacks.StatementReceived = [this](CallerId,
                                         const pooling::Statement &Stmt) {
      Requests.push_back(Stmt.RequestId);
    };
    Callbacks.Closed = [](CallerId) {};
    Callbacks.Refused = [this](const std::string &Reason) {
      Refused.push_back(Reason);
    };
    auto Listening = CallerSockets::listen(Io, Address, std::move(Callbacks));
    CHECK_TRUE(Listening.has_value());
    Sockets = std::move(*Listening);
  }
};

} // namespace

TEST_GROUP(CallerSockets){};

TEST(CallerSockets, MalformedInputClosesOnlyItsConnection) {
  CallerFixture Fixture;
  Client Valid(Fixture.Io, Fixture.Address);
  Valid.send("START plots key\r\n");
  for (const std::string &Invalid :
       {std::string("\x16\x03\x01\xee\r\n"), std::string("\0\0\r\n", 4),
        std::string("GET / HTTP/1.1\r\n"), std::string("QUERY r1 READ a\r\n"),
        std::string("START\r\n"), std::string("\r\n")}) {
    Client Other(Fixture.Io, Fixture.Address);
    Other.send(Invalid);
    CHECK_EQUAL("ERROR MALFORMED", Other.text().substr(0, 15));
    CHECK_TRUE(Other.closed());
  }
  LONGS_EQUAL(6, Fixture.Refused.size());
  Valid.send("QUERY r1 READ a\r\n");
  LONGS_EQUAL(1, Fixture.Databases.size());
  LONGS_EQUAL(1, Fixture.Requests.size());
  CHECK_FALSE(Valid.closed());
}

TEST(CallerSockets, OverlongLineClosesTheConnection) {
  CallerFixture Fixture;
  Client Unterminated(Fixture.Io, Fixture.Address);
  Unterminated.send("START plots key\r\n");
  Unterminated.send(std::string(platform::MaxLineBytes + 100, 'x'));
  CHECK_TRUE(Unterminated.closed());
  LONGS_EQUAL(1, Fixture.Refused.size());
}

TEST(CallerSockets, UnfinishedLinesOfAllCallersAreBounded) {
  CallerFixture Fixture;
  std::vector<std::unique_ptr<Client>> Clients;
  constexpr std::size_t Part = std::size_t{800} * 1024;
  for (unsigned Number = 0; Number < 40; ++Number) {
    Clients.push_back(std::make_unique<Client>(Fixture.Io, Fixture.Address));
    Clients.back()->send("START plots key\r\n");
    Clients.back()->send(std::string(Part, 'x'));
  }
  // The limit of 16 MB fits twenty of the 40 lines.
  LONGS_EQUAL(20, Fixture.Refused.size());
  Clients.front()->send("\r\n");
  Client Next(Fixture.Io, Fixture.Address);
  Next.send("START plots key\r\nQUERY r9 READ a\r\n");
  CHECK_EQUAL("r9", Fixture.Requests.back());
}

TEST(CallerSockets, UnstartedSessionIsClosed) {
  CallerFixture Fixture;
  Client Idle(Fixture.Io, Fixture.Address);
  Idle.send("STA");
  CHECK_FALSE(Idle.closed());
  Idle.read(std::chrono::milliseconds(3300));
  CHECK_TRUE(Idle.closed());
}

TEST(CallerSockets, AcceptsAgainOnceDescriptorsAreFree) {
  CallerFixture Fixture;
  Tcp::socket Waiting(Fixture.Io);
  Waiting.open(Tcp::v4());
  // The sanitizer needs descriptors to check an object for the first time.
  Client First(Fixture.Io, Fixture.Address);
  First.send("START plots key\r\n");
  std::error_code Expected(EMFILE, asio::error::get_system_category());
  CHECK_FALSE(Expected.message().empty());
  rlimit Usual{};
  getrlimit(RLIMIT_NOFILE, &Usual);
  rlimit Exhausted = Usual;
  Exhausted.rlim_cur = static_cast<rlim_t>(Waiting.native_handle()) + 1;
  setrlimit(RLIMIT_NOFILE, &Exhausted);
  Waiting.connect(endpointOf(Fixture.Address));
  // Spinning would run thousands of handlers.
  CHECK_TRUE(Fixture.Io.run_for(std::chrono::milliseconds(350)) < 20);
  LONGS_EQUAL(1, Fixture.Refused.size());
  setrlimit(RLIMIT_NOFILE, &Usual);
  Waiting.write_some(asio::buffer(std::string("START plots key\r\n")));
  Fixture.Io.run_for(std::chrono::milliseconds(200));
  LONGS_EQUAL(2, Fixture.Databases.size());
}

TEST_GROUP(HttpServer){};

TEST(HttpServer, ServesPathsAndClosesNonHttpConnections) {
  asio::io_context Io;
  std::string Address = freeAddress(Io);
  auto Server = HttpServer::listen(
      Io, Address,
      [](const std::string &Path) {
        return Path == "/ready" ? HttpResponse{200, "yes"}
                                : HttpResponse{404, "no"};
      },
      [](const std::string &) {});
  CHECK_TRUE(Server.has_value());
  Client Valid(Io, Address);
  Valid.send("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n");
  CHECK_TRUE(Valid.text().find("HTTP/1.1 200") == 0);
  Client Missing(Io, Address);
  Missing.send("GET /other HTTP/1.1\r\nHost: a\r\n\r\n");
  CHECK_TRUE(Missing.text().find("HTTP/1.1 404") == 0);
  Client Invalid(Io, Address);
  Invalid.send(std::string("\x16\x03\x01 no http\r\n\r\n"));
  CHECK_TRUE(Invalid.closed());
  Client Oversized(Io, Address);
  Oversized.send("GET /ready HTTP/1.1\r\n" + std::string(200000, 'h'));
  CHECK_TRUE(Oversized.closed());
}

namespace {

/// @brief A store on loopback that sends its response in parts.
struct SlowStore {
  asio::io_context Io;
  Tcp::acceptor Acceptor{Io, {asio::ip::address_v4::loopback(), 0}};
  HttpClient Client{Io, "127.0.0.1:" +
                            std::to_string(Acceptor.local_endpoint().port())};
  Tcp::socket Accepted{Io};
  std::optional<unsigned> Status;
  std::string Body;

  explicit SlowStore(Duration Timeout) {
    platform::HttpCall Call;
    Call.Method = "GET";
    Call.Path = "/";
    Client.call(Call, Timeout, [this](unsigned Answered, std::string Text) {
      Status = Answered;
      Body = std::move(Text);
    });
    Acceptor.async_accept([this](std::error_code Error, Tcp::socket Socket) {
      CHECK_FALSE(Error);
      Accepted = std::move(Socket);
    });
    run(std::chrono::milliseconds(20));
    send("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n");
  }

  void send(const std::string &Bytes) {
    std::error_code Ignored; // The client may have closed the connection.
    Accepted.write_some(asio::buffer(Bytes), Ignored);
  }

  /// @brief Sends a part of the body every 40 ms until the call has ended.
  void sendParts(unsigned Count, std::size_t Length) {
    for (unsigned Part = 0; Part < Count && !Status; ++Part) {
      run(std::chrono::milliseconds(40));
      send(std::string(Length, 'x'));
    }
    run(std::chrono::milliseconds(40));
  }

  void run(std::chrono::milliseconds Span) {
    Io.run_for(Span);
    Io.restart();
  }
};

} // namespace

TEST_GROUP(TableFollower){};

TEST(TableFollower, ShorterDelaysReplaceAPendingRetry) {
  asio::io_context Io;
  std::string Address = freeAddress(Io);
  TableFollower::Hooks Callbacks;
  bool Reachable = true;
  Callbacks.Reachable = [&](bool Now, const std::string &) { Reachable = Now; };
  TableFollower Table(Io, Address, "servers", seconds(5), std::move(Callbacks));
  Table.setFollowing({true, seconds(60), seconds(60)});
  Io.run_for(std::chrono::milliseconds(50));
  CHECK_FALSE(Reachable);
  unsigned Calls = 0;
  auto Server = HttpServer::listen(
      Io, Address,
      [&](const std::string &) {
        ++Calls;
        return HttpResponse{503, ""};
      },
      [](const std::string &) {});
  CHECK_TRUE(Server.has_value());
  Table.setFollowing({true, milliseconds(20), milliseconds(100)});
  Io.restart();
  Io.run_for(std::chrono::milliseconds(300));
  // One retry runs at a time, after 100 ms and then every 100 ms.
  CHECK_TRUE(Calls >= 1);
  CHECK_TRUE(Calls <= 3);
}

TEST_GROUP(HttpClient){};

TEST(HttpClient, AResponseIsNotGivenUpWhileItArrives) {
  SlowStore Store(milliseconds(150));
  Store.sendParts(10, 100);
  CHECK_TRUE(Store.Status.has_value());
  LONGS_EQUAL(200, Store.Status.value_or(0));
  LONGS_EQUAL(1000, Store.Body.size());
}

TEST(HttpClient, AResponseThatStopsIsGivenUp) {
  SlowStore Store(milliseconds(150));
  Store.sendParts(3, 100);
  CHECK_FALSE(Store.Status.has_value());
  Store.run(std::chrono::milliseconds(250));
  CHECK_TRUE(Store.Status.has_value());
  LONGS_EQUAL(0, Store.Status.value_or(1));
}

TEST(HttpClient, AResponseThatArrivesTooSlowlyIsGivenUp) {
  SlowStore Store(milliseconds(100));
  Store.sendParts(40, 1);
  CHECK_TRUE(Store.Status.has_value());
  LONGS_EQUAL(0, Store.Status.value_or(1));
}

TEST(HttpClient, OpensAnotherConnectionIfTheFirstOneIsNotAnswered) {
  asio::io_context Io;
  // A full queue of a listener drops further opening packets.
  Tcp::acceptor Acceptor(Io);
  Acceptor.open(Tcp::v4());
  Acceptor.bind({asio::ip::address_v4::loopback(), 0});
  Acceptor.listen(0);
  std::vector<Tcp::socket> Queued;
  for (int Index = 0; Index < 4; ++Index) {
    Queued.emplace_back(Io);
    Queued.back().async_connect(Acceptor.local_endpoint(),
                                [](std::error_code) {});
  }
  Io.run_for(std::chrono::milliseconds(50));
  HttpClient Store(Io, "127.0.0.1:" +
                           std::to_string(Acceptor.local_endpoint().port()));
  unsigned Status = 0;
  platform::HttpCall Call;
  Call.Method = "GET";
  Call.Path = "/";
  bool Ended = false;
  Store.call(Call, milliseconds(900),
             [&](unsigned Answered, const std::string &) {
               Status = Answered;
               Ended = true;
             });
  Io.run_for(std::chrono::milliseconds(100));
  Queued.clear();
  std::vector<Tcp::socket> Accepted;
  std::function<void()> Accept = [&] {
    Acceptor.async_accept([&](std::error_code Error, Tcp::socket Socket) {
      if (Error)
        return;
      Accepted.push_back(std::move(Socket));
      // Connections of the queue have ended; the write to them fails.
      std::error_code Ignored;
      Accepted.back().write_some(
          asio::buffer(std::string("HTTP/1.1 204 No Content\r\n"
                                   "Content-Length: 0\r\n\r\n")),
          Ignored);
      Accept();
    });
  };
  Accept();
  while (!Ended)
    Io.run_one();
  LONGS_EQUAL(204, Status);
}
