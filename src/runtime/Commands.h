#ifndef BERGAMOTSTAGE_RUNTIME_COMMANDS_H
#define BERGAMOTSTAGE_RUNTIME_COMMANDS_H

#include "bergamotstage/node/Action.h"
#include "bergamotstage/node/Event.h"
#include "runtime/callers/RowCredit.h"

#include <functional>
#include <string>
#include <variant>

namespace bergamotstage::runtime {

/// @brief Encoded rows of an answer for a caller.
struct RowChunk {
  CallerId Caller;
  StatementId Statement;
  std::string Bytes;               ///< Complete PostgreSQL messages.
  SharedRowsDelivered OnDelivered; ///< Called after the bytes are written.
  bool Last = false;               ///< The statement ends after these rows.
};

/// @brief A command of the decision thread to the caller thread.
using CallerCommand = std::variant<RequestKey, AdmitCaller, CloseCaller,
                                   ReportParameter, AnswerStatement>;

/// @brief A command of the decision thread to the target thread.
using TargetCommand =
    std::variant<OpenLink, CloseLink, RunStatement, RunInternal>;

/// @brief A command of the decision thread to the ForwardSender.
using ForwardCommand = std::variant<ForwardStatement, CloseForward>;

/// @brief Queues an event for the decision thread; false if the queue is full.
using EventSink = std::function<bool(Event &&)>;

/// @brief Queues rows for the caller thread; false if the queue is full.
using ChunkSink = std::function<bool(RowChunk &&)>;

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_COMMANDS_H
