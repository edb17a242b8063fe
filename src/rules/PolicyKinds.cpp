#include "bergamotstage/rules/PolicyKinds.h"

#include "bergamotstage/core/Parse.h"

#include <algorithm>

namespace bergamotstage {
namespace {

PolicyParameter durationParameter(const std::string &Name) {
  return {Name, "a duration such as 20ms",
          [](const std::string &Value) { return bool(parseDuration(Value)); }};
}

std::string joinNames(const std::vector<std::string> &Names) {
  std::string Text;
  for (const std::string &Name : Names)
    Text += (Text.empty() ? "" : ", ") + Name;
  return Text;
}

} // namespace

const std::vector<PolicyKind> &policyKinds() {
  static const std::vector<PolicyKind> Kinds = {
      {"reads",
       {"nearest-covered", "earliest-finish", "random-replica", "primary-only",
        "least-wait"},
       {durationParameter("wait"), durationParameter("primary-cost")},
       true},
      {"acknowledge", {"confirmed", "immediate"}, {}, false},
      {"queue", {"fair", "fifo", "urgency"}, {}, false},
      {"rate", {"loans", "split", "priority"}, {}, false},
      {"pace", {"fixed", "adaptive"}, {}, false},
      {"failover", {"vote", "fixed"}, {durationParameter("timeout")}, false},
      {"home", {"rendezvous", "none"}, {}, false},
  };
  return Kinds;
}

const PolicyKind *findPolicyKind(const std::string &Name) {
  const std::vector<PolicyKind> &Kinds = policyKinds();
  auto Found =
      std::find_if(Kinds.begin(), Kinds.end(), [&Name](const PolicyKind &Kind) {
        return Kind.Name == Name;
      });
  return Found == Kinds.end() ? nullptr : &*Found;
}

std::string policyError(const std::string &KindName, const std::string &Choice,
                        const std::map<std::string, std::string> &Parameters) {
  const PolicyKind *Kind = findPolicyKind(KindName);
  if (Kind == nullptr)
    return "unknown kind of policy '" + KindName + "'";
  const std::vector<std::string> &Choices = Kind->Choices;
  if (std::find(Choices.begin(), Choices.end(), Choice) == Choices.end())
    return "policy '" + KindName + "' has no choice '" + Choice +
           "', but: " + joinNames(Choices);
  for (const auto &[Name, Value] : Parameters) {
    auto Parameter =
        std::find_if(Kind->Parameters.begin(), Kind->Parameters.end(),
                     [&Name = Name](const PolicyParameter &Entry) {
                       return Entry.Name == Name;
                     });
    if (Parameter == Kind->Parameters.end())
      return std::string("policy '")
          .append(KindName)
          .append("' has no parameter '")
          .append(Name)
          .append("'");
    if (!Parameter->IsValid(Value))
      return "parameter '" + Name + "' must be " + Parameter->Description;
  }
  return {};
}

} // namespace bergamotstage
