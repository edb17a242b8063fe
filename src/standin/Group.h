#ifndef BERGAMOTSTAGE_STANDIN_GROUP_H
#define BERGAMOTSTAGE_STANDIN_GROUP_H

#include "bergamotstage/core/PlatformApi.h"
#include "standin/ReplicatedTarget.h"

#include <map>
#include <string>
#include <vector>

namespace bergamotstage::standin {

/// @brief One stand-in database group with asynchronous replication.
///
/// Has no clock: each call passes the current time. Not thread-safe.
class Group {
public:
  /// @brief One target and the faults that are injected into it.
  struct Member {
    TargetId Id;
    ReplicatedTarget State;
    Duration Lag{};      ///< Replication delay of log entries.
    bool Cut = false;    ///< Isolated from replication and platform.
    bool Frozen = false; ///< Cut, and no replies to connections.
    bool Leaving = false;

    bool isIsolated() const { return Cut || Frozen; }
  };

  /// @param Names targets; the first one is the primary of term 1
  Group(DatabaseId Database, const std::vector<TargetId> &Names, Instant Now);

  /// @brief Replicates log entries whose replication delay has passed.
  void tick(Instant Now);

  /// @brief Makes a target the primary; a repeated order id has no effect.
  PromotionDecided promote(const Promote &Order, Instant Now);

  Member *find(const TargetId &Id);
  std::vector<Member> &members() { return m_Members; }
  const DatabaseId &database() const { return m_Database; }

  /// @brief Returns the group as the platform lists it; isolated members have
  /// their last known position.
  ListedGroup listedGroup();

private:
  DatabaseId m_Database;
  std::vector<Member> m_Members;
  std::map<TargetId, HistoryPoint> m_LastKnown;
  TargetId m_Primary;
  Term m_Term{1};
  std::string m_LastOrder;
};

} // namespace bergamotstage::standin

#endif // BERGAMOTSTAGE_STANDIN_GROUP_H
