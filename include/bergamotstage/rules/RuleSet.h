#ifndef BERGAMOTSTAGE_RULES_RULESET_H
#define BERGAMOTSTAGE_RULES_RULESET_H

#include "bergamotstage/core/Ids.h"
#include "bergamotstage/core/Outcome.h"
#include "bergamotstage/core/Time.h"
#include "bergamotstage/rules/RuleLine.h"

#include <tl/expected.hpp>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bergamotstage {

/// @brief `data-centre NAME region=REGION`
struct DataCentreRule {
  DataCentreId Id;
  std::string Region;
  RuleRef Source;
};

/// @brief `database NAME`
struct DatabaseRule {
  DatabaseId Id;
  RuleRef Source;
};

/// @brief `target NAME database=D data-centre=C address=IP:PORT slots=N
/// connections=N`
struct TargetRule {
  TargetId Id;
  DatabaseId Database;
  DataCentreId DataCentre;
  std::string Address;
  unsigned Slots = 1;       ///< Concurrent statements of all VMs.
  unsigned Connections = 1; ///< Open connections of all VMs.
  RuleRef Source;
};

/// @brief `account NAME rate=STATEMENTS-PER-SECOND burst=STATEMENTS weight=W`
struct AccountRule {
  AccountId Id;
  double Rate = 0;
  double Burst = 0;
  double Weight = 1;
  RuleRef Source;
};

/// @brief `key ACCOUNT KEY-ID salt=HEX digest=HEX`
struct KeyRule {
  AccountId Account;
  std::string KeyId;
  std::string Salt;
  std::string Digest; ///< SHA-256 of salt and key, as hexadecimal.
  RuleRef Source;
};

/// @brief `route NAME database=D access=keyed|open max-age=DURATION`
struct RouteRule {
  RouteId Id;
  DatabaseId Database;
  bool Open = false;
  std::optional<Duration> MaxAge; ///< Applies if the caller sets none.
  RuleRef Source;
};

/// @brief `policy KIND CHOICE name=value...`
struct PolicyRule {
  std::string Kind;
  std::string Choice;
  std::map<std::string, std::string> Parameters;
  RuleRef Source;
};

/// @brief `share KIND PERCENT% CHOICE name=value...`: a fixed part of the
/// sessions uses another choice than the policy's.
struct ShareRule {
  std::string Kind;
  double Percent = 0;
  std::string Choice;
  std::map<std::string, std::string> Parameters;
  RuleRef Source;
};

/// @brief `idempotent route=R pattern="UPDATE plots *"`: statements that may
/// be retried when their outcome is unknown.
struct IdempotentRule {
  RouteId Route;
  std::string Pattern; ///< `*` matches any text.
  RuleRef Source;
};

/// @brief All rules of one revision; their references are valid.
struct RuleSet {
  Revision Number;
  std::map<DataCentreId, DataCentreRule> DataCentres;
  std::map<DatabaseId, DatabaseRule> Databases;
  std::map<TargetId, TargetRule> Targets;
  std::map<AccountId, AccountRule> Accounts;
  std::vector<KeyRule> Keys;
  std::map<RouteId, RouteRule> Routes;
  std::map<std::string, PolicyRule> Policies;           ///< By kind.
  std::map<std::string, std::vector<ShareRule>> Shares; ///< By kind.
  std::vector<IdempotentRule> Idempotent;
};

/// @brief Parses and checks a rules text.
/// @param Number revision that the text has or would get
/// @param Text lines; blank lines and lines with only a comment are skipped
/// @return the rules, or all errors found
/// Complexity: linear in the text, logarithmic in the number of names.
tl::expected<RuleSet, std::vector<RuleError>> parseRules(Revision Number,
                                                         std::string_view Text);

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_RULES_RULESET_H
