#ifndef BERGAMOTSTAGE_STANDIN_TARGETSESSION_H
#define BERGAMOTSTAGE_STANDIN_TARGETSESSION_H

#include "bergamotstage/wire/Backend.h"
#include "bergamotstage/wire/Frontend.h"
#include "standin/TargetServer.h"

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace bergamotstage::standin {

/// @brief One connection to a stand-in target.
class TargetSession : public std::enable_shared_from_this<TargetSession> {
public:
  TargetSession(asio::ip::tcp::socket Socket,
                std::shared_ptr<SharedGroup> Shared, TargetId Target,
                std::uint64_t Number);
  ~TargetSession();
  TargetSession(const TargetSession &) = delete;
  TargetSession &operator=(const TargetSession &) = delete;

  void start();

private:
  struct Portal {
    std::string Text;
    std::vector<std::optional<std::string>> Values;
    bool Described = false;
  };

  void read();
  void process();
  bool isFrozen();
  void retryAfterFreeze(std::function<void()> Then);
  void resume(const Sql &Statement, bool Describe, bool Simple,
              const std::optional<SqlResult> &Result);
  void handle(const wire::FrontendMessage &Message);
  void sendStartupReply();
  void runText(const std::string &Text,
               const std::vector<std::optional<std::string>> &Values,
               bool Describe, bool Simple);
  void tryExecute(const Sql &Statement, bool Describe, bool Simple);
  void finish(const SqlResult &Result, bool Describe, bool Simple);
  void writeResult(const SqlResult &Result, bool Describe, bool Simple);
  void describeStatement(const std::string &Name);
  void reportPosition();
  void sendReady();
  void flush();
  wire::BackendWriter writer() { return wire::BackendWriter(m_Out); }

  asio::ip::tcp::socket m_Socket;
  asio::steady_timer m_Timer;
  std::shared_ptr<SharedGroup> m_Shared;
  TargetId m_Target;
  SqlSession m_Session;
  wire::FrontendReader m_Reader;
  std::array<char, 16384> m_Input{};
  std::string m_Out;
  std::string m_Writing;
  std::map<std::string, std::string> m_Prepared;
  std::map<std::string, Portal> m_Portals;
  bool m_Blocked = false; ///< A statement waits, and so do later messages.
  bool m_SkipToSync =
      false; ///< After an error, messages up to Sync are ignored.
  bool m_Closed = false;
};

} // namespace bergamotstage::standin

#endif // BERGAMOTSTAGE_STANDIN_TARGETSESSION_H
