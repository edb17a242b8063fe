#ifndef BERGAMOTSTAGE_WIRE_FRONTEND_H
#define BERGAMOTSTAGE_WIRE_FRONTEND_H

#include <tl/expected.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bergamotstage::wire {

/// @brief Largest start-up packet accepted, in bytes.
constexpr std::size_t MaxStartupBytes = 10000;
/// @brief Largest message accepted from a caller, in bytes.
constexpr std::size_t MaxMessageBytes = std::size_t{1} << 20U;
/// @brief Largest number of parameters of one statement.
constexpr std::size_t MaxParameters = 1000;

/// @brief Start-up packet of protocol version 3.
struct Startup {
  std::map<std::string, std::string> Parameters;
};
/// @brief Request to continue under TLS.
struct SslRequest {};
/// @brief Request to continue under GSSAPI encryption.
struct GssRequest {};
/// @brief Request to cancel the statement of another connection.
struct CancelRequest {
  std::uint32_t ProcessId = 0;
  std::uint32_t Secret = 0;
};
/// @brief Answer to a password request.
struct Password {
  std::string Text;
};
/// @brief Simple query.
struct Query {
  std::string Text;
};
/// @brief Extended query: prepares a statement.
struct Parse {
  std::string Name;
  std::string Text;
  std::vector<std::uint32_t> ParameterTypes;
};
/// @brief Extended query: binds values to a prepared statement.
struct Bind {
  std::string Portal;
  std::string Statement;
  std::vector<std::int16_t> ParameterFormats;
  std::vector<std::optional<std::string>> Values;
  std::vector<std::int16_t> ResultFormats;
};
/// @brief Extended query: requests the description of a statement or portal.
struct Describe {
  char Kind = 'S'; ///< 'S' statement, 'P' portal.
  std::string Name;
};
/// @brief Extended query: runs a portal.
struct Execute {
  std::string Portal;
  std::uint32_t MaxRows = 0;
};
/// @brief Extended query: closes a statement or portal.
struct Close {
  char Kind = 'S';
  std::string Name;
};
/// @brief Extended query: ends a batch.
struct Sync {};
/// @brief Extended query: requests the answers that are still buffered.
struct Flush {};
/// @brief Ends the connection.
struct Terminate {};
/// @brief A message of a type that the proxy does not support.
struct Unsupported {
  char Type = 0;
};

/// @brief A message from a caller.
using FrontendMessage =
    std::variant<Startup, SslRequest, GssRequest, CancelRequest, Password,
                 Query, Parse, Bind, Describe, Execute, Close, Sync, Flush,
                 Terminate, Unsupported>;

/// @brief Violation of the protocol by a caller.
struct WireError {
  std::string Reason;
};

/// @brief Incremental parser of the messages from one caller.
///
/// If next() is called until it returns no message after each feed(), at most
/// one incomplete message stays buffered.
class FrontendReader {
public:
  /// @brief Appends received bytes. Complexity: linear in their number.
  void feed(std::string_view Bytes);

  /// @brief Extracts the next complete message.
  /// @return the message, empty if more bytes are needed, or an error, after
  /// which the rest of the stream cannot be parsed
  tl::expected<std::optional<FrontendMessage>, WireError> next();

  /// @brief Number of bytes that are not consumed yet.
  std::size_t bufferedBytes() const { return m_Buffer.size() - m_Consumed; }

private:
  tl::expected<std::optional<FrontendMessage>, WireError> nextStartup();

  std::string m_Buffer;
  std::size_t m_Consumed = 0;
  bool m_Started = false;
};

} // namespace bergamotstage::wire

#endif // BERGAMOTSTAGE_WIRE_FRONTEND_H
