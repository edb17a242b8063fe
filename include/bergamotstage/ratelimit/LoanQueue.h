#ifndef BERGAMOTSTAGE_RATELIMIT_LOANQUEUE_H
#define BERGAMOTSTAGE_RATELIMIT_LOANQUEUE_H

#include "bergamotstage/core/Ids.h"
#include "bergamotstage/core/Time.h"
#include "bergamotstage/ratelimit/TokenDemand.h"

#include <cstdint>
#include <map>
#include <vector>

namespace bergamotstage::ratelimit {

/// @brief Requests of other VMs for tokens of one account, most urgent first.
class LoanQueue {
public:
  /// @brief Operations of one priority at one VM.
  struct Entry {
    VmId From;
    unsigned Priority = 0;
    std::uint64_t Count = 0;
    Instant Deadline{};
    std::uint64_t Request = 0; ///< Its number, for the answer.
  };
  /// @brief A request that gets an answer.
  struct Finished {
    VmId From;
    std::uint64_t Request = 0;
  };

  /// @brief Replaces the entries of a VM by those of its latest request.
  void replace(const VmId &From, const std::vector<WaitingOperations> &Waiting,
               Instant Now, std::uint64_t Request = 0);
  /// @brief Removes all entries of a VM, which gets an answer.
  void erase(const VmId &From);
  /// @brief Removes the entries for which a predicate holds.
  /// @return VMs that have no entry left, which get an answer
  template <class Predicate>
  std::vector<Finished> eraseIf(const Predicate &IsHopeless);

  bool empty() const { return m_Entries.empty(); }
  const Entry &front() const { return m_Entries.front(); }
  const std::vector<Entry> &entries() const { return m_Entries; }

private:
  bool contains(const VmId &From) const;

  std::vector<Entry> m_Entries; ///< By priority, then by deadline.
};

template <class Predicate>
std::vector<LoanQueue::Finished>
LoanQueue::eraseIf(const Predicate &IsHopeless) {
  std::vector<Entry> Kept;
  std::map<VmId, std::uint64_t> Affected;
  for (const Entry &Next : m_Entries) {
    if (IsHopeless(Next))
      Affected[Next.From] = Next.Request;
    else
      Kept.push_back(Next);
  }
  m_Entries = std::move(Kept);
  std::vector<Finished> Result;
  for (const auto &[Vm, Request] : Affected)
    if (!contains(Vm))
      Result.push_back({Vm, Request});
  return Result;
}

} // namespace bergamotstage::ratelimit

#endif // BERGAMOTSTAGE_RATELIMIT_LOANQUEUE_H
