#ifndef BERGAMOTSTAGE_WIRE_BACKEND_H
#define BERGAMOTSTAGE_WIRE_BACKEND_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bergamotstage::wire {

/// @brief One column of a result.
struct Column {
  std::string Name;
  std::uint32_t TypeId = 25; ///< PostgreSQL type OID; 25 is text.
  std::int16_t TypeSize = -1;
  std::int32_t TypeModifier = -1;
  std::int16_t Format = 0; ///< 0 text, 1 binary.
};

/// @brief Fields of an ErrorResponse or NoticeResponse.
struct ErrorFields {
  std::string Severity = "ERROR";
  std::string SqlState;
  std::string Message;
  std::string Detail;
  std::string Hint;
};

/// @brief Transaction status in a ReadyForQuery message.
enum class TransactionStatus : char {
  Idle = 'I',
  Open = 'T',
  FailedTransaction = 'E'
};

/// @brief Appends backend messages of the PostgreSQL protocol to a buffer.
///
/// Every function appends exactly one complete message and never fails.
/// Complexity: linear in the number of bytes appended.
class BackendWriter {
public:
  explicit BackendWriter(std::string &Out) : m_Out(Out) {}

  void authenticationOk();
  void authenticationCleartextPassword();
  void parameterStatus(std::string_view Name, std::string_view Value);
  void backendKeyData(std::uint32_t ProcessId, std::uint32_t Secret);
  void readyForQuery(TransactionStatus Status);
  void rowDescription(const std::vector<Column> &Columns);
  void dataRow(const std::vector<std::optional<std::string_view>> &Cells);
  void commandComplete(std::string_view Tag);
  void emptyQueryResponse();
  void parseComplete();
  void bindComplete();
  void closeComplete();
  void noData();
  void parameterDescription(const std::vector<std::uint32_t> &Types);
  void portalSuspended();
  void error(const ErrorFields &Fields);
  void notice(const ErrorFields &Fields);

private:
  std::string &m_Out;
};

} // namespace bergamotstage::wire

#endif // BERGAMOTSTAGE_WIRE_BACKEND_H
