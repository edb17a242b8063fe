#ifndef BERGAMOTSTAGE_TARGET_PRIMARYWAITQUEUE_H
#define BERGAMOTSTAGE_TARGET_PRIMARYWAITQUEUE_H

#include "bergamotstage/core/Outcome.h"
#include "bergamotstage/node/NodeContext.h"

#include <tl/expected.hpp>

#include <functional>
#include <map>

namespace bergamotstage {

/// @brief Queue of statements that wait for a primary during a failover.
///
/// The queue is bounded in length and time. Statements that cannot wait are
/// refused as "not run", with a time after which a retry may succeed.
class PrimaryWaitQueue {
public:
  using Callback = std::function<void(tl::expected<void, Refusal>)>;

  /// @brief Most statements that wait, for each database.
  static constexpr std::size_t MaxWaiting = 1024;
  /// @brief Longest time that a statement waits.
  static constexpr Duration MaxWait = seconds(4);

  explicit PrimaryWaitQueue(NodeContext &Context) : m_Context(Context) {}

  /// @brief Waits until the queue is released or refused or the wait times out.
  void enqueue(const DatabaseId &Database, Instant Deadline, Callback OnResult);

  /// @brief Resumes all waiting statements in the order of their arrival.
  void releaseAll(const DatabaseId &Database);

  /// @brief Refuses all waiting statements.
  void refuseAll(const DatabaseId &Database, const std::string &Reason);

  std::size_t waitingCount(const DatabaseId &Database) const;

  /// @brief Refusal of a statement for which there is no primary.
  static Refusal noPrimaryRefusal(const std::string &Reason);

private:
  struct Entry {
    Callback OnResult;
    TimerId Timer;
  };
  using Entries = std::map<std::uint64_t, Entry>;

  Entries removeAll(const DatabaseId &Database);
  void onTimeout(const DatabaseId &Database, std::uint64_t Number);

  NodeContext &m_Context;
  std::map<DatabaseId, Entries> m_Waiting;
  std::uint64_t m_LastNumber = 0;
};

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_TARGET_PRIMARYWAITQUEUE_H
