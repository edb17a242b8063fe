#include "cli/OperatorClient.h"

#include "operator.grpc.pb.h"
#include "platform.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <chrono>

namespace bergamotstage::cli {
namespace {

constexpr auto CallTimeout = std::chrono::seconds(35);

void setDeadline(grpc::ClientContext &Context) {
  Context.set_deadline(std::chrono::system_clock::now() + CallTimeout);
}

} // namespace

tl::expected<OperatorAnswer, std::string>
requestFromVm(const std::string &Address, const std::string &Verb,
              const std::map<std::string, std::string> &Arguments) {
  auto Stub = wire::oper::Operator::NewStub(
      grpc::CreateChannel(Address, grpc::InsecureChannelCredentials()));
  grpc::ClientContext Context;
  setDeadline(Context);
  wire::oper::Request Request;
  Request.set_verb(Verb);
  for (const auto &[Name, Value] : Arguments)
    (*Request.mutable_arguments())[Name] = Value;
  wire::oper::Answer Answer;
  grpc::Status Status = Stub->Ask(&Context, Request, &Answer);
  if (!Status.ok())
    return tl::make_unexpected("VM at " + Address + ": " +
                               Status.error_message());
  return OperatorAnswer{Answer.succeeded(), Answer.body()};
}

tl::expected<bool, std::string> setFault(const std::string &Address,
                                         const std::string &Kind,
                                         const std::string &Name, bool On,
                                         unsigned Milliseconds) {
  auto Stub = wire::platform::StandIn::NewStub(
      grpc::CreateChannel(Address, grpc::InsecureChannelCredentials()));
  grpc::ClientContext Context;
  setDeadline(Context);
  wire::platform::FaultRequest Request;
  Request.set_kind(Kind);
  Request.set_name(Name);
  Request.set_on(On);
  Request.set_milliseconds(Milliseconds);
  wire::platform::FaultAnswer Answer;
  grpc::Status Status = Stub->SetFault(&Context, Request, &Answer);
  if (!Status.ok())
    return tl::make_unexpected("platform at " + Address + ": " +
                               Status.error_message());
  return Answer.known();
}

} // namespace bergamotstage::cli
