#include "bergamotstage/explain/RequestTimeline.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>

namespace bergamotstage::explain {
namespace {

using std::chrono::system_clock;

/// @brief Keys whose values are groups, targets or VMs.
constexpr const char *SubjectKeys[] = {"group", "target", "vm", "old",
                                       "holder"};

/// @brief Whether an event is about the state of the VM that logged it; such
/// lines are related only on VMs that took part in the request.
bool isVmStateEvent(const std::string &Event) {
  static const std::set<std::string> Events = {
      "process_started",  "process_stopped",      "shutdown_started",
      "shutdown_ended",   "settings_reloaded",    "settings_refused",
      "config_in_force",  "policies_in_force",    "policy_in_force",
      "policies_refused", "store_lost",           "store_regained",
      "follows_store",    "rate_slots_changed",   "log_lines_left_out",
      "config_malformed", "newer_config_at_peer", "log_lines_dropped",
      "config_outdated",  "config_not_received"};
  return Events.count(Event) > 0;
}

/// @brief Objects that a request's lines name, and their period.
struct Subjects {
  std::set<std::string> Names; ///< Groups, targets and owners.
  std::set<std::string> Vms;   ///< VMs that took part in the request.
  system_clock::time_point FirstTime = system_clock::time_point::max();
  system_clock::time_point LastTime = system_clock::time_point::min();
};

Subjects subjectsOf(const std::vector<LogLine> &RequestLines) {
  Subjects Result;
  for (const LogLine &Line : RequestLines) {
    for (const char *Key : {"group", "target", "owner"})
      Result.Names.insert(Line.value(Key));
    Result.Vms.insert(Line.Source);
    Result.Vms.insert(Line.value("owner"));
    Result.FirstTime = std::min(Result.FirstTime, Line.Time);
    Result.LastTime = std::max(Result.LastTime, Line.Time);
  }
  Result.Names.erase("");
  Result.Vms.erase("");
  return Result;
}

bool isRelated(const LogLine &Line, const Subjects &Subject) {
  if (!Line.value("request").empty())
    return false;
  if (isVmStateEvent(Line.Event))
    return Subject.Vms.count(Line.Source) > 0;
  return std::any_of(std::begin(SubjectKeys), std::end(SubjectKeys),
                     [&](const char *Key) {
                       return Subject.Names.count(Line.value(Key)) > 0;
                     });
}

void sortByTime(std::vector<LogLine> &Lines) {
  std::stable_sort(Lines.begin(), Lines.end(),
                   [](const LogLine &Left, const LogLine &Right) {
                     return Left.Time < Right.Time;
                   });
}

/// @brief Event and fields of a line without its source and time.
std::string contentText(const LogLine &Line) {
  std::string Text = Line.Event;
  for (const auto &[Key, Value] : Line.Fields)
    if (Key != "level" && Key != "request")
      Text.append(" ").append(Key).append("=").append(Value.empty() ? "\"\""
                                                                    : Value);
  return Text;
}

std::string lineText(const LogLine &Line) {
  return "  " + timeText(Line.Time) + " " + Line.Source + " " +
         contentText(Line);
}

/// @brief The lines as text. Equal lines of several VMs appear once, at the
/// first one's place, with the number of the others.
std::string deduplicatedText(const std::vector<LogLine> &Lines) {
  std::map<std::string, std::set<std::string>> Sources;
  for (const LogLine &Line : Lines)
    Sources[contentText(Line)].insert(Line.Source);
  std::set<std::string> Printed;
  std::string Text;
  for (const LogLine &Line : Lines) {
    std::string Content = contentText(Line);
    std::size_t Others = Sources[Content].size() - 1;
    if (Others > 0 && !Printed.insert(Content).second)
      continue;
    Text += lineText(Line);
    if (Others > 0)
      Text.append(" (and ").append(std::to_string(Others)).append(" more VMs)");
    Text += "\n";
  }
  return Text;
}

} // namespace

RequestTimeline buildTimeline(const std::vector<LogLine> &Lines,
                              const std::string &RequestId,
                              const TimelineWindow &Window) {
  RequestTimeline Timeline;
  for (const LogLine &Line : Lines)
    if (Line.value("request") == RequestId)
      Timeline.RequestLines.push_back(Line);
  if (Timeline.RequestLines.empty())
    return Timeline;
  Subjects Subject = subjectsOf(Timeline.RequestLines);
  for (const LogLine &Line : Lines) {
    bool InWindow = Line.Time >= Subject.FirstTime - Window.Before &&
                    Line.Time <= Subject.LastTime + Window.After;
    if (InWindow && isRelated(Line, Subject))
      Timeline.RelatedLines.push_back(Line);
  }
  sortByTime(Timeline.RequestLines);
  sortByTime(Timeline.RelatedLines);
  return Timeline;
}

std::string timelineText(const RequestTimeline &Timeline,
                         const std::string &RequestId) {
  if (Timeline.RequestLines.empty())
    return "no line names request " + RequestId +
           ": it completed in time (one in 256 of these is logged), its VM "
           "was killed, or the line was dropped\n";
  std::string Text = "request " + RequestId + "\n";
  for (const LogLine &Line : Timeline.RequestLines)
    Text.append(lineText(Line)).append("\n");
  Text += Timeline.RelatedLines.empty() ? "nothing related was logged\n"
                                        : "related log lines\n";
  return Text + deduplicatedText(Timeline.RelatedLines);
}

} // namespace bergamotstage::explain
