#include "bergamotstage/rules/PolicyChoice.h"

#include "bergamotstage/rules/RuleValue.h"

namespace bergamotstage {
namespace {

constexpr double FullPercent = 100;

/// @brief SplitMix64 mixing function.
std::uint64_t splitMix64(std::uint64_t Value) {
  Value += 0x9E3779B97F4A7C15U;
  Value = (Value ^ (Value >> 30U)) * 0xBF58476D1CE4E5B9U;
  Value = (Value ^ (Value >> 27U)) * 0x94D049BB133111EBU;
  return Value ^ (Value >> 31U);
}

/// @brief Pseudo-random value of a session in [0, 100), independent per kind.
double sessionPercentile(const std::string &Kind, std::uint64_t SessionHash) {
  constexpr std::uint64_t Steps = 1'000'000;
  std::uint64_t Seed = SessionHash;
  for (unsigned char Character : Kind)
    Seed = splitMix64(Seed ^ Character);
  return FullPercent * static_cast<double>(splitMix64(Seed) % Steps) / Steps;
}

PolicyChoice basePolicy(const RuleSet &Rules, const std::string &Kind,
                        const std::string &Default) {
  auto Found = Rules.Policies.find(Kind);
  if (Found == Rules.Policies.end())
    return {ArmId("default"), Default, {}, {}};
  const PolicyRule &Rule = Found->second;
  return {ArmId("default"), Rule.Choice, Rule.Parameters, Rule.Source};
}

} // namespace

ArmId armLabel(const std::string &Choice,
               const std::map<std::string, std::string> &Parameters) {
  std::string Label = Choice;
  for (const auto &[Name, Value] : Parameters)
    Label.append(",").append(Name).append("=").append(Value);
  return ArmId(Label);
}

PolicyChoice choosePolicy(const RuleSet &Rules, const std::string &Kind,
                          const std::string &Default,
                          std::uint64_t SessionHash) {
  PolicyChoice Base = basePolicy(Rules, Kind, Default);
  auto Shares = Rules.Shares.find(Kind);
  if (Shares == Rules.Shares.end())
    return Base;
  double Percentile = sessionPercentile(Kind, SessionHash);
  for (const ShareRule &Share : Shares->second) {
    if (Percentile < Share.Percent)
      return {armLabel(Share.Choice, Share.Parameters), Share.Choice,
              Share.Parameters, Share.Source};
    Percentile -= Share.Percent;
  }
  Base.Arm = armLabel(Base.Choice, Base.Parameters);
  return Base;
}

const IdempotentRule *findIdempotentRule(const RuleSet &Rules,
                                         const RouteId &Route,
                                         std::string_view Statement) {
  for (const IdempotentRule &Rule : Rules.Idempotent)
    if (Rule.Route == Route && matchesPattern(Rule.Pattern, Statement))
      return &Rule;
  return nullptr;
}

} // namespace bergamotstage
