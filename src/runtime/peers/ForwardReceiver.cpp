#include "runtime/peers/ForwardReceiver.h"

#include "runtime/peers/ForwardFrames.h"
#include "runtime/peers/ForwardSender.h"

#include <utility>
#include <variant>
#include <vector>

namespace bergamotstage::runtime {

void ForwardReceiver::onFrame(const ForwardOrigin &From, ForwardFrame &&Frame) {
  if (Frame.has_statement())
    runStatement(From, std::move(Frame));
  else if (Frame.has_credit())
    releaseCredit(From, Frame);
  else if (Frame.has_close())
    closeCaller({From.Stream, Frame.close().caller()});
}

CallerId ForwardReceiver::assignCallerId(const OriginCaller &Source) {
  auto Found = m_CallerIds.find(Source);
  if (Found != m_CallerIds.end())
    return Found->second;
  CallerId Id(ForwardedIdBit | ++m_LastId);
  m_CallerIds.emplace(Source, Id);
  m_Callers[Id].Source = Source;
  return Id;
}

void ForwardReceiver::runStatement(const ForwardOrigin &From,
                                   ForwardFrame &&Frame) {
  const wire::peer::ForwardStatement &Message = Frame.statement();
  OriginCaller Source{From.Stream, Message.caller()};
  bool ContinuesTransaction = false;
  {
    std::lock_guard<std::mutex> Guard(m_Lock);
    m_OpenStreams.insert(From.Stream);
    auto Found = m_CallerIds.find(Source);
    ContinuesTransaction = Found != m_CallerIds.end() &&
                           Found->second.value() == Message.transaction() &&
                           m_Callers[Found->second].FrameId == 0;
  }
  // A transaction that the origin abandoned is rolled back first.
  if (!ContinuesTransaction)
    closeCaller(Source);
  if (!ContinuesTransaction && Message.transaction() != 0)
    return rejectLostTransaction(From, Frame.id());
  ForwardReceived Arrived = readStatement(Message);
  Arrived.From = From.Vm;
  {
    std::lock_guard<std::mutex> Guard(m_Lock);
    Arrived.Caller = assignCallerId(Source);
    Arrived.Statement = StatementId(ForwardedIdBit | ++m_LastId);
    Caller &Entry = m_Callers[Arrived.Caller];
    Entry.FrameId = Frame.id();
    m_CallersByFrame[{From.Stream, Frame.id()}] = Arrived.Caller;
    Entry.Statement = Arrived.Statement;
    Entry.OnDelivered.reset();
    Entry.LastRows.clear();
  }
  pushBlocking([&] { return m_Hooks.Events(Event(Arrived)); });
}

void ForwardReceiver::rejectLostTransaction(const ForwardOrigin &From,
                                            std::uint64_t FrameId) {
  AnswerStatement Answer;
  Refusal Reason;
  Reason.SqlState = sqlstate::ConnectionFailure;
  Reason.State = RunState::NotRun;
  Reason.Message = "the transaction was rolled back when the connection with "
                   "the database's home VM was lost";
  Answer.Error = Reason;
  m_Hooks.Reply(From.Stream, answerFrame(FrameId, Answer, "", 0));
}

void ForwardReceiver::closeCaller(const OriginCaller &Source) {
  CallerId Id;
  {
    std::lock_guard<std::mutex> Guard(m_Lock);
    auto Found = m_CallerIds.find(Source);
    if (Found == m_CallerIds.end())
      return;
    Id = Found->second;
    removeCaller(Id);
  }
  pushBlocking([&] { return m_Hooks.Events(CallerClosed{Id}); });
}

void ForwardReceiver::removeCaller(CallerId Id) {
  auto Found = m_Callers.find(Id);
  if (Found == m_Callers.end())
    return;
  const Caller &Entry = Found->second;
  m_CallersByFrame.erase({Entry.Source.first, Entry.FrameId});
  m_CallerIds.erase(Entry.Source);
  m_Callers.erase(Found);
}

void ForwardReceiver::onOriginLost(const ForwardOrigin &From) {
  std::vector<OriginCaller> Lost;
  {
    std::lock_guard<std::mutex> Guard(m_Lock);
    m_OpenStreams.erase(From.Stream);
    auto At = m_CallerIds.lower_bound({From.Stream, 0});
    for (; At != m_CallerIds.end() && At->first.first == From.Stream; ++At)
      Lost.push_back(At->first);
  }
  for (const OriginCaller &Source : Lost)
    closeCaller(Source);
}

void ForwardReceiver::releaseCredit(const ForwardOrigin &From,
                                    const ForwardFrame &Frame) {
  SharedRowsDelivered OnDelivered;
  {
    std::lock_guard<std::mutex> Guard(m_Lock);
    auto Found = m_CallersByFrame.find({From.Stream, Frame.id()});
    if (Found == m_CallersByFrame.end())
      return;
    OnDelivered = m_Callers[Found->second].OnDelivered;
  }
  if (OnDelivered)
    (*OnDelivered)(Frame.credit().bytes());
}

void ForwardReceiver::push(CallerCommand &&Command) {
  if (const auto *Answer = std::get_if<AnswerStatement>(&Command))
    return answer(*Answer);
  std::lock_guard<std::mutex> Guard(m_Lock);
  if (auto *Parameter = std::get_if<ReportParameter>(&Command)) {
    auto Found = m_Callers.find(Parameter->Caller);
    if (Found != m_Callers.end())
      Found->second.Token = std::move(Parameter->Value);
  } else if (const auto *Close = std::get_if<CloseCaller>(&Command)) {
    removeCaller(Close->Caller);
  }
}

void ForwardReceiver::answer(const AnswerStatement &Answer) {
  std::lock_guard<std::mutex> Guard(m_Lock);
  auto Found = m_Callers.find(Answer.Caller);
  if (Found == m_Callers.end() || Found->second.Statement != Answer.Statement)
    return;
  Caller &Entry = Found->second;
  std::uint64_t Transaction =
      Answer.InTransaction ? Answer.Caller.value() : std::uint64_t{0};
  ForwardFrame Frame = answerFrame(Entry.FrameId, Answer,
                                   std::exchange(Entry.Token, {}), Transaction);
  Frame.mutable_answer()->set_last_rows(std::exchange(Entry.LastRows, {}));
  m_Hooks.Reply(Entry.Source.first, std::move(Frame));
  m_CallersByFrame.erase({Entry.Source.first, Entry.FrameId});
  Entry.FrameId = 0;
  if (!Answer.InTransaction)
    removeCaller(Answer.Caller);
}

bool ForwardReceiver::pushRows(RowChunk &&Chunk) {
  std::uint64_t Stream = 0;
  std::uint64_t FrameId = 0;
  bool SendWithAnswer = Chunk.Last && Chunk.Bytes.size() <= MaxRowsFrameBytes;
  std::size_t ByteCount = Chunk.Bytes.size();
  {
    std::lock_guard<std::mutex> Guard(m_Lock);
    auto Found = m_Callers.find(Chunk.Caller);
    if (Found != m_Callers.end() &&
        Found->second.Statement == Chunk.Statement) {
      Found->second.OnDelivered = Chunk.OnDelivered;
      Stream = Found->second.Source.first;
      FrameId = Found->second.FrameId;
      if (SendWithAnswer)
        Found->second.LastRows = std::move(Chunk.Bytes);
    }
  }
  if (Stream == 0 || SendWithAnswer) {
    (*Chunk.OnDelivered)(ByteCount);
    return true;
  }
  // Frames must stay below the maximum message size of gRPC.
  std::size_t Sent = 0;
  do {
    std::string Piece = Chunk.Bytes.substr(Sent, MaxRowsFrameBytes);
    std::size_t PieceBytes = Piece.size();
    if (!m_Hooks.Reply(Stream, rowsFrame(FrameId, std::move(Piece)))) {
      Chunk.Bytes.erase(0, Sent);
      return !isOpen(Stream);
    }
    Sent += PieceBytes;
  } while (Sent < Chunk.Bytes.size());
  return true;
}

bool ForwardReceiver::isOpen(std::uint64_t Stream) {
  std::lock_guard<std::mutex> Guard(m_Lock);
  return m_OpenStreams.count(Stream) != 0;
}

} // namespace bergamotstage::runtime
