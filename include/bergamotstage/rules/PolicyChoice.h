#ifndef BERGAMOTSTAGE_RULES_POLICYCHOICE_H
#define BERGAMOTSTAGE_RULES_POLICYCHOICE_H

#include "bergamotstage/rules/RuleBook.h"

#include <cstdint>
#include <map>
#include <string>

namespace bergamotstage {

/// @brief The policy that one session follows for one kind of decision.
struct PolicyChoice {
  ArmId Arm; ///< Labels the metrics; "default" where no share applies.
  std::string Choice;
  std::map<std::string, std::string> Parameters;
  RuleRef Source;
};

/// @brief Policy of a kind for a session.
/// @param Kind such as `reads`, `queue`, `acknowledge`
/// @param Default choice where no rule names the kind
/// @param SessionHash stable over a session's life and over VMs, so that a
/// share of sessions keeps its arm
PolicyChoice choosePolicy(const RuleBook &Rules, const std::string &Kind,
                          const std::string &Default,
                          std::uint64_t SessionHash);

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_RULES_POLICYCHOICE_H
