#include "bergamotstage/configcheck/JsonFields.h"

#include "bergamotstage/configcheck/FieldNames.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace bergamotstage::configcheck {
namespace {

/// Length of a value in a message; rows of other writers can be 64 KiB long.
constexpr std::size_t MaxShownLength = 64;

} // namespace

std::string JsonFields::path(std::string_view Name) const {
  if (m_List == nullptr)
    return std::string(Name);
  return Name.empty() ? entryPath(m_List, m_Index)
                      : fieldPath(m_List, m_Index, std::string(Name));
}

void JsonFields::add(Severity Level, std::string_view Name,
                     std::string_view Reason) const {
  // A file can have several hundred thousand faults; their paths would take
  // most of the time.
  if (m_Faults->isFull(Level))
    m_Faults->countOnly(Level);
  else
    m_Faults->add({Level, path(Name), 0, std::string(Reason)});
}

void JsonFields::fault(std::string_view Name, std::string_view Reason,
                       std::string_view Value) const {
  if (m_Faults != nullptr)
    return add(Severity::Error, Name, Reason);
  std::string Message = path(Name) + " " + std::string(Reason);
  if (!Value.empty())
    Message += ": " + std::string(Value.substr(0, MaxShownLength));
  throw Fault{Message};
}

void JsonFields::warn(std::string_view Name, std::string_view Reason) const {
  if (m_Faults != nullptr)
    add(Severity::Warning, Name, Reason);
}

void JsonFields::report(std::string_view Name, std::string_view Reason) const {
  if (m_Faults != nullptr)
    add(Severity::Error, Name, Reason);
}

const JsonFields::Json *JsonFields::find(const char *Name) const {
  auto Found = m_Value.find(Name);
  return Found == m_Value.end() ? nullptr : &*Found;
}

const JsonFields::Json *JsonFields::require(const char *Name) const {
  const Json *Found = find(Name);
  if (Found == nullptr)
    fault(Name, "is missing");
  return Found;
}

std::string JsonFields::text(const char *Name) const {
  const Json *Value = require(Name);
  if (Value == nullptr)
    return {};
  if (Value->is_string() && !Value->get_ref<const std::string &>().empty())
    return Value->get<std::string>();
  fault(Name, "is not a non-empty string");
  return {};
}

double JsonFields::number(const char *Name) const {
  return require(Name) == nullptr ? 0 : numberOr(Name, 0);
}

double JsonFields::numberOr(const char *Name, double Default) const {
  const Json *Value = find(Name);
  if (Value == nullptr)
    return Default;
  bool Usable = Value->is_number() && std::isfinite(Value->get<double>()) &&
                Value->get<double>() >= 0;
  if (Usable)
    return Value->get<double>();
  fault(Name, "is not a non-negative number");
  return Default;
}

unsigned JsonFields::count(const char *Name) const {
  constexpr double Limit = std::numeric_limits<unsigned>::max();
  double Value = number(Name);
  if (Value > Limit)
    warn(Name, "is above 4294967295, which is used in its place");
  else if (Value != std::floor(Value))
    warn(Name, "is not an integer; its fraction is dropped");
  return static_cast<unsigned>(std::min(Value, Limit));
}

unsigned JsonFields::countOr(const char *Name, unsigned Default) const {
  return contains(Name) ? count(Name) : Default;
}

bool JsonFields::boolOr(const char *Name, bool Default) const {
  const Json *Value = find(Name);
  if (Value == nullptr || Value->is_boolean())
    return Value == nullptr ? Default : Value->get<bool>();
  fault(Name, "is not a boolean");
  return Default;
}

std::uint64_t JsonFields::wholeNumber(const char *Name) const {
  const Json *Value = require(Name);
  if (Value == nullptr || Value->is_number_unsigned())
    return Value == nullptr ? 0 : Value->get<std::uint64_t>();
  fault(Name, "is not a non-negative integer");
  return 0;
}

} // namespace bergamotstage::configcheck
