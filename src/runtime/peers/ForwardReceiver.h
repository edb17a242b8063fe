#ifndef BERGAMOTSTAGE_RUNTIME_PEERS_FORWARDRECEIVER_H
#define BERGAMOTSTAGE_RUNTIME_PEERS_FORWARDRECEIVER_H

#include "runtime/Commands.h"
#include "runtime/peers/ForwardTransport.h"

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

namespace bergamotstage::runtime {

/// @brief Runs statements that other VMs forward to this home VM.
///
/// Represents callers of other VMs by local ids, and sends answers and rows on
/// the stream of the statement. Thread-safe.
class ForwardReceiver {
public:
  struct Hooks {
    std::function<bool(std::uint64_t Stream, ForwardFrame)> Reply;
    EventSink Events; ///< Callable from any thread.
  };

  explicit ForwardReceiver(Hooks Callbacks) : m_Hooks(std::move(Callbacks)) {}

  /// @brief Handles a frame from an origin.
  void onFrame(const ForwardOrigin &From, ForwardFrame &&Frame);

  /// @brief Handles the end of an origin's stream by closing its callers.
  void onOriginLost(const ForwardOrigin &From);

  /// @brief Executes a command of the node for a forwarded caller.
  void push(CallerCommand &&Command);

  /// @brief Sends rows; drops them if the stream has ended.
  /// @return false if the stream's queue is full
  bool pushRows(RowChunk &&Chunk);

private:
  /// @brief Stream number and the caller's id at the origin.
  using OriginCaller = std::pair<std::uint64_t, std::uint64_t>;

  struct Caller {
    OriginCaller Source;
    std::uint64_t FrameId = 0; ///< Id of the running statement; 0: none.
    StatementId Statement;
    bool InTransaction = false;
    std::string Token;    ///< Sent with the next answer.
    std::string LastRows; ///< Sent with the next answer.
    SharedRowsDelivered OnDelivered;
  };

  void runStatement(const ForwardOrigin &From, ForwardFrame &&Frame);
  void rejectLostTransaction(const ForwardOrigin &From, std::uint64_t FrameId);
  void closeCaller(const OriginCaller &Source);
  void releaseCredit(const ForwardOrigin &From, const ForwardFrame &Frame);
  void answer(const AnswerStatement &Answer);
  CallerId assignCallerId(const OriginCaller &Source);
  void removeCaller(CallerId Id);
  bool isOpen(std::uint64_t Stream);

  Hooks m_Hooks;
  std::mutex m_Lock;
  std::uint64_t m_LastId = 0;
  std::set<std::uint64_t> m_OpenStreams; ///< Streams that sent a statement.
  std::unordered_map<CallerId, Caller> m_Callers;
  std::map<OriginCaller, CallerId> m_CallerIds;
  /// @brief Callers of running statements by stream and frame id.
  std::map<std::pair<std::uint64_t, std::uint64_t>, CallerId> m_CallersByFrame;
};

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_PEERS_FORWARDRECEIVER_H
