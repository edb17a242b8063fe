#include "bergamotstage/configcheck/JsonText.h"

#include "bergamotstage/configcheck/FieldNames.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstddef>
#include <unordered_set>
#include <utility>

namespace bergamotstage::configcheck {
namespace {

using Json = nlohmann::json;

/// Objects and lists that hold an entry of a list, and the entry itself.
constexpr std::size_t SearchedDepth = 3;

/// @brief Describes a fault of the syntax without quoting the text, which may
/// contain a key.
std::string describe(const std::string &Message) {
  if (Message.find("number overflow") != std::string::npos)
    return "a number is out of range";
  std::size_t From = Message.find("syntax error");
  if (From == std::string::npos)
    return "is not valid JSON";
  std::size_t Quoted = Message.find("; last read:", From);
  return Message.substr(From,
                        Quoted == std::string::npos ? Quoted : Quoted - From);
}

/// @brief Receives the tokens of a text and searches objects for fields that
/// are given twice.
class FieldScan : public nlohmann::json_sax<Json> {
public:
  FieldScan(const std::string &Text, const std::vector<std::string> &Known,
            FindingList &Findings)
      : m_Text(Text), m_Known(Known), m_Findings(Findings) {}

  bool null() override { return onValue(); }
  bool boolean(bool) override { return onValue(); }
  bool number_integer(number_integer_t) override { return onValue(); }
  bool number_unsigned(number_unsigned_t) override { return onValue(); }
  bool number_float(number_float_t, const string_t &) override {
    return onValue();
  }
  bool string(string_t &) override { return onValue(); }
  bool binary(binary_t &) override { return onValue(); }
  bool start_object(std::size_t) override { return open(true); }
  bool start_array(std::size_t) override { return open(false); }
  bool end_object() override { return close(); }
  bool end_array() override { return close(); }

  bool key(string_t &Name) override {
    if (m_Depth > SearchedDepth)
      return true;
    Level &Object = m_Levels.back();
    bool IsKnown =
        std::find(m_Known.begin(), m_Known.end(), Name) != m_Known.end();
    if (!Object.Seen.insert(Name).second)
      m_Findings.addError(path(),
                          IsKnown ? Name + " is given twice; the last is used"
                                  : "a field is given twice");
    Object.Field = IsKnown ? Name : "?";
    return true;
  }

  bool parse_error(std::size_t Position, const std::string &,
                   const Json::exception &Error) override {
    auto End = m_Text.begin() +
               static_cast<std::ptrdiff_t>(std::min(Position, m_Text.size()));
    auto Line = 1 + std::count(m_Text.begin(), End, '\n');
    m_Findings.add({Severity::Error, "", static_cast<std::size_t>(Line),
                    describe(Error.what())});
    return false;
  }

private:
  struct Level {
    bool IsObject = false;
    std::size_t Index = 0; ///< Of the next element of a list.
    std::string Field;     ///< The last one of an object.
    std::unordered_set<std::string> Seen;
  };

  bool onValue() {
    if (m_Depth <= SearchedDepth && !m_Levels.empty())
      ++m_Levels.back().Index;
    return true;
  }

  bool open(bool IsObject) {
    onValue();
    if (++m_Depth <= SearchedDepth)
      m_Levels.push_back({IsObject, 0, {}, {}});
    return true;
  }

  bool close() {
    if (m_Depth-- <= SearchedDepth)
      m_Levels.pop_back();
    return true;
  }

  /// @brief Path of the innermost object.
  std::string path() const {
    std::string Path;
    for (std::size_t I = 0; I + 1 < m_Levels.size(); ++I) {
      const Level &Outer = m_Levels[I];
      if (!Outer.IsObject)
        Path = entryPath(Path, Outer.Index - 1);
      else
        Path += (Path.empty() ? "" : ".") + Outer.Field;
    }
    return Path;
  }

  const std::string &m_Text;
  const std::vector<std::string> &m_Known;
  FindingList &m_Findings;
  std::size_t m_Depth = 0;
  std::vector<Level> m_Levels; ///< Of the SearchedDepth outermost.
};

} // namespace

bool scanJson(const std::string &Text, const std::vector<std::string> &Known,
              FindingList &Findings) {
  FieldScan Scan(Text, Known, Findings);
  return Json::sax_parse(Text, &Scan);
}

} // namespace bergamotstage::configcheck
