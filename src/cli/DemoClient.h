#ifndef BERGAMOTSTAGE_CLI_DEMOCLIENT_H
#define BERGAMOTSTAGE_CLI_DEMOCLIENT_H

#include <tl/expected.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bergamotstage::cli {

/// @brief Rows of an answer, or the error in its place.
struct ClientAnswer {
  std::vector<std::vector<std::string>> Rows;
  std::string SqlState; ///< Empty on success.
  std::string Message;
  std::string Hint;
  std::string Detail;
};

/// @brief How a client signs on.
struct ClientLogin {
  std::string Address; ///< `IP:PORT` of a proxy.
  std::string Account;
  std::string Key;
  std::string Route;
  std::map<std::string, std::string> Settings;
};

/// @brief A caller that uses libpq, as an application does.
class DemoClient {
public:
  /// @return a connected client, or the error of the connection
  static tl::expected<DemoClient, std::string>
  connect(const ClientLogin &Login);

  /// @brief Runs one statement and waits for its answer.
  ClientAnswer run(const std::string &Text);

  /// @brief Notices that came with the last answer, joined by spaces.
  std::string notices() const { return *m_Notices; }

  /// @brief The session's token as the proxy last reported it.
  std::string token() const;

private:
  struct Deleter {
    void operator()(void *Connection) const;
  };
  std::unique_ptr<std::string> m_Notices; ///< Outlives the connection.
  std::unique_ptr<void, Deleter> m_Connection;
};

} // namespace bergamotstage::cli

#endif // BERGAMOTSTAGE_CLI_DEMOCLIENT_H
