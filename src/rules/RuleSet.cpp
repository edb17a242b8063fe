#include "bergamotstage/rules/RuleSet.h"

#include "bergamotstage/core/Parse.h"
#include "bergamotstage/rules/PolicyChoice.h"
#include "bergamotstage/rules/PolicyKinds.h"
#include "bergamotstage/rules/RuleValue.h"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <set>
#include <utility>

namespace bergamotstage {
namespace {

using AddResult = tl::expected<void, RuleError>;

tl::unexpected<RuleError> makeError(const RuleLine &Rule, std::string Reason) {
  return tl::make_unexpected(RuleError{Rule.Line, std::move(Reason)});
}

RuleRef sourceOf(const RuleLine &Rule) { return {Rule.Line, Rule.Author}; }

std::string option(const RuleLine &Rule, const std::string &Name) {
  auto Found = Rule.Options.find(Name);
  return Found == Rule.Options.end() ? std::string() : Found->second;
}

template <class Map, class Value>
AddResult addUnique(Map &Into, const RuleLine &Rule, Value Entry) {
  auto [Found, Added] = Into.emplace(Entry.Id, Entry);
  if (!Added)
    return makeError(Rule, "'" + Rule.Arguments[0] + "' repeats line " +
                               std::to_string(Found->second.Source.Line));
  return {};
}

AddResult addDataCentre(const RuleLine &Rule, RuleSet &Rules) {
  DataCentreRule Entry{DataCentreId(Rule.Arguments[0]), option(Rule, "region"),
                       sourceOf(Rule)};
  return addUnique(Rules.DataCentres, Rule, Entry);
}

AddResult addDatabase(const RuleLine &Rule, RuleSet &Rules) {
  DatabaseRule Entry{DatabaseId(Rule.Arguments[0]), sourceOf(Rule)};
  return addUnique(Rules.Databases, Rule, Entry);
}

AddResult addTarget(const RuleLine &Rule, RuleSet &Rules) {
  TargetRule Entry;
  Entry.Id = TargetId(Rule.Arguments[0]);
  Entry.Database = DatabaseId(option(Rule, "database"));
  Entry.DataCentre = DataCentreId(option(Rule, "data-centre"));
  Entry.Address = option(Rule, "address");
  if (!isAddress(Entry.Address))
    return makeError(Rule, "address '" + Entry.Address +
                               "' is not an IP address with a port");
  for (const auto &[Id, Other] : Rules.Targets)
    if (Other.Database == Entry.Database && Other.Address == Entry.Address &&
        Id != Entry.Id)
      return makeError(
          Rule, "another target of the database has this address, in line " +
                    std::to_string(Other.Source.Line));
  auto Slots = parseCount(option(Rule, "slots"));
  auto Connections = parseCount(option(Rule, "connections"));
  if (!Slots || *Slots == 0 || *Slots > 10000)
    return makeError(Rule, "slots must be a whole number from 1 to 10000");
  if (!Connections || *Connections == 0 || *Connections > 100000)
    return makeError(Rule,
                     "connections must be a whole number from 1 to 100000");
  Entry.Slots = static_cast<unsigned>(*Slots);
  Entry.Connections = static_cast<unsigned>(*Connections);
  Entry.Source = sourceOf(Rule);
  return addUnique(Rules.Targets, Rule, Entry);
}

AddResult addAccount(const RuleLine &Rule, RuleSet &Rules) {
  auto Rate = parseNumber(option(Rule, "rate"));
  auto Burst = parseNumber(option(Rule, "burst"));
  std::string WeightText = option(Rule, "weight");
  auto Weight = parseNumber(WeightText.empty() ? "1" : WeightText);
  if (!Rate || *Rate <= 0)
    return makeError(Rule,
                     "rate must be a number above 0, in statements a second");
  if (!Burst || *Burst < 1)
    return makeError(Rule,
                     "burst must be a number of at least 1, in statements");
  if (!Weight || *Weight <= 0)
    return makeError(Rule, "weight must be a number above 0");
  AccountRule Entry{AccountId(Rule.Arguments[0]), *Rate, *Burst, *Weight,
                    sourceOf(Rule)};
  return addUnique(Rules.Accounts, Rule, Entry);
}

AddResult addKey(const RuleLine &Rule, RuleSet &Rules) {
  KeyRule Entry{AccountId(Rule.Arguments[0]), Rule.Arguments[1],
                option(Rule, "salt"), option(Rule, "digest"), sourceOf(Rule)};
  constexpr std::size_t DigestDigits = 64;
  if (!fromHex(Entry.Salt) || Entry.Salt.empty())
    return makeError(Rule, "salt must be hexadecimal");
  if (!fromHex(Entry.Digest) || Entry.Digest.size() != DigestDigits)
    return makeError(Rule, "digest must be 64 hexadecimal digits");
  for (const KeyRule &Other : Rules.Keys)
    if (Other.Account == Entry.Account && Other.KeyId == Entry.KeyId)
      return makeError(Rule, "key '" + Entry.KeyId + "' repeats line " +
                                 std::to_string(Other.Source.Line));
  Rules.Keys.push_back(Entry);
  return {};
}

AddResult addRoute(const RuleLine &Rule, RuleSet &Rules) {
  RouteRule Entry;
  Entry.Id = RouteId(Rule.Arguments[0]);
  Entry.Database = DatabaseId(option(Rule, "database"));
  std::string Access = option(Rule, "access");
  if (Access != "open" && Access != "keyed")
    return makeError(Rule, "access '" + Access + "' must be open or keyed");
  Entry.Open = Access == "open";
  std::string Age = option(Rule, "max-age");
  if (!Age.empty()) {
    Entry.MaxAge = parseDuration(Age);
    if (!Entry.MaxAge)
      return makeError(Rule,
                       "max-age '" + Age + "' must be a duration such as 5s");
  }
  Entry.Source = sourceOf(Rule);
  return addUnique(Rules.Routes, Rule, Entry);
}

AddResult addPolicy(const RuleLine &Rule, RuleSet &Rules) {
  std::string Error =
      policyError(Rule.Arguments[0], Rule.Arguments[1], Rule.Options);
  if (!Error.empty())
    return makeError(Rule, Error);
  PolicyRule Entry{Rule.Arguments[0], Rule.Arguments[1], Rule.Options,
                   sourceOf(Rule)};
  auto [Found, Added] = Rules.Policies.emplace(Entry.Kind, Entry);
  if (!Added)
    return makeError(Rule, "policy '" + Entry.Kind +
                               "' is already set in line " +
                               std::to_string(Found->second.Source.Line));
  return {};
}

AddResult addShare(const RuleLine &Rule, RuleSet &Rules) {
  ShareRule Entry{Rule.Arguments[0], 0, Rule.Arguments[2], Rule.Options,
                  sourceOf(Rule)};
  std::string Error = policyError(Entry.Kind, Entry.Choice, Entry.Parameters);
  if (!Error.empty())
    return makeError(Rule, Error);
  if (!findPolicyKind(Entry.Kind)->PerSession)
    return makeError(Rule, "policy '" + Entry.Kind +
                               "' applies to all sessions and takes no share");
  auto Percent = parsePercent(Rule.Arguments[1]);
  if (!Percent)
    return makeError(Rule, "share '" + Rule.Arguments[1] +
                               "' is not a percentage such as 10%");
  Entry.Percent = *Percent;
  Rules.Shares[Entry.Kind].push_back(Entry);
  return {};
}

AddResult addIdempotent(const RuleLine &Rule, RuleSet &Rules) {
  IdempotentRule Entry{RouteId(option(Rule, "route")), option(Rule, "pattern"),
                       sourceOf(Rule)};
  if (Entry.Pattern.find_first_not_of("* ") == std::string::npos)
    return makeError(Rule,
                     "pattern must name a statement, such as \"UPDATE *\"");
  for (const IdempotentRule &Other : Rules.Idempotent)
    if (Other.Route == Entry.Route && Other.Pattern == Entry.Pattern)
      return makeError(Rule, "pattern repeats line " +
                                 std::to_string(Other.Source.Line));
  Rules.Idempotent.push_back(Entry);
  return {};
}

/// @brief Syntax of one kind of rule and the function that stores it.
struct RuleKind {
  std::string Name;
  std::size_t ArgumentCount;
  std::set<std::string> Required; ///< Mandatory options.
  std::set<std::string> Optional; ///< Other accepted options.
  std::function<AddResult(const RuleLine &, RuleSet &)> Add;
  bool AcceptsAnyOption = false; ///< Add() checks the options itself.
};

const std::vector<RuleKind> &ruleKinds() {
  static const std::vector<RuleKind> Kinds = {
      {"data-centre", 1, {}, {"region"}, addDataCentre},
      {"database", 1, {}, {}, addDatabase},
      {"target",
       1,
       {"database", "data-centre", "address", "slots", "connections"},
       {},
       addTarget},
      {"account", 1, {"rate", "burst"}, {"weight"}, addAccount},
      {"key", 2, {"salt", "digest"}, {}, addKey},
      {"route", 1, {"database", "access"}, {"max-age"}, addRoute},
      {"policy", 2, {}, {}, addPolicy, true},
      {"share", 3, {}, {}, addShare, true},
      {"idempotent", 0, {"route", "pattern"}, {}, addIdempotent},
  };
  return Kinds;
}

AddResult checkSyntax(const RuleLine &Rule, const RuleKind &Kind) {
  if (Rule.Arguments.size() != Kind.ArgumentCount)
    return makeError(Rule, "'" + Rule.Kind + "' takes " +
                               std::to_string(Kind.ArgumentCount) +
                               " argument(s) before its options");
  for (const std::string &Argument : Rule.Arguments)
    if (!isName(Argument) && !parsePercent(Argument))
      return makeError(Rule, "'" + Argument + "' is not a name");
  for (const std::string &Name : Kind.Required)
    if (Rule.Options.count(Name) == 0)
      return makeError(Rule, "option '" + Name + "' is missing");
  for (const auto &[Name, Value] : Rule.Options) {
    bool Accepted = Kind.AcceptsAnyOption || Kind.Required.count(Name) > 0 ||
                    Kind.Optional.count(Name) > 0;
    if (!Accepted)
      return makeError(Rule, "unknown option '" + Name + "'");
  }
  return {};
}

AddResult addRule(const RuleLine &Rule, RuleSet &Rules) {
  const std::vector<RuleKind> &Kinds = ruleKinds();
  auto Kind = std::find_if(Kinds.begin(), Kinds.end(), [&](const auto &Entry) {
    return Entry.Name == Rule.Kind;
  });
  if (Kind == Kinds.end())
    return makeError(Rule, "unknown kind of rule '" + Rule.Kind + "'");
  AddResult SyntaxResult = checkSyntax(Rule, *Kind);
  return SyntaxResult ? Kind->Add(Rule, Rules) : SyntaxResult;
}

/// @brief Checks that the shares of each kind differ and sum up to at most
/// 100 %.
void checkShares(const RuleSet &Rules, std::vector<RuleError> &Errors) {
  constexpr double MaxPercent = 100;
  for (const auto &[Kind, Shares] : Rules.Shares) {
    std::map<ArmId, unsigned> Arms;
    auto Base = Rules.Policies.find(Kind);
    if (Base != Rules.Policies.end())
      Arms[armLabel(Base->second.Choice, Base->second.Parameters)] =
          Base->second.Source.Line;
    double Sum = 0;
    for (const ShareRule &Share : Shares) {
      Sum += Share.Percent;
      if (Sum > MaxPercent)
        Errors.push_back(
            {Share.Source.Line, "shares of '" + Kind + "' exceed 100%"});
      auto [Found, Added] = Arms.emplace(
          armLabel(Share.Choice, Share.Parameters), Share.Source.Line);
      if (!Added)
        Errors.push_back(
            {Share.Source.Line,
             "repeats the choice of line " + std::to_string(Found->second)});
    }
  }
}

void checkReferences(const RuleSet &Rules, std::vector<RuleError> &Errors) {
  for (const auto &[Id, Target] : Rules.Targets) {
    if (Rules.Databases.count(Target.Database) == 0)
      Errors.push_back({Target.Source.Line,
                        "unknown database '" + Target.Database.value() + "'"});
    if (Rules.DataCentres.count(Target.DataCentre) == 0)
      Errors.push_back(
          {Target.Source.Line,
           "unknown data centre '" + Target.DataCentre.value() + "'"});
  }
  for (const auto &[Id, Route] : Rules.Routes)
    if (Rules.Databases.count(Route.Database) == 0)
      Errors.push_back({Route.Source.Line,
                        "unknown database '" + Route.Database.value() + "'"});
  for (const IdempotentRule &Rule : Rules.Idempotent)
    if (Rules.Routes.count(Rule.Route) == 0)
      Errors.push_back(
          {Rule.Source.Line, "unknown route '" + Rule.Route.value() + "'"});
  for (const KeyRule &Key : Rules.Keys)
    if (Rules.Accounts.count(Key.Account) == 0)
      Errors.push_back({Key.Source.Line, "unknown client account '" +
                                             Key.Account.value() + "'"});
}

bool isBlankOrComment(std::string_view Line) {
  std::size_t First = Line.find_first_not_of(" \t\r");
  return First == std::string_view::npos || Line[First] == '#';
}

} // namespace

tl::expected<RuleSet, std::vector<RuleError>>
parseRules(Revision Number, std::string_view Text) {
  RuleSet Rules;
  Rules.Number = Number;
  std::vector<RuleError> Errors;
  unsigned LineNumber = 0;
  while (!Text.empty()) {
    ++LineNumber;
    std::size_t End = Text.find('\n');
    std::string_view Line = Text.substr(0, End);
    Text = End == std::string_view::npos ? "" : Text.substr(End + 1);
    if (isBlankOrComment(Line))
      continue;
    auto Rule = parseRuleLine(LineNumber, Line);
    if (!Rule) {
      Errors.push_back(Rule.error());
      continue;
    }
    AddResult Result = addRule(*Rule, Rules);
    if (!Result)
      Errors.push_back(Result.error());
  }
  checkReferences(Rules, Errors);
  checkShares(Rules, Errors);
  if (!Errors.empty())
    return tl::make_unexpected(std::move(Errors));
  return Rules;
}

} // namespace bergamotstage
