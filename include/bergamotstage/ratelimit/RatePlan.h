#ifndef BERGAMOTSTAGE_RATELIMIT_RATEPLAN_H
#define BERGAMOTSTAGE_RATELIMIT_RATEPLAN_H

#include "bergamotstage/core/Ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace bergamotstage::ratelimit {

/// @brief Assignment of rate slots to VMs.
///
/// The rate of an account is divided evenly among its slots: all of them in a
/// small fleet, a few chosen by hashing in a large one, where most accounts
/// would otherwise have less than one token per VM. The number of slots is
/// constant and each has one holder, so the shares of an account always sum up
/// to its whole rate.
class RatePlan {
public:
  using Slot = std::uint32_t;

  /// @brief Creates a plan with the same number of slots for all VMs.
  static RatePlan uniform(const std::vector<VmId> &Vms);

  /// @brief Parses the output of format(); empty for a text without slots.
  static std::optional<RatePlan> parse(std::string_view Text);
  std::string format() const;

  std::size_t size() const { return m_Holders.size(); }
  /// @brief Slots held by a VM.
  std::set<Slot> slotsOf(const VmId &Vm) const;
  /// @brief Slots among which the rate of an account is divided.
  std::vector<Slot> slotsOf(const AccountId &Account) const;
  /// @brief Share of an account's rate, from 0 to 1, in the slots @p Usable.
  double share(const AccountId &Account, const std::set<Slot> &Usable) const;
  /// @brief Distinct VMs that hold slots of an account.
  std::vector<VmId> holders(const AccountId &Account) const;
  /// @brief Share of an account's rate of each VM that holds any, from 0 to 1.
  std::map<VmId, double> holderShares(const AccountId &Account) const;
  /// @brief Number of slots of each VM that holds any.
  std::map<VmId, std::size_t> slotCounts() const;
  /// @brief Distinct VMs that hold slots.
  std::set<VmId> holders() const;

  /// @brief Moves up to @p Count slots from one VM to another.
  void moveSlots(const VmId &From, const VmId &To, std::size_t Count);

private:
  std::vector<VmId> m_Holders; ///< By slot.
};

} // namespace bergamotstage::ratelimit

#endif // BERGAMOTSTAGE_RATELIMIT_RATEPLAN_H
