#ifndef BERGAMOTSTAGE_RUNTIME_TARGETS_TARGETLINK_H
#define BERGAMOTSTAGE_RUNTIME_TARGETS_TARGETLINK_H

#include "runtime/Commands.h"

#include <asio.hpp>
#include <libpq-fe.h>

#include <memory>
#include <optional>
#include <string>

namespace bergamotstage::runtime {

/// @brief The proxy's own credentials for targets; never a caller's key.
struct TargetCredentials {
  std::string User;
  std::string Password;
};

/// @brief One non-blocking libpq connection to a target.
///
/// Used on the target thread only. Rows are passed directly to the caller
/// thread; the decision thread receives only the result of the statement.
class TargetLink : public std::enable_shared_from_this<TargetLink> {
public:
  TargetLink(asio::io_context &Io, LinkId Id, EventSink Events,
             ChunkSink Chunks);
  ~TargetLink();
  TargetLink(const TargetLink &) = delete;
  TargetLink &operator=(const TargetLink &) = delete;

  void open(const OpenLink &Command, const TargetCredentials &Credentials);
  void run(const RunStatement &Command);
  void run(const RunInternal &Command);

  /// @brief Closes the connection; no event follows.
  void close();

private:
  void pollConnect();
  void startQuery(bool Sent);
  void flushOutput();
  void waitReadable();
  void readResults();
  bool readAvailable();
  bool handleResult(PGresult *Result);
  bool queueRows(const PGresult *Result);
  bool sendChunk(bool Last);
  void sendDescribe(const StatementBody &Body);
  void describePrepared();
  void appendDescription(const PGresult *Result);
  SharedCredit makeCredit();
  void resume();
  void storeCells(const PGresult *Result);
  void storeError(const PGresult *Result);
  void finish();
  void fail(const std::string &Reason);
  void scheduleRetry();

  asio::io_context &m_Io;
  LinkId m_Id;
  EventSink m_Events;
  ChunkSink m_Chunks;
  asio::steady_timer m_Retry;
  PGconn *m_Connection = nullptr;
  std::optional<asio::posix::stream_descriptor> m_Descriptor;
  bool m_Closed = false;
  bool m_Busy = false;
  bool m_Internal = false;
  bool m_ColumnsSent = false; ///< Also set if no columns are needed.
  bool m_Describing = false;  ///< The statement is only described.
  bool m_Prepared = false;    ///< Describing: the statement is prepared.
  SharedBody m_Body;
  SharedCredit m_Credit;
  SharedRowsDelivered m_OnDelivered;
  CallerId m_Caller;
  LinkAnswered m_Answer;
  std::string m_PendingRows;      ///< Encoded rows that are not sent yet.
  bool m_ResultsComplete = false; ///< libpq has returned all results.
  bool m_Stalled = false;         ///< Reading waits until rows can be sent.
};

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_TARGETS_TARGETLINK_H
