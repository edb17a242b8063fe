#ifndef BERGAMOTSTAGE_RUNTIME_CALLERSESSION_H
#define BERGAMOTSTAGE_RUNTIME_CALLERSESSION_H

#include "bergamotstage/wire/Backend.h"
#include "bergamotstage/wire/Frontend.h"
#include "runtime/Commands.h"

#include <asio.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace bergamotstage::runtime {

/// @brief What a caller's session needs from the thread that owns it.
struct SessionHooks {
  EventSink Events;
  std::function<StatementId()> NewStatement;
  std::function<void(CallerId)> Ended;
};

/// @brief One caller's connection in the PostgreSQL protocol, version 3.
///
/// One statement is under way at a time; bytes that follow it stay in the
/// socket, so that a caller that sends ahead is slowed down.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
public:
  CallerSession(asio::ip::tcp::socket Socket, CallerId Id, SessionHooks Hooks);

  void start();

  void askForKey();
  void admit();
  void close(const Refusal &Reason);
  void report(const ReportParameter &Parameter);
  void answer(AnswerStatement Answer);
  void rows(RowChunk &&Chunk);

private:
  struct Prepared {
    std::string Text;
    std::vector<std::uint32_t> Types;
  };

  void read();
  void process();
  void handle(wire::FrontendMessage &&Message);
  void startup(const wire::Startup &Message);
  void openWith(std::optional<std::string> Key);
  void bind(wire::Bind &&Message);
  void execute(const wire::Execute &Message);
  void submit(SharedBody Body);
  void finishAnswer();
  void protocolError(const char *SqlState, const std::string &Message);
  void batchError(const char *SqlState, const std::string &Message);
  void writeError(const Refusal &Reason, const char *Severity);
  void flush();
  void end();
  wire::TransactionStatus status() const;
  wire::BackendWriter writer() { return wire::BackendWriter(m_Out); }

  asio::ip::tcp::socket m_Socket;
  CallerId m_Id;
  SessionHooks m_Hooks;
  wire::FrontendReader m_Reader;
  std::array<char, 8192> m_Input{};
  std::string m_Out;
  std::string m_Writing;
  std::optional<CallerOpened> m_Opening;
  bool m_AwaitingKey = false;
  bool m_Admitted = false;
  bool m_Waiting = false; ///< For the decision thread; no message is taken.
  bool m_Reading = false;
  bool m_SkipToSync = false;
  bool m_CloseAfterWrite = false;
  bool m_Ended = false;
  bool m_InTransaction = false;
  bool m_TransactionFailed = false;
  std::map<std::string, Prepared> m_Prepared;
  std::map<std::string, SharedBody> m_Portals;
  std::optional<StatementId> m_Statement; ///< The one under way.
  bool m_Extended = false;
  std::uint64_t m_ChunksTaken = 0;
  std::optional<AnswerStatement> m_Answer; ///< Held until all chunks came.
};

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_CALLERSESSION_H
