#include "cli/Commands.h"
#include "cli/DemoClient.h"

#include <chrono>
#include <iostream>
#include <memory>
#include <string>
#include <thread>

namespace bergamotstage::cli {
namespace {

struct DemoOptions {
  std::string ProxyA;
  std::string ProxyB;
  std::string Account = "ward-1";
  std::string Key = "demo-key";
  std::string Route = "waitlist";
};

/// @brief Runs the steps of the demonstration and counts what went wrong.
class Demo {
public:
  explicit Demo(DemoOptions Options) : m_Options(std::move(Options)) {}

  int run() {
    if (!waitUntilServing())
      return ExitFailure;
    wrongKey();
    std::string Token = clerkWrites();
    clerkRoams(Token);
    std::cout << (m_Failures == 0 ? "demo passed" : "demo failed") << "\n";
    return m_Failures == 0 ? ExitSuccess : ExitFailure;
  }

private:
  ClientLogin login(const std::string &Address) const {
    return {Address, m_Options.Account, m_Options.Key, m_Options.Route, {}};
  }

  void check(bool Holds, const std::string &Step) {
    std::cout << (Holds ? "ok    " : "FAIL  ") << Step << "\n";
    m_Failures += Holds ? 0 : 1;
  }

  bool waitUntilServing() {
    constexpr int Attempts = 100;
    constexpr auto Pause = std::chrono::milliseconds(100);
    for (const std::string &Address : {m_Options.ProxyA, m_Options.ProxyB}) {
      bool Serving = false;
      for (int Attempt = 0; Attempt < Attempts && !Serving; ++Attempt) {
        auto Client = DemoClient::connect(login(Address));
        Serving = Client && Client->run("SELECT 1").SqlState.empty();
        if (!Serving)
          std::this_thread::sleep_for(Pause);
      }
      check(Serving, "proxy " + Address + " serves");
      if (!Serving)
        return false;
    }
    return true;
  }

  void wrongKey() {
    ClientLogin Wrong = login(m_Options.ProxyA);
    Wrong.Key = "wrong";
    check(!DemoClient::connect(Wrong), "a wrong key is refused");
  }

  std::string clerkWrites() {
    auto Client = DemoClient::connect(login(m_Options.ProxyA));
    if (!Client) {
      check(false, "the clerk connects to proxy A");
      return "";
    }
    ClientAnswer Written =
        Client->run("INSERT INTO offers VALUES ('plot-7', 'family-3')");
    check(Written.SqlState.empty(),
          "a clerk writes through proxy A " + Written.Message);
    check(!Client->token().empty(), "a session token comes back");
    return Client->token();
  }

  void clerkRoams(const std::string &Token) {
    ClientLogin Roamed = login(m_Options.ProxyB);
    Roamed.Settings["bergamotstage.session"] = Token;
    auto Client = DemoClient::connect(Roamed);
    if (!Client)
      return check(false, "the clerk connects to proxy B");
    ClientAnswer Read =
        Client->run("SELECT value FROM offers WHERE key = 'plot-7'");
    bool Seen = Read.Rows.size() == 1 && Read.Rows[0][0] == "family-3";
    check(Seen, "the clerk roams to proxy B and reads the write");
  }

  DemoOptions m_Options;
  int m_Failures = 0;
};

} // namespace

void addDemo(CLI::App &App, int &Code) {
  auto Options = std::make_shared<DemoOptions>();
  CLI::App *Command = App.add_subcommand(
      "demo", "Drive a session through two proxies that run already.");
  Command->add_option("--proxy-a", Options->ProxyA, "Address of proxy A.")
      ->required();
  Command->add_option("--proxy-b", Options->ProxyB, "Address of proxy B.")
      ->required();
  Command->callback([Options, &Code] { Code = Demo(*Options).run(); });
}

} // namespace bergamotstage::cli
