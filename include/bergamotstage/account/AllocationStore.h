#ifndef BERGAMOTSTAGE_ACCOUNT_ALLOCATIONSTORE_H
#define BERGAMOTSTAGE_ACCOUNT_ALLOCATIONSTORE_H

#include "bergamotstage/account/Allocation.h"
#include "bergamotstage/core/Time.h"
#include "bergamotstage/node/NodeContext.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace bergamotstage {

/// @brief Reads one account's row and changes it by conditional writes.
///
/// At most one write is pending. A write without an answer is retried under the
/// same id until the store has decided it; meanwhile the VM uses only what both
/// the old and the new row allocate to it.
class AllocationStore {
public:
  using ChangedHook = std::function<void()>;

  /// @param Changed called whenever a row was read or a write was decided
  AllocationStore(NodeContext &Context, AccountId Account, ChangedHook Changed);
  AllocationStore(const AllocationStore &) = delete;
  AllocationStore &operator=(const AllocationStore &) = delete;

  /// @brief Reads the row unless a read or a write is pending.
  void refresh();

  /// @brief Replaces the row if it is unchanged and no write is pending.
  void propose(AllocationRow NewRow);

  /// @brief Whether the current version of the row, or its absence, is known.
  bool isKnown() const { return m_Known; }
  /// @brief Whether the store holds a row, as last read.
  bool rowExists() const { return m_Version != 0; }
  bool isWriting() const { return m_Pending.has_value(); }
  /// @brief Whether the last call to the store failed.
  bool isStoreFailing() const { return m_Failures > 0; }
  const AllocationRow &row() const { return m_Row; }
  /// @brief The row that the pending write would store.
  const std::optional<AllocationRow> &pendingRow() const { return m_Pending; }

  /// @brief The fraction that this process may use whether or not the pending
  /// write is applied.
  ContractFraction ownFraction() const;

  /// @brief When this process first saw the current row.
  Instant rowSeenAt() const { return m_RowSeenAt; }
  /// @brief When the pending write was first sent.
  Instant writeSentAt() const { return m_WriteSentAt; }
  /// @brief When the last applied write was first sent.
  std::optional<Instant> lastAppliedAt() const { return m_LastAppliedAt; }

private:
  void onRead(const PlatformAnswer &Answer);
  void applyRow(const TableRow &Row);
  void sendWrite();
  void onDecision(const PlatformAnswer &Answer);
  Duration backOff();
  ContractFraction fractionIn(const AllocationRow &Row) const;

  NodeContext &m_Context;
  AccountId m_Account;
  ChangedHook m_OnChanged;
  AllocationRow m_Row;
  std::uint64_t m_Version = 0;
  bool m_Known = false;
  bool m_Reading = false;
  std::optional<AllocationRow> m_Pending;
  ConditionalWrite m_Write;
  std::uint64_t m_LastWrite = 0;
  Instant m_WriteSentAt{};
  Instant m_RowSeenAt{};
  std::optional<Instant> m_LastAppliedAt;
  unsigned m_Failures = 0;
};

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_ACCOUNT_ALLOCATIONSTORE_H
