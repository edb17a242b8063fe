#ifndef BERGAMOTSTAGE_CONFIGCHECK_JSONFIELDS_H
#define BERGAMOTSTAGE_CONFIGCHECK_JSONFIELDS_H

#include "bergamotstage/configcheck/FindingList.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace bergamotstage::configcheck {

/// @brief Reads the fields of one JSON value.
///
/// Faults are added to a list, and the field then has a default value. Without
/// a list the first fault is thrown as a Fault.
class JsonFields {
public:
  /// Internal exception; parsers convert it to an error.
  struct Fault {
    std::string Reason;
  };

  using Json = nlohmann::json;

  /// @param Faults list of faults; may be null
  /// @param List name of the list that the value is an entry of; null for the
  ///   document itself
  explicit JsonFields(const Json &Value, FindingList *Faults = nullptr,
                      const char *List = nullptr, std::size_t Index = 0)
      : m_Value(Value), m_Faults(Faults), m_List(List), m_Index(Index) {}

  bool contains(const char *Name) const { return find(Name) != nullptr; }
  /// @return the field, or null if it is missing
  const Json *find(const char *Name) const;
  /// @return the field, or null if it is missing, which is a fault
  const Json *require(const char *Name) const;

  std::string text(const char *Name) const;
  double number(const char *Name) const;
  double numberOr(const char *Name, double Default) const;
  /// @brief Reads a number that is used as an integer of 32 bits.
  unsigned countOr(const char *Name, unsigned Default) const;
  unsigned count(const char *Name) const;
  bool boolOr(const char *Name, bool Default) const;
  std::uint64_t wholeNumber(const char *Name) const;

  /// @param Value what was found; only added where the first fault is thrown,
  ///   because the output of a check contains no text that could be a key
  void fault(std::string_view Name, std::string_view Reason,
             std::string_view Value = {}) const;
  /// @brief Reports what VMs accept, but may be unintended.
  void warn(std::string_view Name, std::string_view Reason) const;
  /// @brief Reports an error that VMs do not find.
  void report(std::string_view Name, std::string_view Reason) const;

  const Json &json() const { return m_Value; }
  FindingList *faults() const { return m_Faults; }

private:
  std::string path(std::string_view Name) const;
  void add(Severity Level, std::string_view Name,
           std::string_view Reason) const;

  const Json &m_Value;
  FindingList *m_Faults;
  const char *m_List;
  std::size_t m_Index;
};

} // namespace bergamotstage::configcheck

#endif // BERGAMOTSTAGE_CONFIGCHECK_JSONFIELDS_H
