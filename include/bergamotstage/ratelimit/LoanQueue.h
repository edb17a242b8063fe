#ifndef BERGAMOTSTAGE_RATELIMIT_LOANQUEUE_H
#define BERGAMOTSTAGE_RATELIMIT_LOANQUEUE_H

#include "bergamotstage/core/Ids.h"
#include "bergamotstage/core/Time.h"
#include "bergamotstage/ratelimit/TokenDemand.h"

#include <cstdint>
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
  };

  /// @brief Replaces the entries of a VM by those of its latest request.
  void replace(const VmId &From, const std::vector<WaitingOperations> &Waiting,
               Instant Now);
  /// @brief Removes all entries of a VM, which gets an answer.
  void erase(const VmId &From);
  /// @brief Removes the entries for which a predicate holds.
  /// @return VMs that have no entry left, which get an answer
  template <class Predicate>
  std::vector<VmId> eraseIf(const Predicate &IsHopeless);

  bool empty() const { return m_Entries.empty(); }
  const Entry &front() const { return m_Entries.front(); }
  const std::vector<Entry> &entries() const { return m_Entries; }

private:
  bool contains(const VmId &From) const;

  std::vector<Entry> m_Entries; ///< By priority, then by deadline.
};

template <class Predicate>
std::vector<VmId> LoanQueue::eraseIf(const Predicate &IsHopeless) {
  std::vector<Entry> Kept;
  std::vector<VmId> Affected;
  for (const Entry &Next : m_Entries) {
    if (IsHopeless(Next))
      Affected.push_back(Next.From);
    else
      Kept.push_back(Next);
  }
  m_Entries = std::move(Kept);
  std::vector<VmId> Finished;
  for (const VmId &Vm : Affected)
    if (!contains(Vm))
      Finished.push_back(Vm);
  return Finished;
}

} // namespace bergamotstage::ratelimit

#endif // BERGAMOTSTAGE_RATELIMIT_LOANQUEUE_H
