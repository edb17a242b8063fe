#include "bergamotstage/target/WaitQueue.h"

#include <algorithm>

namespace bergamotstage {
namespace {

/// @brief Assumed seconds that a statement holds a slot, until measured.
constexpr double FirstCost = 0.002;
/// @brief Weight of a new sample in a moving average.
constexpr double Smoothing = 0.125;
/// @brief Most accounts kept in memory while they have no statements.
constexpr std::size_t MaxIdleAccounts = 1024;

double fairKey(const AccountQueueState &Account, double VirtualTime,
               std::uint64_t) {
  return std::max(Account.NextStart, VirtualTime);
}

double fifoKey(const AccountQueueState &, double, std::uint64_t Arrival) {
  return static_cast<double>(Arrival);
}

} // namespace

QueuePolicy queuePolicy(const std::string &Name) {
  if (Name == "fair")
    return fairKey;
  if (Name == "fifo")
    return fifoKey;
  return {};
}

WaitQueue::WaitQueue() : m_Policy(fairKey), m_MeanCost(FirstCost) {}

AccountQueueState &WaitQueue::accountState(const AccountId &Account,
                                           double Weight) {
  auto [Iterator, Inserted] = m_Accounts.try_emplace(Account);
  if (Inserted) {
    Iterator->second.Cost = m_MeanCost;
    Iterator->second.NextStart = m_VirtualTime;
  }
  Iterator->second.Weight = Weight;
  return Iterator->second;
}

bool WaitQueue::push(std::uint64_t Ticket, const AccountId &Account,
                     double Weight) {
  AccountQueueState &State = accountState(Account, Weight);
  if (State.Waiting >= MaxWaitingPerAccount)
    return false;
  QueueKey Key{m_Policy(State, m_VirtualTime, ++m_Arrivals), Ticket};
  State.NextStart =
      std::max(State.NextStart, m_VirtualTime) + State.Cost / State.Weight;
  ++State.Waiting;
  m_Order.emplace(Key, Ticket);
  m_Entries.emplace(Ticket, Entry{Key, Account});
  return true;
}

std::optional<std::uint64_t> WaitQueue::pop() {
  if (m_Order.empty())
    return std::nullopt;
  auto [Key, Ticket] = *m_Order.begin();
  m_VirtualTime = std::max(m_VirtualTime, Key.first);
  erase(Ticket);
  return Ticket;
}

void WaitQueue::erase(std::uint64_t Ticket) {
  auto Found = m_Entries.find(Ticket);
  if (Found == m_Entries.end())
    return;
  AccountId Account = Found->second.Account;
  m_Order.erase(Found->second.Key);
  m_Entries.erase(Found);
  --m_Accounts.at(Account).Waiting;
  eraseIfIdle(Account);
}

void WaitQueue::eraseIfIdle(const AccountId &Account) {
  const AccountQueueState &State = m_Accounts.at(Account);
  bool Idle = State.Waiting == 0 && State.NextStart <= m_VirtualTime;
  if (Idle && m_Accounts.size() > MaxIdleAccounts)
    m_Accounts.erase(Account);
}

void WaitQueue::onServed(const AccountId &Account, Duration SlotTime) {
  double SlotSeconds = toSeconds(SlotTime);
  m_MeanCost += Smoothing * (SlotSeconds - m_MeanCost);
  auto Found = m_Accounts.find(Account);
  if (Found == m_Accounts.end())
    return;
  AccountQueueState &State = Found->second;
  State.NextStart += (SlotSeconds - State.Cost) / State.Weight;
  State.Cost += Smoothing * (SlotSeconds - State.Cost);
}

Duration WaitQueue::expectedWait(const AccountId &Account, double Weight,
                                 unsigned Slots) const {
  double ActiveWeight = Weight;
  double OwnWaiting = 0;
  for (const auto &[Id, State] : m_Accounts) {
    if (Id == Account)
      OwnWaiting = State.Waiting;
    else if (State.Waiting > 0)
      ActiveWeight += State.Weight;
  }
  double StatementsAhead =
      std::min(static_cast<double>(m_Order.size()),
               OwnWaiting * ActiveWeight / std::max(Weight, 1e-9));
  double Wait = StatementsAhead * m_MeanCost / std::max(1U, Slots);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Wait));
}

} // namespace bergamotstage
