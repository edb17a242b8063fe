#ifndef BERGAMOTSTAGE_EXPLAIN_REQUESTTIMELINE_H
#define BERGAMOTSTAGE_EXPLAIN_REQUESTTIMELINE_H

#include "bergamotstage/explain/LogLine.h"

#include <chrono>
#include <string>
#include <vector>

namespace bergamotstage::explain {

/// @brief Time before the first and after the last line of a request within
/// which other lines are related to it.
struct TimelineWindow {
  std::chrono::milliseconds Before{10000};
  std::chrono::milliseconds After{1000};
};

/// @brief Log lines of all VMs that concern one request.
struct RequestTimeline {
  std::vector<LogLine> RequestLines; ///< Lines that name the request, by time.
  std::vector<LogLine> RelatedLines; ///< By time; see buildTimeline().
};

/// @brief Collects the lines of several VMs that concern a request.
///
/// Related lines are those about the request's group, target or owner, and
/// events of the caller's VM and the owner: start, configuration, store, shares
/// of the rates, dropped lines. The window should exceed the clock skew between
/// the VMs.
/// @param Lines log lines of all VMs, in any order
/// Complexity: n log n in the lines.
RequestTimeline buildTimeline(const std::vector<LogLine> &Lines,
                              const std::string &RequestId,
                              const TimelineWindow &Window);

/// @brief Renders a timeline as text, with an explanation if no line names the
/// request.
std::string timelineText(const RequestTimeline &Timeline,
                         const std::string &RequestId);

} // namespace bergamotstage::explain

#endif // BERGAMOTSTAGE_EXPLAIN_REQUESTTIMELINE_H
