#include "bergamotstage/target/PrimaryWaitQueue.h"

#include <algorithm>
#include <utility>

namespace bergamotstage {
namespace {

constexpr Duration NoPrimaryRetryAfter = seconds(2);

} // namespace

Refusal PrimaryWaitQueue::noPrimaryRefusal(const std::string &Reason) {
  Refusal Refused;
  Refused.SqlState = sqlstate::CannotConnectNow;
  Refused.State = RunState::NotRun;
  Refused.Message = Reason;
  Refused.RetryAfter = NoPrimaryRetryAfter;
  return Refused;
}

void PrimaryWaitQueue::enqueue(const DatabaseId &Database, Instant Deadline,
                               Callback OnResult) {
  Entries &Waiting = m_Waiting[Database];
  if (Waiting.size() >= MaxWaiting)
    return OnResult(tl::make_unexpected(noPrimaryRefusal(
        std::to_string(MaxWaiting) +
        " statements already wait for the next primary of database '" +
        Database.value() + "'")));
  std::uint64_t Number = ++m_LastNumber;
  Instant Until = std::min(Deadline, m_Context.now() + MaxWait);
  TimerId Timer = m_Context.timers().schedule(
      Until, [this, Database, Number] { onTimeout(Database, Number); });
  Waiting.emplace(Number, Entry{std::move(OnResult), Timer});
}

void PrimaryWaitQueue::onTimeout(const DatabaseId &Database,
                                 std::uint64_t Number) {
  Entries &Waiting = m_Waiting[Database];
  auto Found = Waiting.find(Number);
  if (Found == Waiting.end())
    return;
  Callback OnResult = std::move(Found->second.OnResult);
  Waiting.erase(Found);
  OnResult(tl::make_unexpected(noPrimaryRefusal(
      "no primary of database '" + Database.value() + "' was found in time")));
}

PrimaryWaitQueue::Entries
PrimaryWaitQueue::removeAll(const DatabaseId &Database) {
  Entries Removed;
  Removed.swap(m_Waiting[Database]);
  for (auto &[Number, Waiting] : Removed)
    m_Context.timers().cancel(Waiting.Timer);
  return Removed;
}

void PrimaryWaitQueue::releaseAll(const DatabaseId &Database) {
  for (auto &[Number, Waiting] : removeAll(Database))
    Waiting.OnResult({});
}

void PrimaryWaitQueue::refuseAll(const DatabaseId &Database,
                                 const std::string &Reason) {
  for (auto &[Number, Waiting] : removeAll(Database))
    Waiting.OnResult(tl::make_unexpected(noPrimaryRefusal(Reason)));
}

std::size_t PrimaryWaitQueue::waitingCount(const DatabaseId &Database) const {
  auto Found = m_Waiting.find(Database);
  return Found == m_Waiting.end() ? 0 : Found->second.size();
}

} // namespace bergamotstage
