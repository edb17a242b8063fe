#include "runtime/peers/OriginStream.h"

#include <utility>

namespace bergamotstage::runtime {

OriginStream::OriginStream(const std::shared_ptr<grpc::Channel> &Channel,
                           Hooks Callbacks)
    : m_Hooks(std::move(Callbacks)),
      m_Stub(wire::peer::Forwarding::NewStub(Channel)),
      m_Context(std::make_unique<grpc::ClientContext>()) {}

void OriginStream::start(ForwardFrame Hello, ForwardFrame First) {
  m_Self = shared_from_this();
  m_Stub->async()->Carry(m_Context.get(), this);
  // gRPC requires a hold for writes that start outside its callbacks.
  AddHold();
  std::lock_guard<std::mutex> Guard(m_Lock);
  m_Queue.push(std::move(Hello));
  m_InFlight.emplace(First.id(), false);
  m_Queue.push(std::move(First));
  StartCall();
  StartRead(&m_Input);
  StartWrite(m_Queue.next());
}

OriginStream::SendResult OriginStream::send(ForwardFrame &&Frame) {
  std::lock_guard<std::mutex> Guard(m_Lock);
  if (m_Closed)
    return SendResult::Closed;
  std::uint64_t Id = Frame.id();
  bool IsStatement = Frame.has_statement();
  if (!m_Queue.push(std::move(Frame)))
    return SendResult::Full;
  if (IsStatement)
    m_InFlight.emplace(Id, false);
  writeNext();
  return SendResult::Accepted;
}

void OriginStream::cancel() {
  std::lock_guard<std::mutex> Guard(m_Lock);
  if (m_Context)
    m_Context->TryCancel();
}

void OriginStream::writeNext() {
  if (!m_HelloReceived || m_Closed)
    return;
  const ForwardFrame *Next = m_Queue.next();
  if (Next == nullptr)
    return;
  auto Sent = m_InFlight.find(Next->id());
  if (Next->has_statement() && Sent != m_InFlight.end())
    Sent->second = true;
  StartWrite(Next);
}

void OriginStream::OnWriteDone(bool Succeeded) {
  std::lock_guard<std::mutex> Guard(m_Lock);
  m_Queue.finishWrite();
  if (Succeeded)
    writeNext();
  else
    close();
}

void OriginStream::OnReadDone(bool Succeeded) {
  {
    std::lock_guard<std::mutex> Guard(m_Lock);
    if (!Succeeded)
      return close();
    if (!m_HelloReceived) {
      m_HelloReceived = true;
      writeNext();
    }
    if (m_Input.has_answer())
      m_InFlight.erase(m_Input.id());
  }
  if (!m_Input.has_hello())
    m_Hooks.OnAnswer(std::move(m_Input));
  m_Input.Clear();
  StartRead(&m_Input);
}

void OriginStream::close() {
  if (m_Closed)
    return;
  m_Closed = true;
  m_Context->TryCancel();
  RemoveHold();
}

void OriginStream::OnDone(const grpc::Status &) {
  std::unordered_map<std::uint64_t, bool> Unanswered;
  {
    std::lock_guard<std::mutex> Guard(m_Lock);
    Unanswered.swap(m_InFlight);
    m_Stub.reset();
    m_Context.reset();
  }
  for (const auto &[Id, Written] : Unanswered)
    m_Hooks.OnLost(Id, !Written);
  std::shared_ptr<OriginStream> Self = std::move(m_Self);
  m_Hooks.OnEnded(this);
}

} // namespace bergamotstage::runtime
