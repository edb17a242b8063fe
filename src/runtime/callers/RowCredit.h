#ifndef BERGAMOTSTAGE_RUNTIME_CALLERS_ROWCREDIT_H
#define BERGAMOTSTAGE_RUNTIME_CALLERS_ROWCREDIT_H

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <utility>

namespace bergamotstage::runtime {

/// @brief Flow control: bounds the in-flight row bytes of one statement.
///
/// The thread that reads rows from the target acquires credit before it sends
/// them; the thread that writes them to the caller releases it afterwards. A
/// slow caller therefore stops only the reading of its own statement.
/// Thread-safe.
class RowCredit {
public:
  /// @brief Limit for the in-flight bytes of one statement.
  static constexpr std::size_t WindowBytes = std::size_t{256} << 10U;

  /// @param Resume called on the releasing thread when a failed acquire() may
  /// succeed; must not block
  explicit RowCredit(std::function<void()> Resume)
      : m_Resume(std::move(Resume)) {}

  /// @brief Acquires credit. Succeeds while less than the window is in use,
  /// so that a row of any size can pass.
  /// @return false if the window is exhausted; Resume is called later
  bool acquire(std::size_t Bytes) {
    if (tryAcquire(Bytes))
      return true;
    m_Stalled.store(true);
    // Credit that was released before the flag was set would be missed.
    if (!tryAcquire(Bytes))
      return false;
    m_Stalled.store(false);
    return true;
  }

  /// @brief Releases credit.
  void release(std::size_t Bytes) {
    std::size_t Remaining = m_InFlightBytes.fetch_sub(Bytes) - Bytes;
    if (Remaining < WindowBytes && m_Stalled.exchange(false))
      m_Resume();
  }

  /// @brief Returns the number of in-flight bytes.
  std::size_t inFlightBytes() const { return m_InFlightBytes.load(); }

private:
  bool tryAcquire(std::size_t Bytes) {
    if (m_InFlightBytes.load() >= WindowBytes)
      return false;
    m_InFlightBytes.fetch_add(Bytes);
    return true;
  }

  std::function<void()> m_Resume;
  std::atomic<std::size_t> m_InFlightBytes{0};
  std::atomic<bool> m_Stalled{false};
};

using SharedCredit = std::shared_ptr<RowCredit>;

/// @brief Called with the number of row bytes written to the caller.
using RowsDelivered = std::function<void(std::size_t)>;
using SharedRowsDelivered = std::shared_ptr<const RowsDelivered>;

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_CALLERS_ROWCREDIT_H
