#include "bergamotstage/pooling/TargetPool.h"

#include <algorithm>
#include <utility>

// The part of TargetPool that asks admission::TargetQueue for its decisions.

namespace bergamotstage::pooling {
namespace {

/// Bounds the queue's memory; operations beyond it would miss their deadline.
constexpr std::size_t MaxWaiting = 512;
/// Weight of the newest sample in the mean slot time.
constexpr double ServiceTimeWeight = 0.05;
/// Part of the connections that one account may hold, so that callers that rest
/// in transactions leave some to the others.
constexpr unsigned AccountLinkDivisor = 2;
constexpr unsigned MinAccountLinks = 2;
/// A statement that has run longer than expected ends soon.
constexpr Duration MinRemainingTime = milliseconds(1);

} // namespace

admission::WorkKind TargetPool::workKind(const OperationRequest &Request) {
  const Statement &Stmt = Request.First;
  admission::WorkClass Class = Stmt.Kind == Verb::Commit
                                   ? admission::WorkClass::Commit
                               : Stmt.writes() ? admission::WorkClass::Write
                                               : admission::WorkClass::Read;
  return {Request.Route, Class};
}

Duration TargetPool::expectedWait() const {
  return scaled(seconds(1), m_ServiceSeconds * waitingCount() / workingSlots());
}

/// @brief Waiting operations in the order in which they should run.
/// @param Entries receives them; WaitingWork::Key is an index of it
std::vector<admission::WaitingWork>
TargetPool::sortedWaiting(std::vector<QueueEntry *> &Entries) {
  std::vector<admission::WaitingWork> Waiting;
  for (auto &[Id, Operation] : m_Operations) {
    if (Operation.State != Phase::Waiting)
      continue;
    Waiting.push_back({Entries.size(), Operation.Request.Account,
                       Operation.Request.Priority, workKind(Operation.Request),
                       Operation.WaitingSince, Operation.Deadline,
                       Operation.AssignedLink.has_value(),
                       Operation.ArrivalNumber});
    Entries.push_back(&Operation);
  }
  m_Queue.sort(Waiting);
  return Waiting;
}

/// @brief Why a new operation must not be queued.
std::optional<NotRunReason>
TargetPool::admissionFault(const OperationRequest &Request) const {
  if (!usesUrgency()) {
    bool Full =
        m_Operations.size() >= MaxWaiting || expectedWait() > Request.QueueTime;
    return Full ? std::optional(NotRunReason::Overloaded) : std::nullopt;
  }
  if (waitingCount() >= MaxWaiting)
    return NotRunReason::Overloaded;
  bool TooManyTransactions =
      isTransaction(Request.Mode) &&
      openTransactions(Request.Account) >= accountLinkLimit();
  if (TooManyTransactions)
    return NotRunReason::AccountLimit;
  return std::nullopt;
}

unsigned TargetPool::accountLinkLimit() const {
  return std::max(MinAccountLinks, m_Limits.MaxLinks / AccountLinkDivisor);
}

unsigned TargetPool::openTransactions(const AccountId &Account) const {
  return static_cast<unsigned>(std::count_if(
      m_Operations.begin(), m_Operations.end(), [&Account](const auto &Entry) {
        const QueueEntry &Operation = Entry.second;
        return Operation.AssignedLink && Operation.Request.Account == Account &&
               isTransaction(Operation.Request.Mode);
      }));
}

/// @brief Expected time until one of the running statements ends.
Duration TargetPool::timeUntilSlot() const {
  if (m_SlotsUsed < usableSlots())
    return Duration(0);
  std::optional<Duration> Soonest;
  for (const auto &[Id, Operation] : m_Operations) {
    if (Operation.State != Phase::Running)
      continue;
    Duration Expected = scaled(
        seconds(1), m_Queue.slotTimes().expected(workKind(Operation.Request)));
    Duration Left = std::max(MinRemainingTime,
                             Operation.SentAt + Expected - m_Context.now());
    Soonest = Soonest ? std::min(*Soonest, Left) : Left;
  }
  return Soonest.value_or(MinRemainingTime);
}

/// @brief Removes statements that wait for a link, because transactions of
/// their account hold all that it may have: they delay no others.
void TargetPool::removeBlocked(std::vector<admission::WaitingWork> &Waiting) {
  std::map<AccountId, unsigned> Transactions;
  for (const auto &[Id, Operation] : m_Operations)
    if (Operation.AssignedLink && isTransaction(Operation.Request.Mode))
      ++Transactions[Operation.Request.Account];
  Waiting.erase(std::remove_if(Waiting.begin(), Waiting.end(),
                               [&](const admission::WaitingWork &Work) {
                                 return !Work.HoldsLink &&
                                        Transactions[Work.Account] >=
                                            accountLinkLimit();
                               }),
                Waiting.end());
}

/// @brief Refuses the waiting operations that cannot start in time.
void TargetPool::refuseHopeless() {
  if (!usesUrgency())
    return;
  std::vector<QueueEntry *> Entries;
  std::vector<admission::WaitingWork> Sorted = sortedWaiting(Entries);
  removeBlocked(Sorted);
  if (Sorted.empty())
    return;
  std::vector<std::pair<OperationId, Duration>> Refused;
  for (const admission::HopelessWork &Work : m_Queue.findHopeless(
           Sorted, m_Context.now(), workingSlots(), timeUntilSlot()))
    Refused.emplace_back(Entries[Work.Key]->Request.Id, Work.ExpectedWait);
  for (const auto &[Id, ExpectedWait] : Refused)
    rejectOperation(Id, NotRunReason::TooLate, ExpectedWait);
}

/// @brief Charges a statement that starts to the fair share of its account.
void TargetPool::chargeSlotTime(QueueEntry &Next) {
  const AccountId &Account = Next.Request.Account;
  if (!usesUrgency()) {
    Next.ChargedSeconds = m_ServiceSeconds;
    return m_Queue.shares().charge(Account, m_ServiceSeconds);
  }
  Next.ChargedSeconds = m_Queue.slotTimes().expected(workKind(Next.Request));
  double Backlog = m_Queue.shares().startTag(Account);
  for (const auto &[Id, Operation] : m_Operations)
    if (Operation.State == Phase::Waiting)
      Backlog = std::min(Backlog,
                         m_Queue.shares().startTag(Operation.Request.Account));
  m_Queue.shares().charge(Account, Next.ChargedSeconds, Backlog);
}

/// @param WasBusy the target did not run the statement, which says nothing
/// about the time that one takes
void TargetPool::recordSlotTime(const QueueEntry &Ended, Duration Held,
                                bool WasBusy) {
  double Seconds = toSeconds(Held);
  m_ServiceSeconds += ServiceTimeWeight * (Seconds - m_ServiceSeconds);
  if (!WasBusy)
    m_Queue.slotTimes().record(workKind(Ended.Request), Held);
  if (usesUrgency())
    m_Queue.shares().correct(Ended.Request.Account, Ended.ChargedSeconds,
                             Seconds);
}

} // namespace bergamotstage::pooling
