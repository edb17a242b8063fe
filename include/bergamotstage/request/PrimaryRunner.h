#ifndef BERGAMOTSTAGE_REQUEST_PRIMARYRUNNER_H
#define BERGAMOTSTAGE_REQUEST_PRIMARYRUNNER_H

#include "bergamotstage/node/NodeContext.h"
#include "bergamotstage/request/CallerTable.h"
#include "bergamotstage/request/ClaimRunner.h"
#include "bergamotstage/session/PositionHistory.h"
#include "bergamotstage/session/PrimaryVerifier.h"

#include "bergamotstage/target/TargetManager.h"
#include <optional>
#include <string>

namespace bergamotstage {

/// @brief Runs writes and all statements of explicit transactions.
///
/// A statement that may have taken effect is not retried, unless the caller or
/// a rule declares it idempotent. Commits are acknowledged after confirmation.
class PrimaryRunner {
public:
  PrimaryRunner(NodeContext &Context, TargetManager &Targets,
                CallerTable &Callers, PrimaryVerifier &Verifier,
                PositionHistory &Positions)
      : m_Context(Context), m_Targets(Targets), m_Callers(Callers),
        m_Verifier(Verifier), m_Positions(Positions),
        m_Claims(Context, Targets.links(), Callers) {}

  /// @brief Runs a statement outside of a transaction.
  void start(const CallerStatementId &Id);
  /// @brief Runs a statement on the link of the caller's transaction.
  void startInTransaction(const CallerStatementId &Id);

private:
  void verifyPrimary(const CallerStatementId &Id, const GroupState &Group);
  void retryLater(const CallerStatementId &Id, const std::string &Reason);
  void acquireLink(const CallerStatementId &Id, const TargetId &Primary);
  void onLinkAcquired(const CallerStatementId &Id, LinkId Link);
  void runOnLink(const CallerStatementId &Id, LinkId Link);
  void onAnswer(const CallerStatementId &Id, LinkId Link, Instant SentAt,
                const LinkPool::Answer &Answer);
  void onLinkLost(const CallerStatementId &Id, CallerState &Caller,
                  const LinkLost &Failure);
  bool isRetryable(const CallerState &Caller) const;
  void updateTransaction(CallerState &Caller, LinkId Link,
                         const LinkAnswered &Answer);
  void onStatementFailed(const CallerStatementId &Id,
                         const LinkAnswered &Answer);
  bool readsOwnWrites(const CallerState &Caller,
                      const LinkAnswered &Answer) const;
  void onStatementSucceeded(const CallerStatementId &Id, Instant SentAt,
                            const LinkAnswered &Answer);
  void onClaimResult(const CallerStatementId &Id, Instant SentAt,
                     const ClaimResult &Result);
  void confirmCommit(const CallerStatementId &Id, Instant SentAt,
                     const LinkAnswered &Answer,
                     const std::optional<Refusal> &ReplayError = std::nullopt);
  void acknowledge(const CallerStatementId &Id, const LinkAnswered &Answer,
                   const std::optional<Refusal> &ReplayError);
  void onCommitUnconfirmed(const CallerStatementId &Id,
                           const LinkAnswered &Answer,
                           ConfirmationResult Result);

  NodeContext &m_Context;
  TargetManager &m_Targets;
  CallerTable &m_Callers;
  PrimaryVerifier &m_Verifier;
  PositionHistory &m_Positions;
  ClaimRunner m_Claims;
};

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_REQUEST_PRIMARYRUNNER_H
