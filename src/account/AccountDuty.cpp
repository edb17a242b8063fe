#include "bergamotstage/account/AccountDuty.h"

namespace bergamotstage {
namespace {

constexpr double VmsOfToday = 2;

} // namespace

void AccountDuty::rulesChanged() {
  std::map<AccountId, TokenBucket> Buckets;
  for (const auto &[Id, Rule] : m_Context.rules().Accounts)
    Buckets.emplace(Id, TokenBucket(Rule.Rate / VmsOfToday,
                                    Rule.Burst / VmsOfToday, m_Context.now()));
  m_Buckets = std::move(Buckets);
}

void AccountDuty::admit(const AccountId &Account, const AdmitCallback &Done) {
  auto Found = m_Buckets.find(Account);
  if (Found == m_Buckets.end() || Found->second.take(m_Context.now())) {
    Done({});
    return;
  }
  Refusal Reason;
  Reason.SqlState = sqlstate::TooManyRequests;
  Reason.State = RunState::NotRun;
  Reason.Message = "the client account is over its rate";
  Reason.Rule = m_Context.rules().Accounts.at(Account).Source;
  Reason.RetryAfter = Found->second.untilNext(m_Context.now());
  Done(tl::make_unexpected(Reason));
}

void AccountDuty::peerReceived(const PeerReceived &) {}

} // namespace bergamotstage
