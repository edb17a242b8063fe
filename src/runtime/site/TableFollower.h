#ifndef BERGAMOTSTAGE_RUNTIME_SITE_TABLEFOLLOWER_H
#define BERGAMOTSTAGE_RUNTIME_SITE_TABLEFOLLOWER_H

#include "bergamotstage/pooling/StoreReaders.h"
#include "platform/StoreCodec.h"
#include "runtime/site/HttpClient.h"

#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace bergamotstage::runtime {

/// @brief Keeps track of one table of the store.
///
/// It reads the whole table once. While active it long-polls for changes and
/// reads the whole table again when the store no longer has the required
/// history.
class TableFollower {
public:
  struct Hooks {
    /// The whole table has been read, as of a version, also by refresh().
    std::function<void(const std::vector<platform::ListedRow> &,
                       std::uint64_t Version)>
        Listed;
    std::function<void(const platform::ListedRow &)> Changed;
    /// The store became reachable or unreachable.
    std::function<void(bool Reachable, const std::string &Reason)> Reachable;
    /// A call of refresh() read nothing.
    std::function<void(const std::string &Reason)> RefreshFailed;
    /// The store replied to a request.
    std::function<void()> Answered;
  };

  /// @param PollTimeout longest time that the store delays a reply without
  /// changes
  TableFollower(asio::io_context &Io, const std::string &Address,
                std::string Table, Duration PollTimeout, Hooks Callbacks);

  /// @brief Reads the whole table, also while inactive.
  void start() { startNextCall(); }
  /// @brief Resumes following, or stops after the pending call.
  void setFollowing(const pooling::StoreReaders::Following &How);
  /// @brief Reads the table at once, independently of polling.
  void refresh();

private:
  void startNextCall();
  void readPages(const std::string &AfterKey);
  void waitForChanges();
  /// @brief Reports changed rows in the order of their versions.
  void reportChanges(std::vector<platform::ListedRow> Rows);
  void refreshPages(const std::string &AfterKey);
  void onFailed(const std::string &Reason);
  void onAnswered();
  void scheduleRetry(Duration Delay);

  asio::steady_timer m_Timer;
  std::unique_ptr<HttpClient> m_Client;
  std::unique_ptr<HttpClient> m_RefreshClient; ///< Not blocked by polls.
  std::string m_Table;
  Duration m_PollTimeout;
  Hooks m_Hooks;
  std::uint64_t m_Version = 0;
  bool m_Synchronized = false; ///< Whether m_Version is valid.
  bool m_Listed = false;       ///< The table has been read since start().
  /// Until the first list, failed calls are repeated by these delays.
  pooling::StoreReaders::Following m_Following{false, milliseconds(250),
                                               milliseconds(1500)};
  bool m_Scheduled = false; ///< A call or timer is pending.
  bool m_RetryPending = false;
  std::uint64_t m_RetryNumber = 0;
  bool m_Reachable = true;
  bool m_Refreshing = false;
  unsigned m_Failures = 0;
  std::vector<platform::ListedRow> m_Rows;
  platform::ListedRows m_RefreshedRows;
};

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_SITE_TABLEFOLLOWER_H
