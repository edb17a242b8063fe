#ifndef BERGAMOTSTAGE_SESSION_PRIMARYVERIFIER_H
#define BERGAMOTSTAGE_SESSION_PRIMARYVERIFIER_H

#include "bergamotstage/core/HistoryPoint.h"
#include "bergamotstage/core/Ids.h"
#include "bergamotstage/node/NodeContext.h"
#include "bergamotstage/session/PositionHistory.h"
#include "bergamotstage/target/GroupState.h"
#include "bergamotstage/target/LinkResult.h"
#include "bergamotstage/target/MonitorLinkPool.h"

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace bergamotstage {

/// @brief Verifies that a primary was still the primary of its group at or
/// after a given time.
///
/// Asks all targets to confirm that they have seen no later term. A promotion
/// reaches a majority of the targets before it takes effect. If a majority that
/// includes the primary confirms, no promotion had taken effect when the query
/// was sent, and the primary has every write acknowledged until then. Each
/// successful round adds a sample of the primary's position, and its answers
/// report the positions of the replicas.
class PrimaryVerifier {
public:
  /// @brief Result of a verification round.
  struct Result {
    bool Verified = false;
    TargetId Primary; ///< Set if verified.
  };
  using Callback = std::function<void(const Result &)>;

  PrimaryVerifier(NodeContext &Context, MonitorLinkPool &Links,
                  PositionHistory &Positions)
      : m_Context(Context), m_Links(Links), m_Positions(Positions) {}

  /// @brief Verifies the primary in a round that starts now or later.
  ///
  /// One round at a time runs for each database; all requests made during it
  /// share the next round.
  void verify(const GroupState &Group, Callback OnVerified);

  /// @brief Whether a round is in flight for a database.
  bool isRunning(const DatabaseId &Database) const {
    auto Found = m_Rounds.find(Database);
    return Found != m_Rounds.end() && Found->second.Number != 0;
  }

  /// @brief Number of rounds started.
  std::uint64_t roundCount() const { return m_LastRound; }

private:
  struct Round {
    std::uint64_t Number = 0; ///< 0: no round in flight.
    Instant StartedAt{};
    Term CheckedTerm;
    TargetId Primary;
    std::size_t Targets = 0;
    std::size_t Confirmations = 0;
    std::size_t Failures = 0;
    bool PrimaryConfirmed = false;
    HistoryPoint PrimaryPoint;
    TimerId Timer;
    std::vector<Callback> Waiting;     ///< Callbacks of this round.
    std::vector<Callback> NextWaiting; ///< Callbacks of the next round.
    GroupState NextGroup;
  };

  void startRound(const GroupState &Group);
  void sendConfirm(const DatabaseId &Database, const TargetId &Target);
  void onAnswer(const DatabaseId &Database, const TargetId &Target,
                std::uint64_t Number, const LinkResult &Result);
  void recordConfirmation(Round &Current, const TargetId &Target,
                          const LinkAnswered &Answer);
  void evaluateRound(const DatabaseId &Database);
  void finishRound(const DatabaseId &Database, bool Verified);

  NodeContext &m_Context;
  MonitorLinkPool &m_Links;
  PositionHistory &m_Positions;
  std::map<DatabaseId, Round> m_Rounds;
  std::uint64_t m_LastRound = 0;
};

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_SESSION_PRIMARYVERIFIER_H
