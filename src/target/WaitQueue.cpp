#include "bergamotstage/target/WaitQueue.h"

#include <algorithm>

namespace bergamotstage {
namespace {

/// @brief Assumed seconds that a statement holds a slot, before any did.
constexpr double FirstCost = 0.002;
/// @brief Part of a new sample in a mean.
constexpr double Smoothing = 0.125;
/// @brief Accounts without work that are remembered at one target.
constexpr std::size_t MaxIdleAccounts = 1024;

double fairPlace(const AccountService &Account, double VirtualTime,
                 std::uint64_t) {
  return std::max(Account.NextStart, VirtualTime);
}

double arrivalPlace(const AccountService &, double, std::uint64_t Arrival) {
  return static_cast<double>(Arrival);
}

} // namespace

QueuePolicy queuePolicy(const std::string &Name) {
  if (Name == "fair")
    return fairPlace;
  if (Name == "fifo")
    return arrivalPlace;
  return {};
}

WaitQueue::WaitQueue() : m_Policy(fairPlace), m_MeanCost(FirstCost) {}

AccountService &WaitQueue::service(const AccountId &Account, double Weight) {
  auto [Found, Added] = m_Accounts.try_emplace(Account);
  if (Added) {
    Found->second.Cost = m_MeanCost;
    Found->second.NextStart = m_VirtualTime;
  }
  Found->second.Weight = Weight;
  return Found->second;
}

bool WaitQueue::push(std::uint64_t Ticket, const AccountId &Account,
                     double Weight) {
  AccountService &Service = service(Account, Weight);
  if (Service.Waiting >= MaxWaitingPerAccount)
    return false;
  Place At{m_Policy(Service, m_VirtualTime, ++m_Arrivals), Ticket};
  Service.NextStart = std::max(Service.NextStart, m_VirtualTime) +
                      Service.Cost / Service.Weight;
  ++Service.Waiting;
  m_Order.emplace(At, Ticket);
  m_Entries.emplace(Ticket, Entry{At, Account});
  return true;
}

std::optional<std::uint64_t> WaitQueue::pop() {
  if (m_Order.empty())
    return std::nullopt;
  auto [At, Ticket] = *m_Order.begin();
  m_VirtualTime = std::max(m_VirtualTime, At.first);
  erase(Ticket);
  return Ticket;
}

void WaitQueue::erase(std::uint64_t Ticket) {
  auto Found = m_Entries.find(Ticket);
  if (Found == m_Entries.end())
    return;
  AccountId Account = Found->second.Account;
  m_Order.erase(Found->second.At);
  m_Entries.erase(Found);
  --m_Accounts.at(Account).Waiting;
  forgetIdle(Account);
}

void WaitQueue::forgetIdle(const AccountId &Account) {
  const AccountService &Service = m_Accounts.at(Account);
  bool Idle = Service.Waiting == 0 && Service.NextStart <= m_VirtualTime;
  if (Idle && m_Accounts.size() > MaxIdleAccounts)
    m_Accounts.erase(Account);
}

void WaitQueue::served(const AccountId &Account, Duration Held) {
  double Taken = toSeconds(Held);
  m_MeanCost += Smoothing * (Taken - m_MeanCost);
  auto Found = m_Accounts.find(Account);
  if (Found == m_Accounts.end())
    return;
  AccountService &Service = Found->second;
  Service.NextStart += (Taken - Service.Cost) / Service.Weight;
  Service.Cost += Smoothing * (Taken - Service.Cost);
}

Duration WaitQueue::expectedWait(const AccountId &Account, double Weight,
                                 unsigned Slots) const {
  double Active = Weight;
  double Own = 0;
  for (const auto &[Id, Service] : m_Accounts) {
    if (Id == Account)
      Own = Service.Waiting;
    else if (Service.Waiting > 0)
      Active += Service.Weight;
  }
  double Ahead = std::min(static_cast<double>(m_Order.size()),
                          Own * Active / std::max(Weight, 1e-9));
  double Wait = Ahead * m_MeanCost / std::max(1U, Slots);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Wait));
}

} // namespace bergamotstage
