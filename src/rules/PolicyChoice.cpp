#include "bergamotstage/rules/PolicyChoice.h"

namespace bergamotstage {

PolicyChoice choosePolicy(const RuleBook &Rules, const std::string &Kind,
                          const std::string &Default, std::uint64_t) {
  auto Found = Rules.Policies.find(Kind);
  if (Found == Rules.Policies.end())
    return {ArmId("default"), Default, {}, {}};
  const PolicyRule &Rule = Found->second;
  return {ArmId("default"), Rule.Choice, Rule.Parameters, Rule.Source};
}

} // namespace bergamotstage
