#include "runtime/site/CallerSockets.h"

#include "runtime/site/Listener.h"

#include <asio/post.hpp>

#include <utility>
#include <variant>

namespace bergamotstage::runtime {
namespace {

/// Time until a caller that vanished without closing is detected.
constexpr Duration SilenceTimeout = seconds(15);
constexpr Duration StartTimeout = seconds(3);

} // namespace

tl::expected<std::unique_ptr<CallerSockets>, std::string>
CallerSockets::listen(asio::io_context &Io, const std::string &Address,
                      Hooks Callbacks) {
  auto Sockets = std::make_unique<CallerSockets>(std::move(Callbacks));
  CallerSockets *Self = Sockets.get();
  Listener::Hooks Hooks;
  Hooks.Accepted = [Self](asio::ip::tcp::socket Socket) {
    Self->onAccepted(std::move(Socket));
  };
  Hooks.Failed = Self->m_Hooks.Refused;
  auto Opened = Listener::open(Io, Address, std::move(Hooks));
  if (!Opened)
    return tl::make_unexpected(Opened.error());
  Sockets->m_Listener = std::move(*Opened);
  return Sockets;
}

void CallerSockets::onAccepted(asio::ip::tcp::socket Socket) {
  if (m_Callers.size() >= MaxCallers)
    return m_Hooks.Refused("too many callers");
  CallerId Id(++m_LastCaller);
  ByteStream::Hooks Hooks;
  Hooks.Received = [this, Id](std::string_view Bytes) {
    onReceived(Id, Bytes);
  };
  Hooks.Ended = [this, Id](const std::string &) {
    removeCaller(Id);
    m_Hooks.Closed(Id);
  };
  Caller &Entry = m_Callers[Id];
  Entry.Stream =
      ByteStream::adopt(std::move(Socket), SilenceTimeout, std::move(Hooks));
  Entry.Stream->setDeadline(StartTimeout, "the session did not start in time");
}

void CallerSockets::rejectCaller(CallerId Id, const char *Reason) {
  m_Hooks.Refused(Reason);
  pooling::CallerReply Reply;
  Reply.Error = pooling::ErrorCode::Malformed;
  Reply.ErrorText = Reason;
  Reply.Greeting = true;
  answer(Id, Reply);
  close(Id);
  m_Hooks.Closed(Id);
}

void CallerSockets::onReceived(CallerId Id, std::string_view Bytes) {
  auto Found = m_Callers.find(Id);
  if (Found == m_Callers.end())
    return;
  Found->second.Lines.append(Bytes);
  while (true) {
    // The line may have closed the connection.
    Found = m_Callers.find(Id);
    if (Found == m_Callers.end())
      return;
    auto Line = Found->second.Lines.next();
    if (!Line) {
      updateBufferedBytes(Found->second);
      if (Found->second.Lines.isOverflowed())
        rejectCaller(Id, "a message is too long");
      else if (m_BufferedBytes > MaxBufferedBytes)
        rejectCaller(Id,
                     "the unfinished messages of all callers are too large");
      return;
    }
    handleLine(Id, Found->second, *Line);
  }
}

void CallerSockets::handleLine(CallerId Id, Caller &Source,
                               const std::string &Line) {
  platform::CallerMessage Message = platform::parseCallerLine(Line);
  if (auto *Start = std::get_if<platform::CallerStart>(&Message)) {
    if (Source.Started)
      return rejectCaller(Id, "the session has started already");
    Source.Started = true;
    Source.Stream->cancelDeadline();
    return m_Hooks.Opened(Id, std::move(Start->Database),
                          std::move(Start->Key));
  }
  if (auto *Stmt = std::get_if<pooling::Statement>(&Message)) {
    if (!Source.Started)
      return rejectCaller(Id, "the session has not started");
    return m_Hooks.StatementReceived(Id, std::move(*Stmt));
  }
  if (std::holds_alternative<platform::CallerFault>(Message))
    return rejectCaller(Id, "malformed message");
  auto Stream = Source.Stream;
  removeCaller(Id);
  Stream->close();
  m_Hooks.Closed(Id);
}

void CallerSockets::updateBufferedBytes(Caller &Source) {
  m_BufferedBytes += Source.Lines.bufferedBytes() - Source.BufferedBytes;
  Source.BufferedBytes = Source.Lines.bufferedBytes();
}

void CallerSockets::removeCaller(CallerId Id) {
  auto Found = m_Callers.find(Id);
  if (Found == m_Callers.end())
    return;
  m_BufferedBytes -= Found->second.BufferedBytes;
  m_Callers.erase(Found);
}

void CallerSockets::answer(CallerId Id, const pooling::CallerReply &Reply) {
  auto Found = m_Callers.find(Id);
  if (Found != m_Callers.end())
    Found->second.Stream->send(platform::encodeReply(Reply));
}

void CallerSockets::close(CallerId Id) {
  auto Found = m_Callers.find(Id);
  if (Found == m_Callers.end())
    return;
  auto Stream = Found->second.Stream;
  removeCaller(Id);
  Stream->closeAfterOutput();
}

void CallerSockets::stopAccepting() { m_Listener->stop(); }

} // namespace bergamotstage::runtime
