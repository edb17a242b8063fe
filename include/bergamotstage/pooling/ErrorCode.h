#ifndef BERGAMOTSTAGE_POOLING_ERRORCODE_H
#define BERGAMOTSTAGE_POOLING_ERRORCODE_H

#include <cstdint>

namespace bergamotstage::pooling {

/// @brief Errors reported by targets or returned to callers.
enum class ErrorCode : std::uint8_t {
  Busy,           ///< Not run: no free capacity.
  Aborted,        ///< Nothing of the attempt was committed.
  Behind,         ///< Not run: the target lacks the required position.
  ReadOnly,       ///< Not run: the target is not the primary.
  WrongTarget,    ///< Not run: connected to a different target.
  TooManyLinks,   ///< Connection refused: connection limit reached.
  NoSuchName,     ///< Not run: the prepared statement does not exist.
  Failed,         ///< Execution failed; only a rollback may follow.
  Timeout,        ///< Execution timed out; it may have taken effect.
  OutcomeUnknown, ///< It may or may not have been committed.
  NoKey,          ///< The caller's key is not valid.
  NoDatabase,     ///< No route has the requested database name.
  Malformed,      ///< The request is invalid in this state.
  Other           ///< A code unknown to this version.
};

/// @brief Returns the name of an error code for logs and metrics.
const char *errorName(ErrorCode Code);

/// @brief Whether an error means that the statement was not executed.
inline bool isNotRunError(ErrorCode Code) {
  return Code == ErrorCode::Busy || Code == ErrorCode::Behind ||
         Code == ErrorCode::ReadOnly || Code == ErrorCode::WrongTarget ||
         Code == ErrorCode::TooManyLinks || Code == ErrorCode::NoSuchName;
}

} // namespace bergamotstage::pooling

#endif // BERGAMOTSTAGE_POOLING_ERRORCODE_H
