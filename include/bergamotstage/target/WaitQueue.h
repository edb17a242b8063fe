#ifndef BERGAMOTSTAGE_TARGET_WAITQUEUE_H
#define BERGAMOTSTAGE_TARGET_WAITQUEUE_H

#include "bergamotstage/core/Ids.h"
#include "bergamotstage/core/Time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace bergamotstage {

/// @brief Queue state of one client account at one target.
struct AccountQueueState {
  double Weight = 1;
  double NextStart = 0; ///< Virtual time at which its next statement may start.
  double Cost = 0;      ///< Mean seconds that its statements hold a slot.
  unsigned Waiting = 0;
};

/// @brief Computes the sort key of a statement; the lowest is served first.
/// @param Account state of its account, without the statement itself
/// @param VirtualTime start tag of the statement served last
/// @param Arrival number of the statement in order of arrival
using QueuePolicy =
    std::function<double(const AccountQueueState &Account, double VirtualTime,
                         std::uint64_t Arrival)>;

/// @brief Returns the policy `fair` or `fifo`; empty if the name is unknown.
///
/// `fair` is start-time fair queueing: accounts share the slots' time in
/// proportion to their weights, however many statements they send.
QueuePolicy queuePolicy(const std::string &Name);

/// @brief Queue of the statements that wait for a slot of one target.
///
/// The length is bounded for each account, and so is the memory.
class WaitQueue {
public:
  /// @brief Most statements of one account that wait at one target.
  static constexpr unsigned MaxWaitingPerAccount = 256;

  WaitQueue();

  void setPolicy(QueuePolicy Policy) { m_Policy = std::move(Policy); }

  /// @brief Adds a statement. Complexity: logarithmic in the queue length.
  /// @return false if the account's limit is reached
  bool push(std::uint64_t Ticket, const AccountId &Account, double Weight);

  /// @brief Removes the next statement to serve; nothing if the queue is empty.
  std::optional<std::uint64_t> pop();

  /// @brief Removes a cancelled statement; an unknown ticket is ignored.
  void erase(std::uint64_t Ticket);

  /// @brief Corrects an account's usage by the time a statement held a slot.
  void onServed(const AccountId &Account, Duration SlotTime);

  /// @brief Estimates the time until a new statement of an account starts.
  /// @param Slots number of concurrent statements
  Duration expectedWait(const AccountId &Account, double Weight,
                        unsigned Slots) const;

  std::size_t size() const { return m_Order.size(); }
  bool empty() const { return m_Order.empty(); }

private:
  using QueueKey = std::pair<double, std::uint64_t>;
  struct Entry {
    QueueKey Key;
    AccountId Account;
  };

  AccountQueueState &accountState(const AccountId &Account, double Weight);
  void eraseIfIdle(const AccountId &Account);

  QueuePolicy m_Policy;
  std::map<QueueKey, std::uint64_t> m_Order;
  std::map<std::uint64_t, Entry> m_Entries;
  std::map<AccountId, AccountQueueState> m_Accounts;
  double m_VirtualTime = 0;
  double m_MeanCost;
  std::uint64_t m_Arrivals = 0;
};

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_TARGET_WAITQUEUE_H
