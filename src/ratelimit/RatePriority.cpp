#include "bergamotstage/ratelimit/RateShare.h"

#include "bergamotstage/ratelimit/detail/Limits.h"
#include "bergamotstage/ratelimit/detail/Tokens.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

// RateSharing::Priority: where an account asks for more than its rate, its
// tokens go to the most urgent operations of all VMs. The holders of its slots
// know the demand, as every borrower reports its own with each request.

namespace bergamotstage::ratelimit {

using namespace detail;
using pooling::TokenGrant;
using pooling::TokenRequest;

namespace {

/// Part of the latency target that an operation may wait for a token. The rest
/// is left for the queue and the work at the target, and for one retry.
constexpr double TokenWaitFraction = 0.4;
/// The same while the rate does not cover the priority's demand: most of these
/// operations are refused, and a retry needs time as well.
constexpr double OverRateWaitFraction = 0.25;
constexpr Duration MaxTokenWait = milliseconds(250);
/// A holder that had no token is passed over for this time if there are others.
constexpr Duration RefusedLenderBackoff = milliseconds(50);
/// Requests without a token, of different holders, until it is refused.
constexpr unsigned MaxRefusedRequests = 2;
/// Tokens that are kept for more urgent operations: their demand in this time,
/// which is a few round trips, and one for an arrival before the next token is
/// earned. At most this part of the burst is kept.
constexpr double ReservedSeconds = 0.1;
constexpr double MinReserved = 1;
constexpr double MaxReservedPart = 0.5;
/// A bucket for fewer tokens than this lends parts of a token: borrowers add
/// up what several holders of a small account give.
constexpr std::int64_t SmallBucketParts = 4;
/// Tokens that have been saved up are spent over this time.
constexpr double BurstSeconds = 1;
/// Operations per second up to which an account is not reported as over its
/// rate: single operations look like a high demand.
constexpr double MinReportedDemand = 10;
/// Spreads the retries of operations that were refused together.
constexpr double RetryJitter = 0.25;

Duration tokenWait(const Urgency &Need, bool Covered) {
  double Fraction = Covered ? TokenWaitFraction : OverRateWaitFraction;
  return std::clamp(scaled(Need.LatencyTarget, Fraction), LoanWait,
                    MaxTokenWait);
}

} // namespace

/// @brief Tokens of this VM's bucket that more urgent operations will need.
TokenCount RateShare::reservedAbove(AccountState &State, unsigned Priority) {
  if (m_Sharing != RateSharing::Priority)
    return {};
  double Above = 0;
  for (const auto &[Level, Rate] : State.Fleet.total(m_Context.now()))
    if (Level < Priority)
      Above += Rate;
  if (Above <= 0)
    return {};
  TokenCount Wanted = tokens((State.OverRate ? MinReserved : 0) +
                             Above * State.OwnShare * ReservedSeconds);
  TokenCount Burst = State.Bucket.contract().Burst;
  TokenCount Most{static_cast<std::int64_t>(static_cast<double>(Burst.Pico) *
                                            MaxReservedPart)};
  // A full bucket serves any operation.
  return std::max(TokenCount{},
                  std::min({Wanted, Most, Burst - std::min(Burst, OneToken)}));
}

/// @brief Least amount that this VM lends: one token, or a part of it if the
/// account is so small that its bucket holds only a few.
TokenCount RateShare::tokenUnit(const AccountState &State) {
  return std::min(OneToken, TokenCount{State.Bucket.contract().Burst.Pico /
                                       SmallBucketParts});
}

/// @brief Tokens per second of the account that holders within reach can give,
/// and what is saved up, spent over a second.
double RateShare::spendableRate(AccountState &State) {
  double Share = 0;
  for (const auto &[Holder, Part] : State.HolderShares)
    if (Holder == m_Context.self() || m_IsReachable(Holder))
      Share += Part;
  double Saved = static_cast<double>(toMilli(ownTokens(State))) / MilliPerToken;
  double SavedOfAll =
      State.OwnShare > 0 ? Saved * std::min(1.0, Share) / State.OwnShare : 0;
  return State.Contract.Rate * Share + SavedOfAll / BurstSeconds;
}

std::vector<PriorityShare> RateShare::currentShares(const AccountId &Id,
                                                    AccountState &State) {
  const std::map<unsigned, double> &Demand = State.Fleet.total(m_Context.now());
  double Rate = spendableRate(State);
  std::vector<PriorityShare> Shares = servableShares(Demand, Rate);
  double Wanted = 0;
  for (const auto &[Priority, Operations] : Demand)
    Wanted += Operations;
  bool OverRate = Wanted > std::max(Rate, MinReportedDemand);
  if (OverRate == State.OverRate)
    return Shares;
  State.OverRate = OverRate;
  m_Context.log(
      WriteLog::Level::Info,
      OverRate ? "account_over_rate" : "account_within_rate",
      {{"account", Id.value()},
       {"demand", std::to_string(std::lround(Wanted))},
       {"spendable", std::to_string(std::lround(Rate))},
       {"contract", std::to_string(std::lround(State.Contract.Rate))}});
  return Shares;
}

/// @brief Time in which the account's rate covers the operations of one second
/// that it does not cover now.
Duration RateShare::retryAfterShare(AccountState &State, unsigned Priority) {
  double Part =
      static_cast<double>(State.Filter.share(Priority, m_Context.now())) /
      PriorityShare::All;
  Duration Base = Part > 0 ? scaled(seconds(1), std::min(10.0, 1 / Part - 1))
                           : MaxRetryAfter;
  // A VM without slots never earns a token itself.
  Duration Earliest =
      isHolder(State) ? timeUntilToken(State) : retryAfter(State);
  Base = std::clamp(std::max(Base, Earliest), MinRetryAfter, MaxRetryAfter);
  std::uniform_real_distribution<double> Spread(1 - RetryJitter,
                                                1 + RetryJitter);
  return scaled(Base, Spread(m_Context.random()));
}

void RateShare::admitByPriority(const AccountId &Id, AccountState &State,
                                const Urgency &Need, AdmitCallback Callback) {
  Instant Now = m_Context.now();
  if (isHolder(State)) {
    State.Fleet.report(m_Context.self(), State.Demand.rates(Now), Now);
    State.Filter.update(currentShares(Id, State), Now);
  }
  bool Covered = State.Filter.share(Need.Priority, Now) >= PriorityShare::All;
  PendingAdmission Asking{Need, Now, Now + tokenWait(Need, Covered), 0,
                          std::move(Callback)};
  if (!State.Filter.admits(Need, Now))
    return finish(Asking, Id, {false, retryAfterShare(State, Need.Priority)});
  bool First = State.Pending.empty() ||
               Need.Priority < State.Pending.front().Need.Priority;
  bool LoanFirst =
      !State.Loans.empty() && State.Loans.front().Priority < Need.Priority;
  if (First && !LoanFirst && consumeToken(State, Need.Priority)) {
    finish(Asking, Id, {true, {}});
    if (State.Pending.empty() && !isHolder(State))
      requestByPriority(Id, State);
    return;
  }
  insertPending(Id, State, std::move(Asking));
  distribute(Id);
}

/// @brief Queues an operation by priority; retries precede new operations. The
/// least urgent one is refused if too many wait.
void RateShare::insertPending(const AccountId &Id, AccountState &State,
                              PendingAdmission Waiting) {
  auto Place = std::upper_bound(
      State.Pending.begin(), State.Pending.end(), Waiting,
      [](const PendingAdmission &Left, const PendingAdmission &Right) {
        if (Left.Need.Priority != Right.Need.Priority)
          return Left.Need.Priority < Right.Need.Priority;
        if (Left.Need.IsRetry != Right.Need.IsRetry)
          return Left.Need.IsRetry;
        return Left.Deadline < Right.Deadline;
      });
  State.Pending.insert(Place, std::move(Waiting));
  if (State.Pending.size() <= MaxPending)
    return;
  PendingAdmission Last = std::move(State.Pending.back());
  State.Pending.pop_back();
  Duration RetryAfter = retryAfterShare(State, Last.Need.Priority);
  finish(Last, Id, {false, RetryAfter});
}

/// @brief Gives the available tokens to the most urgent operations of this VM
/// and of those that borrow from it.
void RateShare::distribute(const AccountId &Id) {
  AccountState &State = m_Accounts.at(Id);
  std::vector<PendingAdmission> Admitted;
  admitBorrowed(State, Admitted);
  spendOwnTokens(Id, State, Admitted);
  refuseHopelessLoans(Id, State);
  if (!State.Pending.empty())
    requestByPriority(Id, State);
  for (PendingAdmission &Next : Admitted)
    finish(Next, Id, {true, {}});
  refuseExpired(Id, State);
  scheduleDistribution(Id, State);
}

void RateShare::admitBorrowed(AccountState &State,
                              std::vector<PendingAdmission> &Done) {
  available(State); // Drops expired borrowed tokens.
  while (!State.Pending.empty() && !(State.Borrowed < OneToken)) {
    State.Borrowed = State.Borrowed - OneToken;
    Done.push_back(std::move(State.Pending.front()));
    State.Pending.pop_front();
  }
}

void RateShare::spendOwnTokens(const AccountId &Id, AccountState &State,
                               std::vector<PendingAdmission> &Done) {
  while (!State.Pending.empty() || !State.Loans.empty()) {
    bool LoanFirst =
        State.Pending.empty() ||
        (!State.Loans.empty() &&
         State.Loans.front().Priority < State.Pending.front().Need.Priority);
    if (!LoanFirst) {
      if (!consumeToken(State, State.Pending.front().Need.Priority))
        return;
      Done.push_back(std::move(State.Pending.front()));
      State.Pending.pop_front();
      continue;
    }
    LoanQueue::Entry Next = State.Loans.front();
    TokenCount Reserve = reservedAbove(State, Next.Priority);
    TokenCount Own = ownTokens(State);
    if (Own < tokenUnit(State) + Reserve || Own == TokenCount{})
      return;
    std::uint64_t Whole = toMilli(Own - Reserve) / toMilli(OneToken);
    grantLoan(Id, State, {Next.From, Next.Request},
              Whole == 0 ? toMilli(Own - Reserve)
                         : std::min(Whole, Next.Count) * toMilli(OneToken));
  }
}

/// @brief Answers the request of a VM; its other operations ask again.
void RateShare::grantLoan(const AccountId &Id, AccountState &State,
                          const LoanQueue::Finished &To,
                          std::uint64_t MilliTokens) {
  State.Loans.erase(To.From);
  State.Bucket.tryTake(fromMilli(MilliTokens), m_Context.now());
  TokenGrant Grant;
  Grant.Account = Id;
  Grant.Number = To.Request;
  Grant.MilliTokens = MilliTokens;
  Grant.LeftMilliTokens = State.Loans.empty() && State.Pending.empty()
                              ? toMilli(ownTokens(State))
                              : 0;
  Grant.Shares = currentShares(Id, State);
  m_Send(To.From, std::move(Grant));
}

/// @brief Refuses requests whose turn cannot come in time.
void RateShare::refuseHopelessLoans(const AccountId &Id, AccountState &State) {
  if (State.Loans.empty())
    return;
  Instant Now = m_Context.now();
  TokenCount Ahead{};
  std::vector<LoanQueue::Finished> Refused =
      State.Loans.eraseIf([&](const LoanQueue::Entry &Next) {
        TokenCount Needed =
            Ahead + tokenUnit(State) + reservedAbove(State, Next.Priority);
        bool Hopeless =
            Next.Deadline <= Now || Now >= m_LeaseEnd || !isHolder(State) ||
            Next.Deadline < Now + State.Bucket.timeUntil(Needed, Now);
        if (!Hopeless)
          Ahead = Ahead + fromMilli(Next.Count * toMilli(OneToken));
        return Hopeless;
      });
  for (const LoanQueue::Finished &Each : Refused)
    grantLoan(Id, State, Each, 0);
}

void RateShare::refuseExpired(const AccountId &Id, AccountState &State) {
  Instant Now = m_Context.now();
  bool NoTokensExpected =
      !State.PendingLender && (!isHolder(State) || Now >= m_LeaseEnd);
  std::vector<PendingAdmission> Refused;
  for (auto Next = State.Pending.begin(); Next != State.Pending.end();) {
    bool Hopeless = NoTokensExpected || Next->Deadline <= Now ||
                    Next->RefusedRequests >= MaxRefusedRequests;
    if (!Hopeless) {
      ++Next;
      continue;
    }
    Refused.push_back(std::move(*Next));
    Next = State.Pending.erase(Next);
  }
  for (PendingAdmission &Ended : Refused) {
    Duration RetryAfter = retryAfterShare(State, Ended.Need.Priority);
    finish(Ended, Id, {false, RetryAfter});
  }
}

/// @brief Wakes this VM up when the next operation gets a token or expires.
void RateShare::scheduleDistribution(const AccountId &Id, AccountState &State) {
  if (State.WakeTimer)
    m_Context.timers().cancel(*State.WakeTimer);
  State.WakeTimer.reset();
  if (State.Pending.empty() && State.Loans.empty())
    return;
  Instant Now = m_Context.now();
  Instant Next = Instant::max();
  unsigned Priority = ~0U;
  for (const PendingAdmission &Waiting : State.Pending)
    Next = std::min(Next, Waiting.Deadline);
  for (const LoanQueue::Entry &Waiting : State.Loans.entries())
    Next = std::min(Next, Waiting.Deadline);
  if (!State.Pending.empty())
    Priority = State.Pending.front().Need.Priority;
  if (!State.Loans.empty())
    Priority = std::min(Priority, State.Loans.front().Priority);
  if (isHolder(State) && Now < m_LeaseEnd)
    Next = std::min(
        Next,
        Now + State.Bucket.timeUntil(
                  tokenUnit(State) + reservedAbove(State, Priority), Now));
  if (State.PendingLender && !State.Pending.empty())
    Next = std::min(Next, State.LostAt);
  Next = std::max(Next, Now + milliseconds(1));
  State.WakeTimer = m_Context.timers().schedule(Next, [this, Id] {
    m_Accounts.at(Id).WakeTimer.reset();
    distribute(Id);
  });
}

std::vector<WaitingOperations>
RateShare::waitingOperations(const AccountState &State) const {
  std::vector<WaitingOperations> Groups;
  for (const PendingAdmission &Next : State.Pending) {
    Duration Left = std::max(Duration(0), Next.Deadline - m_Context.now());
    if (Groups.empty() || Groups.back().Priority != Next.Need.Priority)
      Groups.push_back({Next.Need.Priority, 0, Duration(0)});
    ++Groups.back().Count;
    Groups.back().MaxWait = std::max(Groups.back().MaxWait, Left);
  }
  return Groups;
}

/// @brief Asks a holder for the tokens of the waiting operations, or for some
/// in advance while the account is within its rate.
///
/// A request stays with its holder until it is answered; a more urgent
/// operation updates it.
void RateShare::requestByPriority(const AccountId &Id, AccountState &State) {
  Instant Now = m_Context.now();
  bool Lost = State.PendingLender && State.LostAt <= Now;
  if (Lost) {
    State.Lenders[*State.PendingLender] = {Now + LoanRequestTimeout, 0, 0};
    State.PendingLender.reset();
  }
  std::vector<WaitingOperations> Waiting = waitingOperations(State);
  bool MoreUrgent =
      !Waiting.empty() && Waiting.front().Priority < State.RequestedPriority;
  if (State.PendingLender && !MoreUrgent)
    return;
  double Demand = State.Demand.total(Now);
  std::vector<PriorityDemand> Levels = State.Demand.rates(Now);
  bool WithinRate = true;
  for (const PriorityDemand &Level : Levels)
    WithinRate = WithinRate &&
                 State.Filter.share(Level.Priority, Now) >= PriorityShare::All;
  bool Prefetches =
      WithinRate && Demand >= MinPrefetchDemand &&
      available(State) < tokens(Demand * BorrowedDemandSeconds / 2);
  if (Waiting.empty() && !Prefetches)
    return;
  unsigned Priority = Waiting.empty() ? ~0U : Waiting.front().Priority;
  std::optional<VmId> Lender =
      State.PendingLender ? State.PendingLender : chooseLender(State, Priority);
  if (!Lender)
    return;
  double Needed = static_cast<double>(State.Pending.size()) +
                  (Prefetches ? Demand * BorrowedDemandSeconds : 0);
  State.PendingLender = Lender;
  State.RequestedAt = Now;
  State.LostAt = Now + LoanRequestTimeout;
  for (const WaitingOperations &Group : Waiting)
    State.LostAt =
        std::max(State.LostAt, Now + Group.MaxWait + LoanRequestTimeout);
  State.RequestedPriority = Priority;
  sendRequest(State, *Lender,
              TokenRequest{Id,
                           static_cast<std::uint64_t>(Needed * MilliPerToken),
                           std::move(Levels), std::move(Waiting)});
}

/// @brief Queues the request of another VM, or answers one for tokens in
/// advance.
void RateShare::queueLoan(const VmId &From, AccountState &State,
                          const TokenRequest &Request) {
  State.Fleet.report(From, Request.Demand, m_Context.now());
  State.Loans.replace(From, Request.Waiting, m_Context.now(), Request.Number);
  std::uint64_t Waiting = 0;
  for (const WaitingOperations &Group : Request.Waiting)
    Waiting += Group.Count * toMilli(OneToken);
  bool OnlyInAdvance = Request.Waiting.empty();
  if (!OnlyInAdvance && Request.MilliTokens <= Waiting)
    return;
  // Tokens in advance are given beyond what all reported demand will need.
  bool Idle =
      State.Pending.empty() &&
      std::all_of(
          State.Loans.entries().begin(), State.Loans.entries().end(),
          [&From](const LoanQueue::Entry &Next) { return Next.From == From; });
  TokenCount Reserve = reservedAbove(State, ~0U);
  TokenCount Own = ownTokens(State);
  std::uint64_t Spare = Idle && Reserve < Own ? toMilli(Own - Reserve) : 0;
  std::uint64_t Granted = std::min(Request.MilliTokens, Spare);
  bool CoversWaiting = Granted >= Waiting;
  if (OnlyInAdvance || CoversWaiting)
    grantLoan(Request.Account, State, {From, Request.Number}, Granted);
}

void RateShare::onGrantByPriority(const VmId &From, AccountState &State,
                                  const TokenGrant &Grant) {
  Instant Now = m_Context.now();
  State.Filter.update(Grant.Shares, Now);
  if (Grant.MilliTokens >= toMilli(OneToken))
    return;
  Lender &Entry = State.Lenders[From];
  Entry.NotBefore = Now + RefusedLenderBackoff;
  Entry.RefusedPriority = State.RequestedPriority;
  // Holders of a small account give what they have; parts add up to a token.
  if (Grant.MilliTokens > 0)
    return;
  for (PendingAdmission &Waiting : State.Pending)
    if (Waiting.Since <= State.RequestedAt)
      ++Waiting.RefusedRequests;
}

} // namespace bergamotstage::ratelimit
