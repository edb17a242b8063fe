#ifndef BERGAMOTSTAGE_RUNTIME_OPERATORSERVICE_H
#define BERGAMOTSTAGE_RUNTIME_OPERATORSERVICE_H

#include "operator.grpc.pb.h"
#include "runtime/Commands.h"

#include <cstdint>
#include <future>
#include <map>
#include <mutex>

namespace bergamotstage::runtime {

/// @brief Passes operators' requests to the node and waits for its answers.
class OperatorService final : public wire::oper::Operator::Service {
public:
  explicit OperatorService(EventSink Events) : m_Events(std::move(Events)) {}

  grpc::Status Ask(grpc::ServerContext *Context,
                   const wire::oper::Request *Request,
                   wire::oper::Answer *Answer) override;

  /// @brief Completes a pending request; called on the decision thread. An
  /// answer that arrives after the timeout is dropped.
  void answer(AnswerOperator &&Answer);

private:
  EventSink m_Events;
  std::mutex m_Lock;
  std::map<OperatorCallId, std::promise<AnswerOperator>> m_PendingCalls;
  std::uint64_t m_LastCall = 0;
};

} // namespace bergamotstage::runtime

#endif // BERGAMOTSTAGE_RUNTIME_OPERATORSERVICE_H
