#ifndef BERGAMOTSTAGE_ACCOUNT_ALLOCATION_H
#define BERGAMOTSTAGE_ACCOUNT_ALLOCATION_H

#include "bergamotstage/account/TokenCount.h"
#include "bergamotstage/core/Ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bergamotstage {

/// @brief A fraction of a contract's rate and burst, in 1e-9.
///
/// A fraction is valid for every revision of the rules: a VM that applies a
/// lowered rate spends its share of the lowered rate.
struct ContractFraction {
  static constexpr std::int64_t Whole = 1'000'000'000;

  std::int64_t Rate = 0;
  std::int64_t Burst = 0;

  friend ContractFraction operator+(ContractFraction Left,
                                    ContractFraction Right) {
    return {Left.Rate + Right.Rate, Left.Burst + Right.Burst};
  }
  friend ContractFraction operator-(ContractFraction Left,
                                    ContractFraction Right) {
    return {Left.Rate - Right.Rate, Left.Burst - Right.Burst};
  }
};

/// @brief Rate and burst of a fraction of a contract, rounded down.
TokenContract scaleContract(const TokenContract &Contract,
                            const ContractFraction &Fraction);

/// @brief The share of an account that one VM spends and lends.
struct AllocationShare {
  VmId Vm;
  Incarnation Start; ///< Process that may spend it.
  ContractFraction Fraction;
  VmId Successor; ///< The only VM that may succeed to it; empty: none.
};

/// @brief Burst that a process may still spend after it lost its share.
///
/// Nobody else uses it until the process is known to have ended.
struct AllocationReserve {
  VmId Vm;
  Incarnation Start;
  std::int64_t Burst = 0; ///< In 1e-9 of the contract.
};

/// @brief All shares of one client account: one row of the platform's table.
///
/// Every operation keeps the sums of rate and burst at or below the whole.
struct AllocationRow {
  std::vector<AllocationShare> Shares; ///< Sorted by VM.
  std::vector<AllocationReserve> Reserves;

  const AllocationShare *find(const VmId &Vm) const;
  /// @brief The fraction in no share and no reserve.
  ContractFraction unallocated() const;
  /// @brief The holder of a share that follows a VM in the order of names, with
  /// the first one after the last; empty if no other VM has a share.
  VmId nextAfter(const VmId &Vm) const;
};

/// @brief Key of an account's row.
std::string allocationKey(const AccountId &Account);

/// @brief Encodes a row as JSON. Its shares must not exceed the whole.
std::string encodeAllocation(const AllocationRow &Row);
/// @return the row, or nothing if the text is malformed
std::optional<AllocationRow> decodeAllocation(std::string_view Text);

/// @brief Changes to a row. Each takes the row as read and returns the row to
/// write in its place if the store still holds it unchanged.
namespace allocation {

/// @brief The first row of an account, with one share for the whole.
AllocationRow create(const VmId &Vm, Incarnation Start);
/// @brief Gives a VM's share to its new process; the old one has ended.
AllocationRow updateIncarnation(AllocationRow Row, const VmId &Vm,
                                Incarnation Start);
/// @brief Gives half of a VM's share to a VM without one.
AllocationRow split(AllocationRow Row, const VmId &Owner, const VmId &Recipient,
                    Incarnation RecipientStart);
/// @brief Gives the rate of a share with an expired lease to its successor.
///
/// The burst of the share is reserved for what the owner may still spend.
AllocationRow succeed(AllocationRow Row, const VmId &Owner,
                      const VmId &Successor);
/// @brief Merges a share that its owner hands over into another VM's share.
AllocationRow merge(AllocationRow Row, const VmId &From, const VmId &Into);
/// @brief Adds the unallocated fraction to a VM's share.
AllocationRow claimFree(AllocationRow Row, const VmId &Vm);
/// @brief Sets the successor of a VM's share.
AllocationRow changeSuccessor(AllocationRow Row, const VmId &Vm,
                              const VmId &Successor);
/// @brief Removes the reserves of a VM's processes before the given one.
AllocationRow releaseReserves(AllocationRow Row, const VmId &Vm,
                              Incarnation Before);

} // namespace allocation

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_ACCOUNT_ALLOCATION_H
