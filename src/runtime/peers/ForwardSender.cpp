#include "runtime/peers/ForwardSender.h"

#include "runtime/peers/ForwardFrames.h"

#include <chrono>
#include <optional>
#include <thread>
#include <utility>
#include <variant>

namespace bergamotstage::runtime {
namespace {

constexpr auto RetryInterval = std::chrono::milliseconds(1);
/// @brief Smaller credit is accumulated; after an answer it is not needed.
constexpr std::size_t MinCreditFrameBytes = RowCredit::WindowBytes / 4;

} // namespace

void pushBlocking(const std::function<bool()> &Push) {
  while (!Push())
    std::this_thread::sleep_for(RetryInterval);
}

bool ForwardSender::push(ForwardCommand &&Command) {
  if (const auto *Statement = std::get_if<ForwardStatement>(&Command))
    return send(*Statement);
  close(std::get<CloseForward>(Command));
  return true;
}

bool ForwardSender::send(const ForwardStatement &Command) {
  std::uint64_t Id = 0;
  std::uint64_t HomeId = 0;
  {
    std::lock_guard<std::mutex> Guard(m_Lock);
    Id = ++m_LastId;
    auto Found = m_Transactions.find(Command.Caller);
    if (Found != m_Transactions.end() &&
        Found->second.Address == Command.Address)
      HomeId = Found->second.HomeId;
    Outstanding Entry{
        Command.Caller, Command.Statement, Command.Address, 0, 0, {}};
    Entry.OnDelivered = std::make_shared<const RowsDelivered>(
        [this, Id](std::size_t Bytes) { returnCredit(Id, Bytes); });
    m_Outstanding.emplace(Id, std::move(Entry));
  }
  if (m_Hooks.Send(Command.Address, statementFrame(Id, Command, HomeId)))
    return true;
  {
    std::lock_guard<std::mutex> Guard(m_Lock);
    m_Outstanding.erase(Id);
  }
  return m_Hooks.Events(
      ForwardLost{Command.Caller, Command.Statement, true, 0});
}

void ForwardSender::close(const CloseForward &Command) {
  std::string Address;
  {
    std::lock_guard<std::mutex> Guard(m_Lock);
    auto Found = m_Transactions.find(Command.Caller);
    if (Found == m_Transactions.end())
      return;
    Address = Found->second.Address;
    m_Transactions.erase(Found);
  }
  m_Hooks.Send(Address, closeFrame(Command.Caller));
}

void ForwardSender::returnCredit(std::uint64_t Id, std::size_t Bytes) {
  std::string Address;
  std::size_t PendingCredit = 0;
  {
    std::lock_guard<std::mutex> Guard(m_Lock);
    auto Found = m_Outstanding.find(Id);
    if (Found == m_Outstanding.end())
      return;
    Found->second.PendingCredit += Bytes;
    if (Found->second.PendingCredit < MinCreditFrameBytes)
      return;
    PendingCredit = std::exchange(Found->second.PendingCredit, 0);
    Address = Found->second.Address;
  }
  m_Hooks.Send(Address, creditFrame(Id, PendingCredit));
}

void ForwardSender::onFrame(ForwardFrame &&Frame) {
  if (Frame.has_rows())
    deliverRows(Frame.id(), std::move(*Frame.mutable_rows()->mutable_bytes()),
                false);
  if (!Frame.has_answer())
    return;
  std::string &Rows = *Frame.mutable_answer()->mutable_last_rows();
  if (!Rows.empty())
    deliverRows(Frame.id(), std::move(Rows), true);
  deliverAnswer(Frame.id(), Frame.answer());
}

void ForwardSender::deliverRows(std::uint64_t Id, std::string Bytes,
                                bool Last) {
  RowChunk Chunk;
  {
    std::lock_guard<std::mutex> Guard(m_Lock);
    auto Found = m_Outstanding.find(Id);
    if (Found == m_Outstanding.end())
      return;
    ++Found->second.Chunks;
    Chunk = {Found->second.Caller, Found->second.Statement, std::move(Bytes),
             Found->second.OnDelivered, Last};
  }
  pushBlocking([&] { return m_Hooks.Rows(std::move(Chunk)); });
}

void ForwardSender::deliverAnswer(std::uint64_t Id,
                                  const wire::peer::ForwardAnswer &Message) {
  ForwardAnswered Answered = readAnswer(Message);
  {
    std::lock_guard<std::mutex> Guard(m_Lock);
    auto Found = m_Outstanding.find(Id);
    if (Found == m_Outstanding.end())
      return;
    Answered.Caller = Found->second.Caller;
    Answered.Statement = Found->second.Statement;
    Answered.Chunks = Found->second.Chunks;
    if (Answered.InTransaction)
      m_Transactions[Answered.Caller] = {Found->second.Address,
                                         Message.transaction()};
    else
      m_Transactions.erase(Answered.Caller);
    m_Outstanding.erase(Found);
  }
  pushBlocking([&] { return m_Hooks.Events(Event(Answered)); });
}

void ForwardSender::onLost(std::uint64_t Id, bool NeverSent) {
  ForwardLost Lost;
  {
    std::lock_guard<std::mutex> Guard(m_Lock);
    auto Found = m_Outstanding.find(Id);
    if (Found == m_Outstanding.end())
      return;
    const Outstanding &Entry = Found->second;
    Lost = {Entry.Caller, Entry.Statement, NeverSent, Entry.Chunks};
    m_Transactions.erase(Entry.Caller);
    m_Outstanding.erase(Found);
  }
  pushBlocking([&] { return m_Hooks.Events(Event(Lost)); });
}

} // namespace bergamotstage::runtime
