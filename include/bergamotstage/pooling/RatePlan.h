#ifndef BERGAMOTSTAGE_POOLING_RATEPLAN_H
#define BERGAMOTSTAGE_POOLING_RATEPLAN_H

#include "bergamotstage/core/Ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bergamotstage::pooling {

/// @brief Which VM holds which part of all accounts' rates, in millionths.
///
/// Every change keeps the sum, so that it never exceeds Whole.
class RatePlan {
public:
  static constexpr std::uint64_t Whole = 1'000'000;

  /// @brief Equal parts for some VMs; the remainder goes to the first.
  static RatePlan equal(const std::vector<VmId> &Vms);

  /// @brief Reads what format() wrote; nothing for other text or for parts
  /// that exceed the whole.
  static std::optional<RatePlan> parse(std::string_view Text);
  std::string format() const;

  std::uint64_t part(const VmId &Vm) const;
  const std::map<VmId, std::uint64_t> &parts() const { return m_Parts; }

  /// @brief Moves a part, at most what the giver holds.
  void move(const VmId &From, const VmId &To, std::uint64_t Amount);
  /// @brief Gives all that a VM held to another.
  void inherit(const VmId &From, const VmId &To);

private:
  std::map<VmId, std::uint64_t> m_Parts;
};

} // namespace bergamotstage::pooling

#endif // BERGAMOTSTAGE_POOLING_RATEPLAN_H
