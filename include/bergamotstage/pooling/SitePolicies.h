#ifndef BERGAMOTSTAGE_POOLING_SITEPOLICIES_H
#define BERGAMOTSTAGE_POOLING_SITEPOLICIES_H

#include "bergamotstage/admission/QueueOrder.h"
#include "bergamotstage/core/Ids.h"
#include "bergamotstage/core/Outcome.h"
#include "bergamotstage/core/Time.h"
#include "bergamotstage/ratelimit/RateSharing.h"
#include "bergamotstage/rules/RuleSet.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

namespace bergamotstage::pooling {

/// @brief Target selection for reads that replicas may serve.
struct ReadRule {
  enum class Kind : std::uint8_t {
    EarliestFinish, ///< Least expected time by distance and queue length.
    LeastWait,      ///< The same by measured times; see TargetEstimate.
    NearestCovered, ///< Nearest replica; the primary comes last.
    RandomReplica,  ///< Any replica; the primary comes last.
    PrimaryOnly
  };

  /// Keeps reads off the primary; less than one statement of about 15 ms.
  static constexpr Duration DefaultPrimaryCost = milliseconds(12);

  Kind Type = Kind::EarliestFinish;
  /// Added to the expected time of the primary.
  Duration PrimaryCost = DefaultPrimaryCost;
  ArmId Arm{"default"}; ///< Labels the metrics.
  RuleRef Source;
};

/// @brief The users' policies: the `policy` and `share` lines of the rules.
///
/// Routes, accounts and targets come from the platform.
class SitePolicies {
public:
  /// @brief Creates the default policies.
  SitePolicies() = default;

  /// @brief Parses and validates a rules text.
  /// @return the policies, or all faults: those of parseRules(), and rules that
  /// the platform's configuration replaces
  /// Complexity: linear in the text.
  static tl::expected<SitePolicies, std::vector<RuleError>>
  parse(std::string_view Text);

  /// @brief Returns the rule for reads of one session.
  /// @param SessionHash constant for a session, so that it keeps its arm
  /// Complexity: linear in the shares.
  std::shared_ptr<const ReadRule> readRule(std::uint64_t SessionHash) const;

  /// @brief How VMs share the rates of accounts.
  ratelimit::RateSharing rateSharing() const;
  /// @brief Order of the operations that wait for a target.
  admission::QueueOrder queueOrder() const;
  /// @brief Whether targets get as many statements at once as they answer in
  /// their usual time, instead of as many as they have slots.
  bool adaptsPace() const;

  const RuleSet &rules() const { return m_Rules; }

private:
  RuleSet m_Rules;
};

} // namespace bergamotstage::pooling

#endif // BERGAMOTSTAGE_POOLING_SITEPOLICIES_H
