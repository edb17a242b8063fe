#ifndef BERGAMOTSTAGE_POOLING_STATEMENT_H
#define BERGAMOTSTAGE_POOLING_STATEMENT_H

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <tuple>

namespace bergamotstage::pooling {

/// @brief Kind of a statement.
enum class Verb : std::uint8_t {
  Begin,
  BeginReadOnly,
  Commit,
  Rollback,
  Read,
  Write,
  SetValue,
  Prepare,
  Execute,
  Deallocate,
  Unknown ///< Not part of the protocol.
};

/// @brief Returns the name of a verb for logs.
const char *verbName(Verb Kind);

/// @brief Text of a prepared statement without its name. Sessions that prepare
/// the same text under different names share it on a link.
struct PreparedQuery {
  bool Writes = false;
  std::string Text;

  friend bool operator<(const PreparedQuery &Left, const PreparedQuery &Right) {
    return std::tie(Left.Writes, Left.Text) <
           std::tie(Right.Writes, Right.Text);
  }
  friend bool operator==(const PreparedQuery &Left,
                         const PreparedQuery &Right) {
    return Left.Writes == Right.Writes && Left.Text == Right.Text;
  }
};

/// @brief One statement of a caller, classified by the codec that parsed it.
struct Statement {
  std::string RequestId; ///< Chosen by the caller; forwarded unchanged.
  Verb Kind = Verb::Unknown;
  std::string Text;       ///< As received from the caller.
  std::string Name;       ///< Name of a session value or prepared statement.
  std::string Value;      ///< New session value, for SetValue.
  PreparedQuery Prepared; ///< For Prepare; for Execute after look-up.
  std::string Arguments;  ///< For Execute: all text after the name.

  /// @brief Whether it changes data.
  bool writes() const {
    return Kind == Verb::Write || (Kind == Verb::Execute && Prepared.Writes);
  }
};

/// @brief Session values by name.
using SessionValues = std::map<std::string, std::string>;
/// @brief Immutable session values, shared because they rarely change.
using SharedValues = std::shared_ptr<const SessionValues>;

/// @brief Transaction state of a session.
enum class SessionState : std::uint8_t { Idle, InTransaction, Failed };

} // namespace bergamotstage::pooling

#endif // BERGAMOTSTAGE_POOLING_STATEMENT_H
