#include "runtime/OperatorService.h"

#include <chrono>
#include <utility>

namespace bergamotstage::runtime {
namespace {

constexpr auto AnswerTimeout = std::chrono::seconds(30);

} // namespace

grpc::Status OperatorService::Ask(grpc::ServerContext *,
                                  const wire::oper::Request *Request,
                                  wire::oper::Answer *Answer) {
  OperatorRequested Event;
  Event.Verb = Request->verb();
  for (const auto &[Name, Value] : Request->arguments())
    Event.Arguments[Name] = Value;
  std::future<AnswerOperator> Result;
  OperatorCallId Call;
  {
    std::lock_guard<std::mutex> Guard(m_Lock);
    Call = OperatorCallId(++m_LastCall);
    Result = m_PendingCalls[Call].get_future();
  }
  Event.Call = Call;
  bool Queued = m_Events(std::move(Event));
  bool Ready =
      Queued && Result.wait_for(AnswerTimeout) == std::future_status::ready;
  {
    std::lock_guard<std::mutex> Guard(m_Lock);
    m_PendingCalls.erase(Call);
  }
  if (!Queued)
    return {grpc::StatusCode::RESOURCE_EXHAUSTED, "overloaded"};
  if (!Ready)
    return {grpc::StatusCode::DEADLINE_EXCEEDED,
            "the node did not answer in time"};
  AnswerOperator Reply = Result.get();
  Answer->set_succeeded(Reply.Succeeded);
  Answer->set_body(Reply.Body);
  return grpc::Status::OK;
}

void OperatorService::answer(AnswerOperator &&Answer) {
  std::lock_guard<std::mutex> Guard(m_Lock);
  auto Found = m_PendingCalls.find(Answer.Call);
  if (Found == m_PendingCalls.end())
    return;
  Found->second.set_value(std::move(Answer));
  m_PendingCalls.erase(Found);
}

} // namespace bergamotstage::runtime
