#ifndef BERGAMOTSTAGE_REQUEST_STATEMENTDUTY_H
#define BERGAMOTSTAGE_REQUEST_STATEMENTDUTY_H

#include "bergamotstage/account/AccountDuty.h"
#include "bergamotstage/node/NodeContext.h"
#include "bergamotstage/request/CallerState.h"
#include "bergamotstage/request/Statement.h"
#include "bergamotstage/target/TargetDuty.h"

#include <functional>
#include <optional>
#include <unordered_map>
#include <utility>

namespace bergamotstage {

/// @brief Callers' sessions and the life of each of their statements.
class StatementDuty {
public:
  StatementDuty(NodeContext &Context, AccountDuty &Accounts,
                TargetDuty &Targets);

  /// @brief Tells the VM that statements of a database go through; nothing
  /// where this VM runs them itself.
  using HomeHook = std::function<std::optional<VmId>(const DatabaseId &)>;
  void onHome(HomeHook Hook) { m_HomeOf = std::move(Hook); }

  void opened(const CallerOpened &Event);
  void arrived(const StatementArrived &Event);
  void closed(const CallerClosed &Event);

  /// @brief At the home: runs a statement that another VM forwarded.
  void forwardArrived(const ForwardArrived &Event);
  /// @brief At the origin: takes the home's answer.
  void forwardAnswered(const ForwardAnswered &Event);
  /// @brief At the origin: settles a statement that gets no answer.
  void forwardLost(const ForwardLost &Event);

  /// @brief Closes all callers whose key the rules no longer hold.
  void rulesChanged();

  /// @brief Callers connected at present.
  std::size_t callers() const { return m_Callers.size(); }
  /// @brief Whether any statement or transaction is under way.
  bool busy() const;
  /// @brief Closes every caller that is at a boundary between transactions.
  void closeIdle(const Refusal &Reason);

private:
  struct Running {
    CallerId Caller;
    StatementId Statement;
    StatementKind Kind = StatementKind::Empty;
    Instant Deadline{};
    SharedBody Body;
    bool Admitted = false; ///< It took a token of its client account.
  };

  CallerState *caller(CallerId Id);
  void takeSetting(CallerState &Caller, const std::string &Name,
                   const std::string &Value);
  void answerSetting(CallerState &Caller, const StatementArrived &Event);
  void route(const Running &Work, CallerState &Caller);
  void forward(const Running &Work, CallerState &Caller, const VmId &Home);
  CallerState &forwardedCaller(const ForwardArrived &Event);
  void runFree(const Running &Work, const CallerState &Caller);
  void runOn(const Running &Work, LinkId Link);
  void answered(const Running &Work, LinkId Link,
                const LinkPool::Answer &Answer);
  void settleTransaction(CallerState &Caller, LinkId Link,
                         const LinkAnswered &Answer);
  void confirm(const Running &Work, const LinkAnswered &Answer);
  void acknowledge(const Running &Work, const LinkAnswered &Answer);
  void lost(const Running &Work, const LinkLost &Lost);
  void finish(const Running &Work, AnswerStatement Answer);
  void refuse(const Running &Work, Refusal Reason, std::uint64_t Chunks = 0);
  void dropCaller(CallerState &Caller);

  NodeContext &m_Context;
  AccountDuty &m_Accounts;
  TargetDuty &m_Targets;
  HomeHook m_HomeOf;
  std::unordered_map<CallerId, CallerState> m_Callers;
  std::unordered_map<StatementId, Running> m_Forwarded;
};

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_REQUEST_STATEMENTDUTY_H
