#include "runtime/peers/HomeStream.h"

#include <utility>

namespace bergamotstage::runtime {

HomeStream::HomeStream(std::uint64_t Number, ForwardFrame Hello,
                       Hooks Callbacks)
    : m_Hooks(std::move(Callbacks)) {
  m_Origin.Stream = Number;
  m_Queue.push(std::move(Hello));
}

void HomeStream::start() {
  std::lock_guard<std::mutex> Guard(m_Lock);
  StartRead(&m_Input);
  writeNext();
}

bool HomeStream::send(ForwardFrame &&Frame) {
  std::lock_guard<std::mutex> Guard(m_Lock);
  if (m_Closed || !m_Queue.push(std::move(Frame)))
    return false;
  writeNext();
  return true;
}

void HomeStream::writeNext() {
  if (m_Closed)
    return;
  if (const ForwardFrame *Next = m_Queue.next())
    StartWrite(Next);
}

void HomeStream::OnWriteDone(bool Succeeded) {
  std::lock_guard<std::mutex> Guard(m_Lock);
  m_Queue.finishWrite();
  if (!Succeeded)
    m_Closed = true;
  if (m_Closed)
    return finishOnce();
  writeNext();
}

void HomeStream::OnReadDone(bool Succeeded) {
  if (!Succeeded) {
    std::lock_guard<std::mutex> Guard(m_Lock);
    m_Closed = true;
    return finishOnce();
  }
  if (m_HelloReceived) {
    m_Hooks.OnRequest(m_Origin, std::move(m_Input));
  } else {
    m_HelloReceived = true;
    m_Origin.Vm = VmId(m_Input.hello().vm());
    m_Origin.Start = Incarnation(m_Input.hello().incarnation());
  }
  m_Input.Clear();
  StartRead(&m_Input);
}

void HomeStream::finishOnce() {
  if (m_Finished || m_Queue.isWriting())
    return;
  m_Finished = true;
  Finish(grpc::Status::OK);
}

void HomeStream::OnDone() {
  auto OnEnded = std::move(m_Hooks.OnEnded);
  ForwardOrigin Origin = m_Origin;
  OnEnded(Origin);
}

} // namespace bergamotstage::runtime
