#ifndef BERGAMOTSTAGE_RUNTIME_CALLERS_CALLERSESSION_H
#define BERGAMOTSTAGE_RUNTIME_CALLERS_CALLERSESSION_H

#include "bergamotstage/request/Statement.h"
#include "bergamotstage/wire/Backend.h"
#include "bergamotstage/wire/Frontend.h"
#include "runtime/Commands.h"
#include "runtime/callers/CallerLimits.h"
#include "runtime/callers/CallerStream.h"
#include "runtime/callers/PreparedStatements.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bergamotstage::runtime {

/// @brief Callbacks and shared resources of the thread that owns a session.
struct SessionHooks {
  EventSink Events;
  std::function<StatementId()> NextStatementId;
  std::function<void(CallerId)> OnEnded;
  /// @brief Called for a request to cancel another session's statement.
  std::function<void(const wire::CancelRequest &)> OnCancel;
  asio::mutable_buffer Input;        ///< Shared by all sessions.
  asio::ssl::context *Tls = nullptr; ///< Null without TLS.
  TlsMode Mode = TlsMode::Off;
  CallerLimits Limits;
};

/// @brief A caller's connection in version 3 of the PostgreSQL protocol.
///
/// One statement runs at a time. Later bytes stay in the socket, which applies
/// backpressure to callers that send ahead.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
public:
  /// @param Secret authenticates cancel requests for this session
  CallerSession(asio::ip::tcp::socket Socket, CallerId Id, std::uint32_t Secret,
                Instant Now, SessionHooks Hooks);

  void start();

  void requestKey();
  void admit();
  void close(const Refusal &Reason);
  void reportParameter(const ReportParameter &Parameter);
  void answer(AnswerStatement Answer);
  void appendRows(RowChunk &&Chunk);

  /// @brief Cancels the running statement if the secret matches.
  void cancel(std::uint32_t Secret);

  /// @brief Closes the connection if it exceeds one of its time limits.
  void checkLimits(Instant Now);

  /// @brief Returns whether output for the caller is pending.
  bool hasPendingOutput() const {
    return !m_Writing.empty() || !m_QueuedOutput.empty();
  }

private:
  enum class RequestKind : std::uint8_t { SimpleQuery, Execute, Describe };

  struct Portal {
    SharedBody Body;
    bool Described = false; ///< A Describe for it is pending.
  };

  /// @brief Credit to release after row bytes are written.
  struct PendingCredit {
    SharedRowsDelivered OnDelivered;
    std::size_t Bytes = 0;
  };

  struct MessageHandler;

  void read();
  void process();
  void handle(wire::FrontendMessage &&Message);
  bool isAllowed(const wire::FrontendMessage &Message) const;
  void offerTls();
  void startup(const wire::Startup &Message);
  void openSession(std::optional<std::string> Key);
  void password(wire::Password &&Message);
  void query(wire::Query &&Message);
  void parse(wire::Parse &&Message);
  void bind(wire::Bind &&Message);
  void describe(const wire::Describe &Message);
  void describeStatement(const std::string &Name);
  void describePortal(const std::string &Name);
  void execute(const wire::Execute &Message);
  void sync();
  void rejectUnsupported(char Type);
  void submit(SharedBody Body, RequestKind Kind);
  void rejectOverloaded();
  void appendDescription(std::string &&Bytes);
  void finishAnswer();
  void writeCompletion(const AnswerStatement &Answer);
  void writeNotice(const std::string &Text);
  void failConnection(const char *SqlState, const std::string &Message);
  void failBatch(const char *SqlState, const std::string &Message);
  void writeError(const Refusal &Reason, const char *Severity);
  void flush();
  void writeMore();
  void onWritten(std::size_t Count);
  void end();
  wire::TransactionStatus status() const;
  wire::BackendWriter writer() { return wire::BackendWriter(m_QueuedOutput); }

  CallerStream m_Stream;
  CallerId m_Id;
  std::uint32_t m_Secret;
  SessionHooks m_Hooks;
  wire::FrontendReader m_Reader;
  std::string m_QueuedOutput;
  std::string m_Writing;
  std::size_t m_WriteOffset = 0;
  Instant m_LastProgress; ///< Time of the last read or write.
  std::optional<CallerOpened> m_Opening;
  bool m_AwaitingKey = false;
  bool m_Admitted = false;
  bool m_AwaitingDecision = false; ///< Message processing is paused.
  bool m_Reading = false;
  bool m_SkipToSync = false;
  bool m_CloseAfterWrite = false;
  bool m_Ended = false;
  bool m_InTransaction = false;
  bool m_TransactionFailed = false;
  bool m_BatchHasWrite = false; ///< The batch has committed a write.
  PreparedStatements m_Prepared;
  std::map<std::string, Portal> m_Portals;
  std::optional<StatementId> m_Statement; ///< The running statement.
  SharedBody m_Body;                      ///< Body of m_Statement.
  RequestKind m_RequestKind = RequestKind::SimpleQuery;
  std::string m_DescribedStatement; ///< Name of the prepared statement.
  std::optional<std::string> m_DescribedPortal; ///< Until it is executed.
  bool m_SyncAfterAnswer = false;
  bool m_DescribingPortal = false; ///< False for prepared statements.
  std::uint64_t m_ChunksReceived = 0;
  std::optional<AnswerStatement> m_Answer; ///< Delayed until all chunks arrive.
  std::vector<PendingCredit> m_QueuedCredit;  ///< For rows in m_QueuedOutput.
  std::vector<PendingCredit> m_WritingCredit; ///< For rows in m_Writing.
};

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_CALLERS_CALLERSESSION_H
