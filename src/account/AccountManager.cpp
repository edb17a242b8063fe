#include "bergamotstage/account/AccountManager.h"

#include "bergamotstage/rules/PolicyChoice.h"

#include <algorithm>

namespace bergamotstage {
namespace {

/// @brief With more client accounts than this, a VM acquires a share only once
/// a caller or a peer needs it.
constexpr std::size_t MaxEagerAccounts = 64;

/// @brief How VMs share a rate: `policy rate loans` or `policy rate split`.
AccountRateLimiter::Options chooseOptions(const RuleSet &Rules) {
  PolicyChoice Choice = choosePolicy(Rules, "rate", "loans", 0);
  AccountRateLimiter::Options Options;
  Options.Borrow = Choice.Choice != "split";
  return Options;
}

} // namespace

void AccountManager::onRulesChanged() {
  const RuleSet &Rules = m_Context.rules();
  AccountRateLimiter::Options Options = chooseOptions(Rules);
  bool Eager = Rules.Accounts.size() <= MaxEagerAccounts;
  for (const auto &[Id, Rule] : Rules.Accounts) {
    std::unique_ptr<AccountRateLimiter> &Limiter = m_Limiters[Id];
    if (!Limiter)
      Limiter = std::make_unique<AccountRateLimiter>(m_Context, Rule, Options);
    Limiter->setOptions(Options);
    Limiter->onContractChanged(Rule);
    if (Eager)
      Limiter->activate();
  }
}

void AccountManager::admit(const AccountId &Account,
                           const AdmitCallback &OnResult) {
  if (m_Context.rules().Accounts.count(Account) == 0)
    return OnResult({});
  m_Limiters.at(Account)->admit(OnResult);
}

void AccountManager::refund(const AccountId &Account) {
  auto Found = m_Limiters.find(Account);
  if (Found != m_Limiters.end())
    Found->second->refund();
}

void AccountManager::drain() {
  for (auto &[Id, Limiter] : m_Limiters)
    Limiter->drain();
}

bool AccountManager::isDrained() const {
  return std::all_of(
      m_Limiters.begin(), m_Limiters.end(),
      [](const auto &Entry) { return Entry.second->isDrained(); });
}

void AccountManager::onPeerMessage(const PeerReceived &Event) {
  auto Message = decodeAllocationMessage(Event.Message.Payload);
  if (!Message)
    return;
  auto Found = m_Limiters.find(Message->Account);
  if (Found != m_Limiters.end())
    Found->second->onMessage(Event, Message->Body);
}

} // namespace bergamotstage
