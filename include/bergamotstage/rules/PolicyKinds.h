#ifndef BERGAMOTSTAGE_RULES_POLICYKINDS_H
#define BERGAMOTSTAGE_RULES_POLICYKINDS_H

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace bergamotstage {

/// @brief A parameter of a policy kind.
struct PolicyParameter {
  std::string Name;
  std::string Description; ///< Expected value, for error messages.
  std::function<bool(const std::string &)> IsValid;
};

/// @brief A kind of decision that rules can configure.
///
/// A new kind, choice or parameter needs only an entry in policyKinds().
struct PolicyKind {
  std::string Name;
  std::vector<std::string> Choices; ///< The first is the default.
  std::vector<PolicyParameter> Parameters;
  bool PerSession = false; ///< Whether `share` rules are allowed.
};

const std::vector<PolicyKind> &policyKinds();

/// @brief The policy kind with the given name, or null.
const PolicyKind *findPolicyKind(const std::string &Name);

/// @brief Checks a choice and its parameters.
/// @return the reason why they are invalid; empty if they are valid
std::string policyError(const std::string &KindName, const std::string &Choice,
                        const std::map<std::string, std::string> &Parameters);

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_RULES_POLICYKINDS_H
