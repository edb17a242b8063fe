#include "runtime/site/TableFollower.h"

#include <algorithm>
#include <utility>

namespace bergamotstage::runtime {
namespace {

/// A reply usually takes a few milliseconds; a slow store takes hundreds.
constexpr Duration AnswerTimeout = milliseconds(900);
constexpr unsigned MaxDoublings = 4;
constexpr unsigned HttpOk = 200;

/// @brief Describes a call that failed or was refused.
std::string failureReason(unsigned Status, const std::string &Body) {
  return Status == 0 ? Body : "status " + std::to_string(Status);
}

} // namespace

TableFollower::TableFollower(asio::io_context &Io, const std::string &Address,
                             std::string Table, Duration PollTimeout,
                             Hooks Callbacks)
    : m_Timer(Io), m_Client(std::make_unique<HttpClient>(Io, Address)),
      m_RefreshClient(std::make_unique<HttpClient>(Io, Address)),
      m_Table(std::move(Table)), m_PollTimeout(PollTimeout),
      m_Hooks(std::move(Callbacks)) {}

void TableFollower::setFollowing(const pooling::StoreReaders::Following &How) {
  m_Following = How;
  if (m_Following.Active && !m_Scheduled)
    return startNextCall();
  auto Latest = std::chrono::steady_clock::now() + m_Following.MaxRetry;
  if (m_RetryPending && m_Timer.expiry() > Latest)
    scheduleRetry(m_Following.MaxRetry);
}

void TableFollower::startNextCall() {
  m_Scheduled = m_Following.Active || !m_Listed;
  if (!m_Scheduled)
    return;
  if (m_Synchronized)
    return waitForChanges();
  m_Rows.clear();
  readPages("");
}

void TableFollower::scheduleRetry(Duration Delay) {
  m_RetryPending = true;
  m_Timer.expires_after(Delay);
  // A timer that has already expired cannot be cancelled.
  m_Timer.async_wait(
      [this, Number = ++m_RetryNumber](std::error_code Cancelled) {
        if (Cancelled || Number != m_RetryNumber)
          return;
        m_RetryPending = false;
        startNextCall();
      });
}

void TableFollower::onFailed(const std::string &Reason) {
  if (m_Reachable)
    m_Hooks.Reachable(false, Reason);
  m_Reachable = false;
  unsigned Doublings = std::min(m_Failures, MaxDoublings);
  ++m_Failures;
  scheduleRetry(std::min(m_Following.MaxRetry,
                         m_Following.FirstRetry * (1 << Doublings)));
}

void TableFollower::onAnswered() {
  if (!m_Reachable)
    m_Hooks.Reachable(true, "answered");
  m_Reachable = true;
  m_Failures = 0;
  m_Hooks.Answered();
}

void TableFollower::readPages(const std::string &AfterKey) {
  m_Client->call(platform::readTable(m_Table, AfterKey), AnswerTimeout,
                 [this, AfterKey](unsigned Status, const std::string &Body) {
                   if (Status != HttpOk)
                     return onFailed(failureReason(Status, Body));
                   auto Parsed = platform::parseRows(Body);
                   if (!Parsed)
                     return onFailed(Parsed.error());
                   onAnswered();
                   // Later changes are reported again by the change feed.
                   if (AfterKey.empty())
                     m_Version = Parsed->Version;
                   m_Rows.insert(m_Rows.end(), Parsed->Rows.begin(),
                                 Parsed->Rows.end());
                   if (Parsed->HasMore && !Parsed->Rows.empty())
                     return readPages(Parsed->Rows.back().Key);
                   m_Synchronized = true;
                   m_Listed = true;
                   m_Hooks.Listed(m_Rows, m_Version);
                   m_Rows.clear();
                   startNextCall();
                 });
}

void TableFollower::waitForChanges() {
  m_Client->call(platform::awaitTableChanges(m_Table, m_Version, m_PollTimeout),
                 m_PollTimeout + AnswerTimeout,
                 [this](unsigned Status, const std::string &Body) {
                   if (Status == platform::HistoryGone) {
                     m_Synchronized = false;
                     onAnswered();
                     return startNextCall();
                   }
                   if (Status != HttpOk)
                     return onFailed(failureReason(Status, Body));
                   auto Parsed = platform::parseRows(Body);
                   if (!Parsed)
                     return onFailed(Parsed.error());
                   onAnswered();
                   m_Version = std::max(m_Version, Parsed->Version);
                   reportChanges(std::move(Parsed->Rows));
                   startNextCall();
                 });
}

void TableFollower::reportChanges(std::vector<platform::ListedRow> Rows) {
  // The store may list rows by key, but a change with a lower version than the
  // previous one is taken for an older state.
  std::stable_sort(Rows.begin(), Rows.end(),
                   [](const auto &Left, const auto &Right) {
                     return Left.Version < Right.Version;
                   });
  for (const platform::ListedRow &Row : Rows)
    m_Hooks.Changed(Row);
}

void TableFollower::refresh() {
  if (m_Refreshing)
    return;
  m_Refreshing = true;
  m_RefreshedRows = {};
  refreshPages("");
}

void TableFollower::refreshPages(const std::string &AfterKey) {
  auto Fail = [this](const std::string &Reason) {
    m_Refreshing = false;
    m_Hooks.RefreshFailed(Reason);
  };
  m_RefreshClient->call(
      platform::readTable(m_Table, AfterKey), AnswerTimeout,
      [this, AfterKey, Fail](unsigned Status, const std::string &Body) {
        if (Status != HttpOk)
          return Fail(failureReason(Status, Body));
        auto Parsed = platform::parseRows(Body);
        if (!Parsed)
          return Fail(Parsed.error());
        if (AfterKey.empty())
          m_RefreshedRows.Version = Parsed->Version;
        std::vector<platform::ListedRow> &All = m_RefreshedRows.Rows;
        All.insert(All.end(), Parsed->Rows.begin(), Parsed->Rows.end());
        if (Parsed->HasMore && !Parsed->Rows.empty())
          return refreshPages(All.back().Key);
        m_Refreshing = false;
        // Only a whole list shows what was removed.
        m_Hooks.Listed(All, m_RefreshedRows.Version);
      });
}

} // namespace bergamotstage::runtime
