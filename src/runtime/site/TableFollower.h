#ifndef BERGAMOTSTAGE_RUNTIME_SITE_TABLEFOLLOWER_H
#define BERGAMOTSTAGE_RUNTIME_SITE_TABLEFOLLOWER_H

#include "platform/StoreCodec.h"
#include "runtime/site/HttpClient.h"

#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace bergamotstage::runtime {

/// @brief Follows one table of the platform's store: reads it whole, then
/// waits for changes; reads it whole again when the history is gone.
class TableFollower {
public:
  struct Hooks {
    /// The whole table was read.
    std::function<void(const std::vector<platform::ListedRow> &)> Listed;
    std::function<void(const platform::ListedRow &)> Changed;
    /// The store was lost or regained.
    std::function<void(bool Reachable, const std::string &Reason)> Reachable;
    /// The store answered.
    std::function<void()> Answered;
  };

  /// @param Wait longest time that the store holds an answer back
  TableFollower(asio::io_context &Io, const std::string &Address,
                std::string Table, Duration Wait, Hooks Ask);

  void start() { step(); }
  /// @brief Goes on where it was, or waits for an answer and then stops.
  void setActive(bool Active);
  /// @brief Reads the whole table as soon as possible.
  void readNow();

private:
  void step();
  void readWhole(const std::string &AfterKey);
  void follow();
  void failed(const std::string &Reason);
  void answered();
  void later(Duration Span);

  asio::steady_timer m_Timer;
  std::unique_ptr<HttpClient> m_Client;
  std::unique_ptr<HttpClient> m_Extra; ///< For readNow() beside a wait.
  std::string m_Table;
  Duration m_Wait;
  Hooks m_Hooks;
  std::uint64_t m_Version = 0;
  bool m_Whole = false; ///< The table was read and m_Version holds.
  bool m_Active = true;
  bool m_Waiting = false; ///< A call or a timer will go on.
  bool m_Reachable = true;
  bool m_ReadingNow = false;
  unsigned m_Failures = 0;
  std::vector<platform::ListedRow> m_Pages;
};

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_SITE_TABLEFOLLOWER_H
