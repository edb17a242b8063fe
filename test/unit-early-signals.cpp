#include <nlohmann/json.hpp>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <CppUTest/TestHarness.h>

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <fstream>
#include <sstream>
#include <string>
#include <thread>

namespace {

using namespace std::chrono_literals;

std::string freeAddress() {
  asio::io_context Io;
  asio::ip::tcp::acceptor Probe(Io, {asio::ip::address_v4::loopback(), 0});
  return "127.0.0.1:" + std::to_string(Probe.local_endpoint().port());
}

/// @brief The real program, started as `site` with a store that is down.
class SiteProgram {
public:
  SiteProgram() {
    std::string Peer = freeAddress();
    unsigned Port = std::stoul(Peer.substr(Peer.rfind(':') + 1));
    nlohmann::json Settings = {
        {"node_name", "vm-0"},
        {"zone", "east"},
        {"ip", "127.0.0.1"},
        {"listen_addrs",
         {{"frontend", freeAddress()}, {"ready", freeAddress()}}},
        {"internal_ports", {Port, Port}},
        {"platform", {{"address", freeAddress()}}},
        {"cloud_api", {{"address", freeAddress()}}},
        {"bounds", {{"grace_s", 6}}}};
    std::ofstream(m_Settings) << Settings;
    m_Id = fork();
    if (m_Id != 0)
      return;
    int Out = open(m_Log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
    dup2(Out, STDOUT_FILENO);
    dup2(Out, STDERR_FILENO);
    execl(BERGAMOTSTAGE_PROGRAM, BERGAMOTSTAGE_PROGRAM, "site", "--settings",
          m_Settings.c_str(), "--metrics-port", "0", nullptr);
    _exit(127);
  }

  ~SiteProgram() {
    kill(m_Id, SIGKILL);
    waitpid(m_Id, nullptr, 0);
    unlink(m_Settings.c_str());
    unlink(m_Log.c_str());
  }

  void send(int Signal) const { kill(m_Id, Signal); }

  /// @brief Whether SIGHUP is blocked, from the kernel's view.
  bool blocksHangup() const {
    std::ifstream Status("/proc/" + std::to_string(m_Id) + "/status");
    const std::string Mask = "SigBlk:";
    for (std::string Line; std::getline(Status, Line);)
      if (Line.rfind(Mask, 0) == 0)
        return (std::stoull(Line.substr(Mask.size()), nullptr, 16) & 1U) != 0;
    return false;
  }

  bool running() const { return waitpid(m_Id, nullptr, WNOHANG) == 0; }

  std::string log() const {
    std::ifstream In(m_Log);
    std::ostringstream Text;
    Text << In.rdbuf();
    return Text.str();
  }

private:
  std::string m_Settings =
      "early-signals-" + std::to_string(getpid()) + ".json";
  std::string m_Log = "early-signals-" + std::to_string(getpid()) + ".log";
  pid_t m_Id = 0;
};

/// @brief Polls a condition for at most ten seconds.
template <class Condition> bool waitFor(const Condition &Holds) {
  auto End = std::chrono::steady_clock::now() + 10s;
  while (!Holds() && std::chrono::steady_clock::now() < End)
    std::this_thread::sleep_for(200us);
  return Holds();
}

} // namespace

TEST_GROUP(EarlySignals){};

TEST(EarlySignals, AHangupDuringTheStartReloadsTheSettings) {
  SiteProgram Program;
  // Until the loader has mapped the libraries, no code of the program runs.
  CHECK_TRUE(waitFor([&] { return Program.blocksHangup(); }));
  CHECK_TRUE(Program.log().empty());
  Program.send(SIGHUP);
  CHECK_TRUE(waitFor([&] {
    return Program.log().find("event=settings_reloaded signal=yes") !=
           std::string::npos;
  }));
  CHECK_TRUE(Program.running());
}

TEST(EarlySignals, HangupsThroughoutTheStartDoNotEndTheProgram) {
  SiteProgram Program;
  CHECK_TRUE(waitFor([&] { return Program.blocksHangup(); }));
  for (int Sent = 0; Sent < 100; ++Sent) {
    Program.send(SIGHUP);
    std::this_thread::sleep_for(5ms);
    CHECK_TRUE(Program.running());
  }
}
