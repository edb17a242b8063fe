#ifndef BERGAMOTSTAGE_TARGET_CONFIRMATION_H
#define BERGAMOTSTAGE_TARGET_CONFIRMATION_H

#include "bergamotstage/core/HistoryPoint.h"
#include "bergamotstage/core/Ids.h"
#include "bergamotstage/node/NodeContext.h"
#include "bergamotstage/target/GroupState.h"
#include "bergamotstage/target/LinkPool.h"

#include <functional>
#include <map>
#include <vector>

namespace bergamotstage {

/// @brief What became of a commit that waited for its confirmation.
enum class Confirmed : std::uint8_t {
  Durable,    ///< A further target holds it: every later promotion keeps it.
  Superseded, ///< A target has seen a later term: it may be lost.
  TimedOut    ///< No target confirmed in time.
};

/// @brief Confirms commits on a target other than the primary.
///
/// One CONFIRM statement at a time runs on each replica and covers all commits
/// that wait when it is sent. A replica that has seen a later term refuses.
class Confirmation {
public:
  using Callback = std::function<void(Confirmed)>;

  Confirmation(NodeContext &Context, LinkPool &Links)
      : m_Context(Context), m_Links(Links) {}

  /// @brief Waits until a replica of the group holds a commit.
  void wait(const GroupState &Group, const HistoryPoint &Commit, Callback Done);

private:
  struct Pending {
    HistoryPoint Commit;
    Callback Done;
    TimerId Timer;
  };
  struct Replica {
    DatabaseId Database;
    bool Busy = false;
  };

  void ask(const DatabaseId &Database, const TargetId &Target);
  void answered(const DatabaseId &Database, const TargetId &Target,
                const HistoryPoint &Asked, const LinkPool::Answer &Answer);
  void settle(const DatabaseId &Database, std::uint64_t Number,
              Confirmed Result);

  NodeContext &m_Context;
  LinkPool &m_Links;
  std::map<DatabaseId, std::map<std::uint64_t, Pending>> m_Pending;
  std::map<TargetId, Replica> m_Replicas;
  std::uint64_t m_LastNumber = 0;
};

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_TARGET_CONFIRMATION_H
