#ifndef BERGAMOTSTAGE_PACING_PACEREASON_H
#define BERGAMOTSTAGE_PACING_PACEREASON_H

#include <cstdint>

namespace bergamotstage::pacing {

/// @brief Why the pace of a target last changed.
enum class PaceReason : std::uint8_t {
  Started,     ///< This VM knows nothing of the target yet.
  Learned,     ///< The previous owner of its links reported it.
  Promoted,    ///< It became the primary, which has other work.
  Grown,       ///< It answered in its usual time.
  Busy,        ///< It refused a statement for want of capacity.
  Slow,        ///< Slot times rose above the usual ones of their kinds.
  Failed,      ///< It failed a large part of its statements.
  Unreachable, ///< It stopped answering.
};

const char *paceReasonName(PaceReason Reason);

} // namespace bergamotstage::pacing

#endif // BERGAMOTSTAGE_PACING_PACEREASON_H
