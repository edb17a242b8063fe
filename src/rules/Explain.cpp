#include "bergamotstage/rules/Explain.h"

#include "bergamotstage/request/Statement.h"
#include "bergamotstage/rules/PolicyChoice.h"
#include "bergamotstage/rules/PolicyKinds.h"

#include <sstream>

namespace bergamotstage {
namespace {

using Decisions = std::vector<ExplainedDecision>;

std::string numberText(double Value) {
  std::ostringstream Out;
  Out << Value;
  return Out.str();
}

void explainKeys(const RuleSet &Rules, const AccountId &Account,
                 Decisions &Out) {
  for (const KeyRule &Key : Rules.Keys)
    if (Key.Account == Account)
      Out.push_back({"key", "'" + Key.KeyId + "' is accepted", Key.Source});
}

void explainAccount(const RuleSet &Rules, const AccountId &Account,
                    Decisions &Out) {
  auto Found = Rules.Accounts.find(Account);
  if (Found == Rules.Accounts.end()) {
    Out.push_back({"client account", "refused: unknown", {}});
    return;
  }
  const AccountRule &Rule = Found->second;
  Out.push_back({"client account",
                 "rate " + numberText(Rule.Rate) + "/s, burst " +
                     numberText(Rule.Burst) + ", weight " +
                     numberText(Rule.Weight),
                 Rule.Source});
  explainKeys(Rules, Account, Out);
}

void explainRoute(const RouteRule &Route, Decisions &Out) {
  Out.push_back(
      {"access", Route.Open ? "open to all" : "by key", Route.Source});
  Out.push_back({"database", Route.Database.value(), Route.Source});
  if (Route.MaxAge)
    Out.push_back({"age accepted", numberText(toSeconds(*Route.MaxAge)) + " s",
                   Route.Source});
}

void explainTargets(const RuleSet &Rules, const DatabaseId &Database,
                    Decisions &Out) {
  for (const auto &[Id, Target] : Rules.Targets)
    if (Target.Database == Database)
      Out.push_back({"target",
                     Id.value() + " in " + Target.DataCentre.value() + ", " +
                         std::to_string(Target.Slots) + " slots",
                     Target.Source});
}

void explainStatement(const RuleSet &Rules, const ExplainRequest &Request,
                      Decisions &Out) {
  StatementKind Kind = classifyStatement(Request.Statement);
  Out.push_back({"statement", statementKindName(Kind), {}});
  if (Kind != StatementKind::Write)
    return;
  const IdempotentRule *Rule =
      findIdempotentRule(Rules, Request.Route, Request.Statement);
  Out.push_back({"repeat", Rule == nullptr ? "runs at most once" : "idempotent",
                 Rule == nullptr ? RuleRef() : Rule->Source});
}

void explainPolicies(const RuleSet &Rules, std::uint64_t SessionHash,
                     Decisions &Out) {
  for (const PolicyKind &Kind : policyKinds()) {
    PolicyChoice Choice =
        choosePolicy(Rules, Kind.Name, Kind.Choices.front(), SessionHash);
    Out.push_back({"policy " + Kind.Name,
                   armLabel(Choice.Choice, Choice.Parameters).value(),
                   Choice.Source});
  }
}

} // namespace

std::vector<ExplainedDecision> explainRequest(const RuleSet &Rules,
                                              const ExplainRequest &Request) {
  Decisions Out;
  auto Route = Rules.Routes.find(Request.Route);
  if (Route == Rules.Routes.end()) {
    Out.push_back({"route", "refused: unknown", {}});
    return Out;
  }
  explainRoute(Route->second, Out);
  bool NeedsAccount = !Route->second.Open || !Request.Account.value().empty();
  if (NeedsAccount)
    explainAccount(Rules, Request.Account, Out);
  explainTargets(Rules, Route->second.Database, Out);
  if (!Request.Statement.empty())
    explainStatement(Rules, Request, Out);
  explainPolicies(Rules, Request.SessionHash, Out);
  return Out;
}

std::string explanationText(const std::vector<ExplainedDecision> &Decisions) {
  std::string Text;
  for (const ExplainedDecision &Entry : Decisions) {
    Text += Entry.Name + ": " + Entry.Outcome;
    if (Entry.Rule.Line == 0)
      Text += " (default)\n";
    else
      Text += " (line " + std::to_string(Entry.Rule.Line) + ", " +
              Entry.Rule.Author + ")\n";
  }
  return Text;
}

} // namespace bergamotstage
