#ifndef BERGAMOTSTAGE_RUNTIME_PEERS_FORWARDSENDER_H
#define BERGAMOTSTAGE_RUNTIME_PEERS_FORWARDSENDER_H

#include "runtime/Commands.h"
#include "runtime/peers/FrameQueue.h"

#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <unordered_map>

namespace bergamotstage::runtime {

/// @brief Retries a push until the queue accepts it. Only for gRPC threads:
/// blocking them applies backpressure to the stream.
void pushBlocking(const std::function<bool()> &Push);

/// @brief Forwards statements of local callers to home VMs.
///
/// Rows are passed to the caller thread, results to the decision thread.
/// Thread-safe.
class ForwardSender {
public:
  struct Hooks {
    /// @brief Sends a frame to a home VM; false if its queue is full.
    std::function<bool(const std::string &Address, ForwardFrame)> Send;
    EventSink Events; ///< Callable from any thread.
    ChunkSink Rows;   ///< Callable from any thread.
  };

  explicit ForwardSender(Hooks Callbacks) : m_Hooks(std::move(Callbacks)) {}

  /// @brief Executes a command of the node.
  /// @return false if the command must be retried
  bool push(ForwardCommand &&Command);

  /// @brief Handles rows or an answer from a home VM.
  void onFrame(ForwardFrame &&Frame);

  /// @brief Handles the loss of the stream of a statement.
  void onLost(std::uint64_t Id, bool NeverSent);

private:
  struct Outstanding {
    CallerId Caller;
    StatementId Statement;
    std::string Address;
    std::uint64_t Chunks = 0;
    std::size_t PendingCredit = 0; ///< Credit not yet returned.
    SharedRowsDelivered OnDelivered;
  };

  /// @brief An open transaction of a caller at a home VM.
  struct Transaction {
    std::string Address;
    std::uint64_t HomeId = 0;
  };

  bool send(const ForwardStatement &Command);
  void close(const CloseForward &Command);
  void returnCredit(std::uint64_t Id, std::size_t Bytes);
  void deliverRows(std::uint64_t Id, std::string Bytes, bool Last);
  void deliverAnswer(std::uint64_t Id,
                     const wire::peer::ForwardAnswer &Message);

  Hooks m_Hooks;
  std::mutex m_Lock;
  std::uint64_t m_LastId = 0;
  std::unordered_map<std::uint64_t, Outstanding> m_Outstanding;
  std::unordered_map<CallerId, Transaction> m_Transactions;
};

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_PEERS_FORWARDSENDER_H
