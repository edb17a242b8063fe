#ifndef BERGAMOTSTAGE_CLI_DEMOCLIENT_H
#define BERGAMOTSTAGE_CLI_DEMOCLIENT_H

#include <tl/expected.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bergamotstage::cli {

/// @brief Rows of a result, or the error fields that replace them.
struct ClientAnswer {
  std::vector<std::vector<std::string>> Rows;
  std::string SqlState; ///< Empty on success.
  std::string Message;
  std::string Hint;
  std::string Detail;
};

/// @brief Connection parameters of a client.
struct ClientLogin {
  std::string Address; ///< `IP:PORT` of a proxy.
  std::string Account;
  std::string Key;
  std::string Route;
  std::map<std::string, std::string> Settings;
};

/// @brief A caller that connects through libpq.
class DemoClient {
public:
  /// @return a connected client, or the error of the connection
  static tl::expected<DemoClient, std::string>
  connect(const ClientLogin &Login);

  /// @brief Runs one statement and waits for its result.
  ClientAnswer run(const std::string &Text);

  /// @brief Returns the notices of the last result, separated by spaces.
  std::string notices() const { return *m_Notices; }

  /// @brief Returns the session token that the proxy reported last.
  std::string token() const;

private:
  struct Deleter {
    void operator()(void *Connection) const;
  };
  /// libpq keeps the address of the string, which outlives the connection.
  std::unique_ptr<std::string> m_Notices;
  std::unique_ptr<void, Deleter> m_Connection;
};

} // namespace bergamotstage::cli

#endif // BERGAMOTSTAGE_CLI_DEMOCLIENT_H
