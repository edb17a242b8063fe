#include "standin/PlatformService.h"

#include <chrono>
#include <thread>

namespace bergamotstage::standin {
namespace {

grpc::Status unavailable(const char *Reason) {
  return {grpc::StatusCode::UNAVAILABLE, Reason};
}

} // namespace

grpc::Status PlatformService::checkStore() {
  Duration Delay{};
  bool Down = false;
  {
    std::lock_guard<std::mutex> Guard(m_Shared->Lock);
    Delay = m_Shared->Faults.StoreDelay;
    Down = m_Shared->Faults.StoreDown;
  }
  std::this_thread::sleep_for(Delay);
  return Down ? unavailable("the store is down") : grpc::Status::OK;
}

grpc::Status
PlatformService::ReadRows(grpc::ServerContext *,
                          const wire::platform::ReadRowsRequest *Request,
                          wire::platform::ReadRowsAnswer *Answer) {
  grpc::Status StoreStatus = checkStore();
  if (!StoreStatus.ok())
    return StoreStatus;
  std::lock_guard<std::mutex> Guard(m_Shared->Lock);
  for (const TableRow &Row : m_Shared->Stored.read({Request->prefix()}).Rows) {
    auto *Out = Answer->add_rows();
    Out->set_key(Row.Key);
    Out->set_value(Row.Value);
    Out->set_version(Row.Version);
  }
  return grpc::Status::OK;
}

grpc::Status PlatformService::Write(grpc::ServerContext *,
                                    const wire::platform::WriteRequest *Request,
                                    wire::platform::WriteAnswer *Answer) {
  grpc::Status StoreStatus = checkStore();
  if (!StoreStatus.ok())
    return StoreStatus;
  ConditionalWrite Decoded;
  Decoded.WriteId = Request->write_id();
  for (const auto &Entry : Request->conditions())
    Decoded.Conditions.push_back({Entry.key(), Entry.version()});
  for (const auto &Entry : Request->changes())
    Decoded.Changes.push_back(
        {Entry.key(), Entry.remove()
                          ? std::nullopt
                          : std::optional<std::string>(Entry.value())});
  std::lock_guard<std::mutex> Guard(m_Shared->Lock);
  WriteDecided Decided = m_Shared->Stored.write(Decoded);
  if (m_Shared->Faults.LoseWriteAnswer)
    return unavailable("the answer was lost");
  Answer->set_known(Decided.Known);
  Answer->set_applied(Decided.Applied);
  return grpc::Status::OK;
}

grpc::Status
PlatformService::ReadFate(grpc::ServerContext *,
                          const wire::platform::FateRequest *Request,
                          wire::platform::WriteAnswer *Answer) {
  grpc::Status StoreStatus = checkStore();
  if (!StoreStatus.ok())
    return StoreStatus;
  std::lock_guard<std::mutex> Guard(m_Shared->Lock);
  WriteDecided Decided = m_Shared->Stored.writeOutcome({Request->write_id()});
  Answer->set_known(Decided.Known);
  Answer->set_applied(Decided.Applied);
  return grpc::Status::OK;
}

grpc::Status
PlatformService::PutObject(grpc::ServerContext *,
                           const wire::platform::PutObjectRequest *Request,
                           wire::platform::PutObjectAnswer *) {
  grpc::Status StoreStatus = checkStore();
  if (!StoreStatus.ok())
    return StoreStatus;
  std::lock_guard<std::mutex> Guard(m_Shared->Lock);
  m_Shared->Stored.put({Request->name(), Request->body()});
  return grpc::Status::OK;
}

grpc::Status
PlatformService::GetObject(grpc::ServerContext *,
                           const wire::platform::GetObjectRequest *Request,
                           wire::platform::GetObjectAnswer *Answer) {
  grpc::Status StoreStatus = checkStore();
  if (!StoreStatus.ok())
    return StoreStatus;
  std::lock_guard<std::mutex> Guard(m_Shared->Lock);
  ObjectRead Read = m_Shared->Stored.get({Request->name()});
  Answer->set_found(Read.Found);
  Answer->set_body(Read.Body);
  return grpc::Status::OK;
}

grpc::Status PlatformService::ListVms(grpc::ServerContext *,
                                      const wire::platform::ListVmsRequest *,
                                      wire::platform::ListVmsAnswer *Answer) {
  std::lock_guard<std::mutex> Guard(m_Shared->Lock);
  for (const ListedVm &Vm : m_Shared->Vms) {
    auto *Out = Answer->add_vms();
    Out->set_id(Vm.Vm.value());
    Out->set_data_centre(Vm.DataCentre.value());
    Out->set_peer_address(Vm.PeerAddress);
    Out->set_leaving(Vm.Leaving);
  }
  return grpc::Status::OK;
}

grpc::Status
PlatformService::ReadGroups(grpc::ServerContext *,
                            const wire::platform::ReadGroupsRequest *,
                            wire::platform::ReadGroupsAnswer *Answer) {
  for (const auto &[Database, Shared] : m_Shared->Groups) {
    std::lock_guard<std::mutex> Guard(Shared->Lock);
    ListedGroup Listed = Shared->State.listedGroup();
    auto *Out = Answer->add_groups();
    Out->set_database(Database.value());
    Out->set_term(Listed.CurrentTerm.value());
    Out->set_primary(Listed.Primary.value());
    for (const ListedTarget &Entry : Listed.Targets) {
      auto *Target = Out->add_targets();
      Target->set_id(Entry.Target.value());
      Target->set_term(Entry.Replayed.AtTerm.value());
      Target->set_position(Entry.Replayed.Position.value());
      Target->set_leaving(Entry.Leaving);
    }
  }
  return grpc::Status::OK;
}

grpc::Status
PlatformService::Promote(grpc::ServerContext *,
                         const wire::platform::PromoteRequest *Request,
                         wire::platform::PromoteAnswer *Answer) {
  auto Found = m_Shared->Groups.find(DatabaseId(Request->database()));
  if (Found == m_Shared->Groups.end())
    return {grpc::StatusCode::NOT_FOUND, "no such database"};
  bergamotstage::Promote Order{DatabaseId(Request->database()),
                               TargetId(Request->candidate()),
                               Term(Request->new_term()), Request->order_id()};
  PromotionDecided Decided;
  {
    std::lock_guard<std::mutex> Guard(Found->second->Lock);
    Decided = Found->second->State.promote(Order, readClock());
  }
  std::lock_guard<std::mutex> Guard(m_Shared->Lock);
  if (m_Shared->Faults.LosePromoteAnswer)
    return unavailable("the answer was lost");
  Answer->set_applied(Decided.Applied);
  Answer->set_current_term(Decided.CurrentTerm.value());
  Answer->set_reason(Decided.Reason);
  return grpc::Status::OK;
}

grpc::Status FaultService::SetFault(grpc::ServerContext *,
                                    const wire::platform::FaultRequest *Request,
                                    wire::platform::FaultAnswer *Answer) {
  Answer->set_known(setStoreFault(*Request) || setTargetFault(*Request));
  return grpc::Status::OK;
}

bool FaultService::setStoreFault(const wire::platform::FaultRequest &Request) {
  std::lock_guard<std::mutex> Guard(m_Shared->Lock);
  PlatformFaults &Faults = m_Shared->Faults;
  if (Request.kind() == "store-down")
    Faults.StoreDown = Request.on();
  else if (Request.kind() == "store-slow")
    Faults.StoreDelay = milliseconds(Request.on() ? Request.milliseconds() : 0);
  else if (Request.kind() == "lose-write-answer")
    Faults.LoseWriteAnswer = Request.on();
  else if (Request.kind() == "lose-promote-answer")
    Faults.LosePromoteAnswer = Request.on();
  else if (Request.kind() == "leave-vm")
    return setLeaving(VmId(Request.name()), Request.on());
  else
    return false;
  return true;
}

bool FaultService::setLeaving(const VmId &Name, bool Leaving) {
  for (ListedVm &Vm : m_Shared->Vms) {
    if (Vm.Vm != Name)
      continue;
    Vm.Leaving = Leaving;
    return true;
  }
  return false;
}

bool FaultService::setTargetFault(const wire::platform::FaultRequest &Request) {
  for (auto &[Database, Shared] : m_Shared->Groups) {
    std::lock_guard<std::mutex> Guard(Shared->Lock);
    Group::Member *Member = Shared->State.find(TargetId(Request.name()));
    if (Member == nullptr)
      continue;
    if (Request.kind() == "cut-target")
      Member->Cut = Request.on();
    else if (Request.kind() == "freeze-target")
      Member->Frozen = Request.on();
    else if (Request.kind() == "lag-target")
      Member->Lag = milliseconds(Request.on() ? Request.milliseconds() : 0);
    else if (Request.kind() == "leave-target")
      Member->Leaving = Request.on();
    else
      return false;
    return true;
  }
  return false;
}

} // namespace bergamotstage::standin
