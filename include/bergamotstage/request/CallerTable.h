#ifndef BERGAMOTSTAGE_REQUEST_CALLERTABLE_H
#define BERGAMOTSTAGE_REQUEST_CALLERTABLE_H

#include "bergamotstage/node/NodeContext.h"
#include "bergamotstage/request/CallerState.h"
#include "bergamotstage/target/LinkPool.h"

#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

namespace bergamotstage {

/// @brief Stores the callers of this VM and completes their statements.
///
/// Asynchronous code keeps the CallerStatementId of a statement and looks up
/// its state with findRunning() each time, because the state is removed once
/// the statement has been answered or cancelled or has timed out.
class CallerTable {
public:
  /// @brief Called when a statement ends, before its caller may be removed.
  using FinishedHook =
      std::function<void(const CallerState &Caller, const Execution &Run,
                         const AnswerStatement &Answer)>;

  CallerTable(NodeContext &Context, LinkPool &Links)
      : m_Context(Context), m_Links(Links) {}

  void setFinishedHook(FinishedHook Hook) { m_OnFinished = std::move(Hook); }

  std::size_t size() const { return m_Callers.size(); }

  /// @brief The caller with the given id, or null.
  CallerState *find(CallerId Id);
  /// @brief The caller with the given id; an unknown caller is added.
  CallerState &findOrCreate(CallerId Id) { return m_Callers[Id]; }
  /// @brief The caller of a statement that is still running, or null.
  CallerState *findRunning(const CallerStatementId &Id);
  /// @brief Callers that satisfy a predicate. Complexity: linear.
  std::vector<CallerId>
  select(const std::function<bool(const CallerState &)> &Predicate) const;

  /// @brief Answers and ends a statement; one that has ended is ignored.
  void finish(const CallerStatementId &Id, AnswerStatement Answer);
  /// @brief Answers a statement with an error and ends it.
  void refuse(const CallerStatementId &Id, Refusal Reason,
              std::uint64_t Chunks = 0);

  /// @brief Updates the transaction and the token after the link of a running
  /// statement was lost.
  /// @return a refusal with the resulting state of the statement
  Refusal recordLinkLoss(CallerState &Caller, const std::string &Cause);

  /// @brief Closes the link of a running statement, so that its answer is
  /// discarded, and records the loss as recordLinkLoss() does.
  Refusal abortStatement(CallerState &Caller, const std::string &Cause);

  /// @brief Sends the caller its token.
  void reportToken(const CallerState &Caller, const SessionToken &Token);
  /// @brief Sends the caller a token that is valid even if the write that is
  /// about to run is never answered.
  void reportUncertainToken(CallerState &Caller);

  /// @brief Removes a caller and closes its links.
  void remove(CallerState &Caller);

private:
  NodeContext &m_Context;
  LinkPool &m_Links;
  FinishedHook m_OnFinished;
  std::unordered_map<CallerId, CallerState> m_Callers;
};

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_REQUEST_CALLERTABLE_H
