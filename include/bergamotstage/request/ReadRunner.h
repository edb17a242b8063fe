#ifndef BERGAMOTSTAGE_REQUEST_READRUNNER_H
#define BERGAMOTSTAGE_REQUEST_READRUNNER_H

#include "bergamotstage/node/NodeContext.h"
#include "bergamotstage/request/CallerTable.h"
#include "bergamotstage/session/PositionHistory.h"
#include "bergamotstage/session/PrimaryVerifier.h"
#include "bergamotstage/session/ReadPolicy.h"
#include "bergamotstage/session/ResponseTimes.h"

#include "bergamotstage/target/TargetManager.h"
#include <string>

namespace bergamotstage {

/// @brief Runs reads outside of transactions on replicas or the primary.
///
/// A read that failed before any of its rows was passed on is retried on
/// another target until its deadline.
class ReadRunner {
public:
  ReadRunner(NodeContext &Context, TargetManager &Targets, CallerTable &Callers,
             PrimaryVerifier &Verifier, const PositionHistory &Positions)
      : m_Context(Context), m_Targets(Targets), m_Callers(Callers),
        m_Verifier(Verifier), m_Positions(Positions) {}

  void start(const CallerStatementId &Id) { route(Id); }

private:
  ReadRequest makeRequest(const CallerState &Caller,
                          const GroupState &Group) const;
  void route(const CallerStatementId &Id);
  /// @brief Whether reads with a maximum age need a new sample of the primary's
  /// position to show that replicas are fresh enough.
  bool isSampleDue(const GroupState &Group, Duration MaxAge) const;
  void verifyPrimary(const CallerStatementId &Id, const GroupState &Group);
  void samplePosition(const CallerStatementId &Id, const GroupState &Group);
  bool waitForReplica(const CallerStatementId &Id, Execution &Run,
                      const GroupState &Group, Duration Wait);
  void acquireLink(const CallerStatementId &Id, const ReadChoice &Choice);
  void runOnLink(const CallerStatementId &Id, const TargetId &Target,
                 LinkId Link);
  void onAnswer(const CallerStatementId &Id, const TargetId &Target,
                LinkId Link, Instant SentAt, const LinkPool::Answer &Answer);
  void onSucceeded(const CallerStatementId &Id, CallerState &Caller,
                   const TargetId &Target, const LinkAnswered &Answer);
  void onStaleAnswer(const CallerStatementId &Id, CallerState &Caller,
                     const TargetId &Target, const LinkAnswered &Answer);
  void retry(const CallerStatementId &Id, const TargetId &Target,
             Refusal LastError);

  NodeContext &m_Context;
  TargetManager &m_Targets;
  CallerTable &m_Callers;
  PrimaryVerifier &m_Verifier;
  const PositionHistory &m_Positions;
  ResponseTimes m_Times;
};

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_REQUEST_READRUNNER_H
