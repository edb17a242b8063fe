#include "bergamotstage/ratelimit/RateShare.h"

#include "bergamotstage/ratelimit/detail/Limits.h"
#include "bergamotstage/ratelimit/detail/Tokens.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bergamotstage::ratelimit {

using namespace detail;
using pooling::AccountConfig;
using pooling::TokenGrant;
using pooling::TokenRequest;

namespace {

/// Minimum time between requests to a lender without tokens.
constexpr Duration EmptyLenderBackoff = milliseconds(250);
/// Borrowed tokens serve current demand. Kept longer, they would increase the
/// burst of the whole fleet.
constexpr Duration BorrowedLifetime = seconds(1);
/// Later grants are dropped: the lender's bucket has earned the tokens again,
/// so that they would add to its burst.
constexpr Duration MaxGrantDelay = seconds(1);
/// Seconds of demand that a lender reserves.
constexpr double ReservedDemandSeconds = 0.15;
/// Added to the burst so that synchronized arrivals are not rejected. Up to 10%
/// above the contract is tolerated in any 5 s; this is less than half of that.
constexpr double ExtraBurstSeconds = 0.15;
/// Minimum downtime of a restarting process. Nothing is spent meanwhile, so the
/// bucket starts with the tokens earned in this time.
constexpr double MinDowntimeSeconds = 0.3;

} // namespace

void RateShare::configure(const std::map<AccountId, AccountConfig> &Accounts) {
  bool First = m_Accounts.empty();
  for (const auto &[Id, Contract] : Accounts) {
    AccountState &State = m_Accounts[Id];
    State.Contract = Contract;
    applyContract(State);
    if (First && m_Started)
      creditStartup(State);
  }
  for (auto &[Id, State] : m_Accounts)
    if (Accounts.count(Id) == 0) {
      State.Contract = {Id, 0, 0};
      applyContract(State);
    }
}

void RateShare::setPlan(std::shared_ptr<const RatePlan> Plan,
                        const std::set<RatePlan::Slot> &Usable,
                        Instant LeaseEnd) {
  bool Same = m_Plan == Plan && m_Usable == Usable;
  m_Plan = std::move(Plan);
  m_Usable = Usable;
  m_LeaseEnd = LeaseEnd;
  if (Same)
    return;
  for (auto &[Id, State] : m_Accounts)
    applyContract(State);
  if (m_Started || m_Usable.empty())
    return;
  m_Started = true;
  for (auto &[Id, State] : m_Accounts)
    creditStartup(State);
}

void RateShare::setSharing(RateSharing Sharing) {
  if (m_Sharing == Sharing)
    return;
  m_Sharing = Sharing;
  for (auto &[Id, State] : m_Accounts) {
    std::stable_sort(
        State.Pending.begin(), State.Pending.end(),
        [Sharing](const PendingAdmission &Left, const PendingAdmission &Right) {
          return Sharing == RateSharing::Priority
                     ? Left.Need.Priority < Right.Need.Priority
                     : Left.Deadline < Right.Deadline;
        });
    for (const LoanQueue::Finished &Refused :
         State.Loans.eraseIf([](const LoanQueue::Entry &) { return true; }))
      grantLoan(Id, State, Refused, 0);
    if (!State.Pending.empty() || State.WakeTimer)
      admitPending(Id);
  }
}

/// @brief Credits the tokens earned while the process was down.
void RateShare::creditStartup(AccountState &State) {
  State.Bucket.refund(
      tokens(State.Contract.Rate * State.OwnShare * MinDowntimeSeconds),
      m_Context.now());
}

void RateShare::applyContract(AccountState &State) {
  double Burst = State.Contract.Burst + ExtraBurstSeconds * State.Contract.Rate;
  double Share = m_Plan ? m_Plan->share(State.Contract.Id, m_Usable) : 0;
  State.Bucket.configure(
      makeContract(State.Contract.Rate * Share, Burst * Share),
      m_Context.now());
  State.OwnShare = Share;
  State.HolderShares = m_Plan ? m_Plan->holderShares(State.Contract.Id)
                              : std::map<VmId, double>();
}

/// @brief Tokens of this VM's own slots.
TokenCount RateShare::ownTokens(AccountState &State) {
  if (m_Context.now() >= m_LeaseEnd)
    return {};
  return State.Bucket.available(m_Context.now());
}

/// @brief Time until this VM's own slots give a token.
Duration RateShare::timeUntilToken(AccountState &State) {
  if (m_Context.now() >= m_LeaseEnd)
    return MaxRetryAfter;
  return State.Bucket.timeUntil(OneToken, m_Context.now());
}

TokenCount RateShare::available(AccountState &State) {
  if (State.BorrowedAt + BorrowedLifetime < m_Context.now())
    State.Borrowed = {};
  return ownTokens(State) + State.Borrowed;
}

/// @brief Takes a token; own ones only beyond the reserve for more urgent
/// operations.
bool RateShare::consumeToken(AccountState &State, unsigned Priority) {
  available(State); // Drops expired borrowed tokens.
  TokenCount FromBorrowed = std::min(State.Borrowed, OneToken);
  TokenCount FromBucket = OneToken - FromBorrowed;
  bool NeedsBucket = TokenCount{} < FromBucket;
  if (NeedsBucket &&
      ownTokens(State) < FromBucket + reservedAbove(State, Priority))
    return false;
  State.Borrowed = State.Borrowed - FromBorrowed;
  State.Bucket.tryTake(FromBucket, m_Context.now());
  return true;
}

/// @brief Reports the decision on an operation that waited.
void RateShare::finish(const PendingAdmission &Ended, const AccountId &Id,
                       const Decision &Result) {
  Counts &Total = m_Counts[{Id, Ended.Need.Priority}];
  if (Result.Admitted) {
    ++Total.Admitted;
    Total.Waited += m_Context.now() - Ended.Since;
  } else {
    ++Total.Refused;
  }
  Ended.Callback(Result);
}

void RateShare::admit(const AccountId &Id, const Urgency &Need,
                      AdmitCallback Callback) {
  auto Found = m_Accounts.find(Id);
  if (Found == m_Accounts.end())
    return Callback({true, {}});
  AccountState &State = Found->second;
  Instant Now = m_Context.now();
  State.Demand.record(Need.Priority, Now);
  if (m_Sharing == RateSharing::Priority)
    return admitByPriority(Id, State, Need, std::move(Callback));
  PendingAdmission Asking{Need, Now, Now + LoanWait, 0, std::move(Callback)};
  bool Taken = State.Pending.empty() && consumeToken(State, Need.Priority);
  if (Taken) {
    // Prefetched tokens spare later operations the wait.
    double Demand = State.Demand.total(Now);
    bool Prefetch = Demand >= MinPrefetchDemand &&
                    available(State) < tokens(Demand * ReservedDemandSeconds);
    if (Prefetch)
      requestLoan(Id, State);
    return finish(Asking, Id, {true, {}});
  }
  if (State.Pending.size() >= MaxPending)
    return finish(Asking, Id, {false, retryAfter(State)});
  State.Pending.push_back(std::move(Asking));
  admitPending(Id);
}

bool RateShare::tryAdmit(const AccountId &Id, const Urgency &Need) {
  auto Found = m_Accounts.find(Id);
  return Found == m_Accounts.end() ||
         (Found->second.Pending.empty() &&
          consumeToken(Found->second, Need.Priority));
}

void RateShare::refund(const AccountId &Id) {
  auto Found = m_Accounts.find(Id);
  if (Found != m_Accounts.end())
    Found->second.Bucket.refund(OneToken, m_Context.now());
}

/// @brief Time until this VM earns a token or may request a loan again.
Duration RateShare::retryAfter(AccountState &State) {
  Instant Now = m_Context.now();
  Duration Soonest = std::min(MaxRetryAfter, timeUntilToken(State));
  for (const auto &[Peer, Share] : State.HolderShares) {
    auto Entry = State.Lenders.find(Peer);
    bool InBackoff =
        Entry != State.Lenders.end() && Entry->second.NotBefore > Now;
    if (Peer != m_Context.self())
      Soonest = std::min(Soonest, InBackoff ? Entry->second.NotBefore - Now
                                            : EmptyLenderBackoff);
  }
  return std::max(MinRetryAfter, Soonest);
}

/// @param Priority most urgent one that the tokens are for
std::optional<VmId> RateShare::chooseLender(const AccountState &State,
                                            unsigned Priority) const {
  std::vector<VmId> Candidates;
  std::optional<VmId> Richest;
  std::uint64_t Most = 0;
  for (const auto &[Peer, Share] : State.HolderShares) {
    if (!m_IsReachable(Peer))
      continue;
    auto Entry = State.Lenders.find(Peer);
    if (Entry == State.Lenders.end()) {
      Candidates.push_back(Peer);
      continue;
    }
    bool InBackoff = Entry->second.NotBefore > m_Context.now() &&
                     Priority >= Entry->second.RefusedPriority;
    if (InBackoff)
      continue;
    Candidates.push_back(Peer);
    if (Entry->second.LeftMilliTokens > Most) {
      Most = Entry->second.LeftMilliTokens;
      Richest = Peer;
    }
  }
  if (Richest)
    return Richest;
  if (Candidates.empty())
    return std::nullopt;
  std::uniform_int_distribution<std::size_t> Any(0, Candidates.size() - 1);
  return Candidates[Any(m_Context.random())];
}

void RateShare::requestLoan(const AccountId &Id, AccountState &State) {
  bool RequestPending = State.PendingLender && State.LostAt > m_Context.now();
  if (RequestPending)
    return;
  if (State.PendingLender)
    State.Lenders[*State.PendingLender] = {m_Context.now() + EmptyLenderBackoff,
                                           0, 0};
  State.PendingLender.reset();
  auto Lender = chooseLender(State, 0);
  if (!Lender)
    return;
  double Demand = State.Demand.total(m_Context.now());
  double Prefetch =
      Demand >= MinPrefetchDemand ? Demand * BorrowedDemandSeconds : 0;
  double Needed = static_cast<double>(State.Pending.size()) + Prefetch;
  State.PendingLender = Lender;
  State.RequestedAt = m_Context.now();
  State.LostAt = State.RequestedAt + LoanRequestTimeout;
  sendRequest(
      State, *Lender,
      TokenRequest{
          Id, static_cast<std::uint64_t>(Needed * MilliPerToken), {}, {}});
}

void RateShare::sendRequest(AccountState &State, const VmId &To,
                            TokenRequest Request) {
  Instant Now = m_Context.now();
  auto &Open = State.OpenRequests;
  while (!Open.empty() && Open.begin()->second + MaxGrantDelay < Now)
    Open.erase(Open.begin());
  Request.Number = ++m_LastRequest;
  Open[Request.Number] = Now;
  m_Send(To, std::move(Request));
}

/// @brief Whether a request gets its first answer, in time.
bool RateShare::closeRequest(AccountState &State, std::uint64_t Number) {
  auto Found = State.OpenRequests.find(Number);
  if (Found == State.OpenRequests.end())
    return false;
  Instant SentAt = Found->second;
  State.OpenRequests.erase(Found);
  return m_Context.now() - SentAt <= MaxGrantDelay;
}

void RateShare::admitPending(const AccountId &Id) {
  if (m_Sharing == RateSharing::Priority)
    return distribute(Id);
  AccountState &State = m_Accounts.at(Id);
  std::deque<PendingAdmission> Admitted;
  while (!State.Pending.empty() &&
         consumeToken(State, State.Pending.front().Need.Priority)) {
    Admitted.push_back(std::move(State.Pending.front()));
    State.Pending.pop_front();
  }
  if (m_Sharing == RateSharing::Loans && !State.Pending.empty())
    requestLoan(Id, State);
  bool NoTokensExpected =
      !State.PendingLender && timeUntilToken(State) > LoanWait;
  std::deque<PendingAdmission> Refused;
  while (
      !State.Pending.empty() &&
      (NoTokensExpected || State.Pending.front().Deadline <= m_Context.now())) {
    Refused.push_back(std::move(State.Pending.front()));
    State.Pending.pop_front();
  }
  Duration RetryAfter = retryAfter(State);
  if (State.WakeTimer)
    m_Context.timers().cancel(*State.WakeTimer);
  State.WakeTimer.reset();
  if (!State.Pending.empty()) {
    Instant Next = std::min(State.Pending.front().Deadline,
                            m_Context.now() + timeUntilToken(State));
    Next = std::max(Next, m_Context.now() + milliseconds(1));
    State.WakeTimer = m_Context.timers().schedule(Next, [this, Id] {
      m_Accounts.at(Id).WakeTimer.reset();
      admitPending(Id);
    });
  }
  for (PendingAdmission &Next : Admitted)
    finish(Next, Id, {true, {}});
  for (PendingAdmission &Next : Refused)
    finish(Next, Id, {false, RetryAfter});
}

void RateShare::lend(const VmId &To, AccountState &State,
                     const TokenRequest &Request) {
  TokenGrant Grant;
  Grant.Account = Request.Account;
  Grant.Number = Request.Number;
  TokenCount Available = ownTokens(State);
  TokenCount Reserved =
      tokens(State.Demand.total(m_Context.now()) * ReservedDemandSeconds);
  TokenCount Spare = State.Pending.empty() && Reserved < Available
                         ? Available - Reserved
                         : TokenCount{};
  Grant.MilliTokens = std::min(Request.MilliTokens, toMilli(Spare));
  State.Bucket.tryTake(fromMilli(Grant.MilliTokens), m_Context.now());
  Grant.LeftMilliTokens = toMilli(Spare) - Grant.MilliTokens;
  m_Send(To, std::move(Grant));
}

void RateShare::onTokenMessage(const VmId &From, const TokenRequest &Request) {
  auto Found = m_Accounts.find(Request.Account);
  if (Found == m_Accounts.end())
    return m_Send(From, TokenGrant{Request.Account, 0, 0, {}, Request.Number});
  // Only VMs with RateSharing::Priority report their demand and queue loans.
  if (Request.Demand.empty() || m_Sharing != RateSharing::Priority)
    return lend(From, Found->second, Request);
  queueLoan(From, Found->second, Request);
  distribute(Request.Account);
}

void RateShare::onTokenMessage(const VmId &From, const TokenGrant &Grant) {
  auto Found = m_Accounts.find(Grant.Account);
  if (Found == m_Accounts.end())
    return;
  AccountState &State = Found->second;
  if (!closeRequest(State, Grant.Number)) {
    m_Context.log(WriteLog::Level::Debug, "token_grant_dropped",
                  {{"account", Grant.Account.value()}, {"vm", From.value()}});
    return;
  }
  bool Expected = State.PendingLender == From;
  if (Expected)
    State.PendingLender.reset();
  Lender &Entry = State.Lenders[From];
  Entry.LeftMilliTokens = Grant.LeftMilliTokens;
  available(State); // Drops expired borrowed tokens.
  State.Borrowed = State.Borrowed + fromMilli(Grant.MilliTokens);
  State.BorrowedAt = m_Context.now();
  if (m_Sharing == RateSharing::Priority) {
    if (Expected)
      onGrantByPriority(From, State, Grant);
  } else {
    bool Empty = Grant.LeftMilliTokens < toMilli(OneToken);
    Entry.RefusedPriority = 0;
    Entry.NotBefore =
        m_Context.now() + (Empty ? EmptyLenderBackoff : Duration(0));
  }
  admitPending(Grant.Account);
}

} // namespace bergamotstage::ratelimit
