#ifndef BERGAMOTSTAGE_TARGET_PRIMARYCHECK_H
#define BERGAMOTSTAGE_TARGET_PRIMARYCHECK_H

#include "bergamotstage/node/NodeContext.h"
#include "bergamotstage/target/GroupState.h"
#include "bergamotstage/target/MonitorLinks.h"

#include <functional>
#include <map>
#include <vector>

namespace bergamotstage {

/// @brief Tells whether the term of a group's primary is still the current one.
///
/// Asks all targets whether they have seen a later term. When a majority has
/// not, no later term had a majority of fenced targets at the moment of the
/// call, hence no later primary existed then. Calls that arrive while a round
/// runs share the next one.
class PrimaryCheck {
public:
  /// @brief Whether the primary was verified within the timeout.
  using Callback = std::function<void(bool Verified)>;

  PrimaryCheck(NodeContext &Context, MonitorLinks &Links)
      : m_Context(Context), m_Links(Links) {}

  /// @brief Verifies the term that this VM knows of the group.
  void verify(const GroupState &Group, Callback Done);

private:
  struct Round {
    std::uint64_t Number = 0; ///< 0 while none runs.
    std::size_t Needed = 0;
    std::size_t Open = 0;
    std::vector<Callback> Running;
    std::vector<Callback> Next;
    GroupState Group; ///< As known when the next round was asked for.
  };

  void start(const DatabaseId &Database);
  void answered(const DatabaseId &Database, std::uint64_t Number,
                bool Confirmed);
  void finish(const DatabaseId &Database, bool Verified);

  NodeContext &m_Context;
  MonitorLinks &m_Links;
  std::map<DatabaseId, Round> m_Rounds;
  std::uint64_t m_LastRound = 0;
};

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_TARGET_PRIMARYCHECK_H
