#ifndef BERGAMOTSTAGE_EXPLAIN_LOGLINE_H
#define BERGAMOTSTAGE_EXPLAIN_LOGLINE_H

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bergamotstage::explain {

/// @brief One parsed line of a proxy's log.
struct LogLine {
  /// Wall-clock time of the VM that wrote the line.
  std::chrono::system_clock::time_point Time;
  std::string Source; ///< Name of the VM, or of the file if the line has none.
  std::string Event;
  /// Keys and values in their order, without time and event.
  std::vector<std::pair<std::string, std::string>> Fields;

  /// @brief Value of a key; empty if the line does not have it.
  std::string value(const std::string &Name) const;
};

/// @brief Parses one line of `key=value` pairs.
/// @param Text may have words before `time=`, such as the VM's name that a log
/// collector prepends; the last of them becomes the source
/// @param Source source of a line that starts with `time=`
/// @return empty for a line without a valid time or an event
/// Complexity: linear in the text.
std::optional<LogLine> parseLogLine(std::string_view Text,
                                    const std::string &Source);

/// @brief Time of day (UTC) as `HH:MM:SS.mmm`.
std::string timeText(std::chrono::system_clock::time_point Time);

} // namespace bergamotstage::explain

#endif // BERGAMOTSTAGE_EXPLAIN_LOGLINE_H
