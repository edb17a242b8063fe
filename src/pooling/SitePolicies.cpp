#include "bergamotstage/pooling/SitePolicies.h"

#include "bergamotstage/core/Parse.h"
#include "bergamotstage/rules/PolicyChoice.h"

#include <map>
#include <set>
#include <string>
#include <utility>

namespace bergamotstage::pooling {
namespace {

using Faults = std::vector<RuleError>;
using Parameters = std::map<std::string, std::string>;

constexpr const char *ReadsKind = "reads";
constexpr const char *QueueKind = "queue";
constexpr const char *RateKind = "rate";
constexpr const char *PaceKind = "pace";
constexpr const char *PrimaryCostName = "primary-cost";
constexpr const char *DefaultReads = "earliest-finish";

ReadRule::Kind readKind(const std::string &Choice) {
  static const std::map<std::string, ReadRule::Kind> Kinds = {
      {DefaultReads, ReadRule::Kind::EarliestFinish},
      {"least-wait", ReadRule::Kind::LeastWait},
      {"nearest-covered", ReadRule::Kind::NearestCovered},
      {"random-replica", ReadRule::Kind::RandomReplica},
      {"primary-only", ReadRule::Kind::PrimaryOnly}};
  return Kinds.at(Choice);
}

void rejectRules(const std::vector<RuleRef> &Sources, const char *Kind,
                 Faults &Found) {
  for (const RuleRef &Source : Sources)
    Found.push_back({Source.Line, std::string("'") + Kind +
                                      "' comes from the platform's "
                                      "configuration"});
}

template <class Rules> std::vector<RuleRef> ruleSources(const Rules &Section) {
  std::vector<RuleRef> Sources;
  Sources.reserve(Section.size());
  for (const auto &[Id, Rule] : Section)
    Sources.push_back(Rule.Source);
  return Sources;
}

/// @brief Reports policies and parameters that the platform decides.
void reportIneffective(const std::string &Kind, const Parameters &Settings,
                       const RuleRef &Source, Faults &Found) {
  static const std::set<std::string> Supported = {ReadsKind, QueueKind,
                                                  RateKind, PaceKind};
  if (Supported.count(Kind) == 0)
    Found.push_back({Source.Line, "policy '" + Kind +
                                      "' has no effect here; the platform "
                                      "decides it"});
  for (const auto &[Name, Value] : Settings)
    if (Supported.count(Kind) > 0 && Name != PrimaryCostName)
      Found.push_back(
          {Source.Line, "parameter '" + Name + "' has no effect here"});
}

Faults findFaults(const RuleSet &Rules) {
  Faults Found;
  rejectRules(ruleSources(Rules.DataCentres), "data-centre", Found);
  rejectRules(ruleSources(Rules.Databases), "database", Found);
  rejectRules(ruleSources(Rules.Accounts), "account", Found);
  for (const auto &[Kind, Rule] : Rules.Policies)
    reportIneffective(Kind, Rule.Parameters, Rule.Source, Found);
  for (const auto &[Kind, Shares] : Rules.Shares)
    for (const ShareRule &Share : Shares)
      reportIneffective(Kind, Share.Parameters, Share.Source, Found);
  return Found;
}

} // namespace

tl::expected<SitePolicies, std::vector<RuleError>>
SitePolicies::parse(std::string_view Text) {
  auto Rules = parseRules(Revision(1), Text);
  if (!Rules)
    return tl::make_unexpected(std::move(Rules.error()));
  Faults Found = findFaults(*Rules);
  if (!Found.empty())
    return tl::make_unexpected(std::move(Found));
  SitePolicies Result;
  Result.m_Rules = std::move(*Rules);
  return Result;
}

std::shared_ptr<const ReadRule>
SitePolicies::readRule(std::uint64_t SessionHash) const {
  PolicyChoice Choice =
      choosePolicy(m_Rules, ReadsKind, DefaultReads, SessionHash);
  auto Result = std::make_shared<ReadRule>();
  Result->Type = readKind(Choice.Choice);
  auto Cost = Choice.Parameters.find(PrimaryCostName);
  if (Cost != Choice.Parameters.end())
    if (auto Span = parseDuration(Cost->second))
      Result->PrimaryCost = *Span;
  Result->Arm = std::move(Choice.Arm);
  Result->Source = std::move(Choice.Source);
  return Result;
}

admission::QueueOrder SitePolicies::queueOrder() const {
  std::string Choice = choosePolicy(m_Rules, QueueKind, "fair", 0).Choice;
  if (Choice == "urgency")
    return admission::QueueOrder::Urgency;
  return Choice == "fifo" ? admission::QueueOrder::Fifo
                          : admission::QueueOrder::Fair;
}

bool SitePolicies::adaptsPace() const {
  return choosePolicy(m_Rules, PaceKind, "fixed", 0).Choice == "adaptive";
}

ratelimit::RateSharing SitePolicies::rateSharing() const {
  std::string Choice = choosePolicy(m_Rules, RateKind, "loans", 0).Choice;
  if (Choice == "priority")
    return ratelimit::RateSharing::Priority;
  return Choice == "split" ? ratelimit::RateSharing::Split
                           : ratelimit::RateSharing::Loans;
}

} // namespace bergamotstage::pooling
