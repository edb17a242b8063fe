#include "runtime/platform/PlatformCalls.h"

#include <utility>
#include <variant>

namespace bergamotstage::runtime {
namespace {

namespace pb = wire::platform;

// Encoders of requests.

pb::ReadRowsRequest encode(const ReadRows &Request) {
  pb::ReadRowsRequest Out;
  Out.set_prefix(Request.Prefix);
  return Out;
}

pb::WriteRequest encode(const ConditionalWrite &Request) {
  pb::WriteRequest Out;
  Out.set_write_id(Request.WriteId);
  for (const auto &Entry : Request.Conditions) {
    auto *Condition = Out.add_conditions();
    Condition->set_key(Entry.Key);
    Condition->set_version(Entry.Version);
  }
  for (const auto &Entry : Request.Changes) {
    auto *Change = Out.add_changes();
    Change->set_key(Entry.Key);
    Change->set_remove(!Entry.Value.has_value());
    if (Entry.Value)
      Change->set_value(*Entry.Value);
  }
  return Out;
}

pb::FateRequest encode(const ReadWriteOutcome &Request) {
  pb::FateRequest Out;
  Out.set_write_id(Request.WriteId);
  return Out;
}

pb::PutObjectRequest encode(const PutObject &Request) {
  pb::PutObjectRequest Out;
  Out.set_name(Request.Name);
  Out.set_body(Request.Body);
  return Out;
}

pb::GetObjectRequest encode(const GetObject &Request) {
  pb::GetObjectRequest Out;
  Out.set_name(Request.Name);
  return Out;
}

pb::ListVmsRequest encode(const ListVms &) { return {}; }
pb::ReadGroupsRequest encode(const ReadGroups &) { return {}; }

pb::PromoteRequest encode(const Promote &Request) {
  pb::PromoteRequest Out;
  Out.set_database(Request.Database.value());
  Out.set_candidate(Request.Candidate.value());
  Out.set_new_term(Request.NewTerm.value());
  Out.set_order_id(Request.OrderId);
  return Out;
}

// Decoders of answers.

PlatformAnswer decode(const pb::ReadRowsAnswer &Answer) {
  RowsRead Out;
  for (const auto &Row : Answer.rows())
    Out.Rows.push_back({Row.key(), Row.value(), Row.version()});
  return Out;
}

PlatformAnswer decode(const pb::WriteAnswer &Answer) {
  return WriteDecided{Answer.known(), Answer.applied()};
}

PlatformAnswer decode(const pb::PutObjectAnswer &) { return ObjectStored{}; }

PlatformAnswer decode(const pb::GetObjectAnswer &Answer) {
  return ObjectRead{Answer.found(), Answer.body()};
}

PlatformAnswer decode(const pb::ListVmsAnswer &Answer) {
  VmsListed Out;
  for (const auto &Vm : Answer.vms())
    Out.Vms.push_back({VmId(Vm.id()), DataCentreId(Vm.data_centre()),
                       Vm.peer_address(), Vm.leaving()});
  return Out;
}

PlatformAnswer decode(const pb::ReadGroupsAnswer &Answer) {
  GroupsRead Out;
  for (const auto &Entry : Answer.groups()) {
    ListedGroup Group;
    Group.Database = DatabaseId(Entry.database());
    Group.CurrentTerm = Term(Entry.term());
    Group.Primary = TargetId(Entry.primary());
    for (const auto &Target : Entry.targets())
      Group.Targets.push_back(
          {TargetId(Target.id()),
           {Term(Target.term()), LogPosition(Target.position())},
           Target.leaving()});
    Out.Groups.push_back(std::move(Group));
  }
  return Out;
}

PlatformAnswer decode(const pb::PromoteAnswer &Answer) {
  return PromotionDecided{Answer.applied(), Term(Answer.current_term()),
                          Answer.reason()};
}

/// @brief A unary gRPC call with a request and an answer type.
template <class Request, class Answer> class UnaryCall : public PendingCall {
public:
  using Reader = std::unique_ptr<grpc::ClientAsyncResponseReader<Answer>>;
  using Method = Reader (pb::Platform::Stub::*)(grpc::ClientContext *,
                                                const Request &,
                                                grpc::CompletionQueue *);

  UnaryCall(Method Call, Request Message, bool MayTakeEffect)
      : m_Call(Call), m_Request(std::move(Message)),
        m_MayTakeEffect(MayTakeEffect) {}

  void start(pb::Platform::Stub &Stub, grpc::CompletionQueue &Queue) override {
    m_Reader = (Stub.*m_Call)(&Context, m_Request, &Queue);
    m_Reader->Finish(&m_Answer, &m_Status, this);
  }

  PlatformAnswer answer() override {
    if (m_Status.ok())
      return decode(m_Answer);
    return PlatformFailed{m_MayTakeEffect, m_Status.error_message()};
  }

private:
  Method m_Call;
  Request m_Request;
  bool m_MayTakeEffect;
  Reader m_Reader;
  Answer m_Answer;
  grpc::Status m_Status;
};

template <class Request, class Answer>
std::unique_ptr<PendingCall>
unary(typename UnaryCall<Request, Answer>::Method Call, Request Message,
      bool MayTakeEffect) {
  return std::make_unique<UnaryCall<Request, Answer>>(Call, std::move(Message),
                                                      MayTakeEffect);
}

struct CallFactory {
  using Stub = pb::Platform::Stub;
  using CallPointer = std::unique_ptr<PendingCall>;

  CallPointer operator()(const ReadRows &R) const {
    return unary<pb::ReadRowsRequest, pb::ReadRowsAnswer>(&Stub::AsyncReadRows,
                                                          encode(R), false);
  }
  CallPointer operator()(const ConditionalWrite &R) const {
    return unary<pb::WriteRequest, pb::WriteAnswer>(&Stub::AsyncWrite,
                                                    encode(R), true);
  }
  CallPointer operator()(const ReadWriteOutcome &R) const {
    return unary<pb::FateRequest, pb::WriteAnswer>(&Stub::AsyncReadFate,
                                                   encode(R), false);
  }
  CallPointer operator()(const PutObject &R) const {
    return unary<pb::PutObjectRequest, pb::PutObjectAnswer>(
        &Stub::AsyncPutObject, encode(R), true);
  }
  CallPointer operator()(const GetObject &R) const {
    return unary<pb::GetObjectRequest, pb::GetObjectAnswer>(
        &Stub::AsyncGetObject, encode(R), false);
  }
  CallPointer operator()(const ListVms &R) const {
    return unary<pb::ListVmsRequest, pb::ListVmsAnswer>(&Stub::AsyncListVms,
                                                        encode(R), false);
  }
  CallPointer operator()(const ReadGroups &R) const {
    return unary<pb::ReadGroupsRequest, pb::ReadGroupsAnswer>(
        &Stub::AsyncReadGroups, encode(R), false);
  }
  CallPointer operator()(const Promote &R) const {
    return unary<pb::PromoteRequest, pb::PromoteAnswer>(&Stub::AsyncPromote,
                                                        encode(R), true);
  }
};

} // namespace

std::unique_ptr<PendingCall> makeCall(const PlatformRequest &Request) {
  return std::visit(CallFactory{}, Request);
}

} // namespace bergamotstage::runtime
