#include "bergamotstage/account/Allocation.h"

#include "bergamotstage/core/Invariant.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace bergamotstage {
namespace {

using Json = nlohmann::json;

std::int64_t scale(std::int64_t Value, std::int64_t Fraction) {
  return Value / ContractFraction::Whole * Fraction +
         Value % ContractFraction::Whole * Fraction / ContractFraction::Whole;
}

bool isValidFraction(std::int64_t Value) {
  return Value >= 0 && Value <= ContractFraction::Whole;
}

bool successorsAreValid(const AllocationRow &Row) {
  return std::all_of(
      Row.Shares.begin(), Row.Shares.end(),
      [](const AllocationShare &Share) { return Share.Successor != Share.Vm; });
}

bool sumIsValid(const AllocationRow &Row) {
  ContractFraction Unallocated = Row.unallocated();
  return isValidFraction(Unallocated.Rate) &&
         isValidFraction(Unallocated.Burst);
}

AllocationShare &shareOf(AllocationRow &Row, const VmId &Vm) {
  auto Found = std::find_if(
      Row.Shares.begin(), Row.Shares.end(),
      [&](const AllocationShare &Share) { return Share.Vm == Vm; });
  BERGAMOTSTAGE_INVARIANT(Found != Row.Shares.end(), "the VM holds a share");
  return *Found;
}

void insertShare(AllocationRow &Row, AllocationShare Share) {
  auto Position = std::find_if(
      Row.Shares.begin(), Row.Shares.end(),
      [&](const AllocationShare &Other) { return Share.Vm < Other.Vm; });
  Row.Shares.insert(Position, std::move(Share));
}

void eraseShare(AllocationRow &Row, const VmId &Vm) {
  Row.Shares.erase(std::remove_if(Row.Shares.begin(), Row.Shares.end(),
                                  [&](const AllocationShare &Share) {
                                    return Share.Vm == Vm;
                                  }),
                   Row.Shares.end());
}

AllocationShare decodeShare(const Json &Entry) {
  return {VmId(Entry.at(0).get<std::string>()),
          Incarnation(Entry.at(1).get<std::uint64_t>()),
          {Entry.at(2).get<std::int64_t>(), Entry.at(3).get<std::int64_t>()},
          VmId(Entry.at(4).get<std::string>())};
}

AllocationReserve decodeReserve(const Json &Entry) {
  return {VmId(Entry.at(0).get<std::string>()),
          Incarnation(Entry.at(1).get<std::uint64_t>()),
          Entry.at(2).get<std::int64_t>()};
}

} // namespace

TokenContract scaleContract(const TokenContract &Contract,
                            const ContractFraction &Fraction) {
  return {{scale(Contract.Rate.MicroPerSecond, Fraction.Rate)},
          {scale(Contract.Burst.Pico, Fraction.Burst)}};
}

const AllocationShare *AllocationRow::find(const VmId &Vm) const {
  auto Found = std::find_if(
      Shares.begin(), Shares.end(),
      [&](const AllocationShare &Share) { return Share.Vm == Vm; });
  return Found == Shares.end() ? nullptr : &*Found;
}

ContractFraction AllocationRow::unallocated() const {
  ContractFraction Unallocated{ContractFraction::Whole,
                               ContractFraction::Whole};
  for (const AllocationShare &Share : Shares)
    Unallocated = Unallocated - Share.Fraction;
  for (const AllocationReserve &Reserve : Reserves)
    Unallocated.Burst -= Reserve.Burst;
  return Unallocated;
}

VmId AllocationRow::nextAfter(const VmId &Vm) const {
  auto Next =
      std::find_if(Shares.begin(), Shares.end(),
                   [&](const AllocationShare &Share) { return Vm < Share.Vm; });
  if (Next == Shares.end())
    Next = Shares.begin();
  return Next == Shares.end() || Next->Vm == Vm ? VmId() : Next->Vm;
}

std::string allocationKey(const AccountId &Account) {
  return "allocation/" + Account.value();
}

std::string encodeAllocation(const AllocationRow &Row) {
  BERGAMOTSTAGE_INVARIANT(sumIsValid(Row),
                          "shares never add up to more than the contract");
  BERGAMOTSTAGE_INVARIANT(successorsAreValid(Row),
                          "no VM is the successor of its own share");
  Json Shares = Json::array();
  for (const AllocationShare &Share : Row.Shares)
    Shares.push_back({Share.Vm.value(), Share.Start.value(),
                      Share.Fraction.Rate, Share.Fraction.Burst,
                      Share.Successor.value()});
  Json Reserves = Json::array();
  for (const AllocationReserve &Reserve : Row.Reserves)
    Reserves.push_back(
        {Reserve.Vm.value(), Reserve.Start.value(), Reserve.Burst});
  return Json{{"parts", Shares}, {"reserves", Reserves}}.dump();
}

std::optional<AllocationRow> decodeAllocation(std::string_view Text) {
  Json Object = Json::parse(Text, nullptr, false);
  if (!Object.is_object())
    return std::nullopt;
  AllocationRow Row;
  try {
    for (const Json &Entry : Object.at("parts"))
      insertShare(Row, decodeShare(Entry));
    for (const Json &Entry : Object.at("reserves"))
      Row.Reserves.push_back(decodeReserve(Entry));
  } catch (const Json::exception &) {
    return std::nullopt;
  }
  return sumIsValid(Row) ? std::optional<AllocationRow>(Row) : std::nullopt;
}

namespace allocation {

AllocationRow create(const VmId &Vm, Incarnation Start) {
  AllocationRow Row;
  Row.Shares.push_back(
      {Vm, Start, {ContractFraction::Whole, ContractFraction::Whole}, VmId()});
  return Row;
}

AllocationRow updateIncarnation(AllocationRow Row, const VmId &Vm,
                                Incarnation Start) {
  shareOf(Row, Vm).Start = Start;
  return Row;
}

AllocationRow split(AllocationRow Row, const VmId &Owner, const VmId &Recipient,
                    Incarnation RecipientStart) {
  AllocationShare &From = shareOf(Row, Owner);
  ContractFraction Transferred{From.Fraction.Rate / 2, From.Fraction.Burst / 2};
  From.Fraction = From.Fraction - Transferred;
  bool HasOtherSuccessor =
      !From.Successor.value().empty() && From.Successor != Recipient;
  VmId Successor = HasOtherSuccessor ? From.Successor : Owner;
  From.Successor = Recipient;
  insertShare(Row, {Recipient, RecipientStart, Transferred, Successor});
  return Row;
}

AllocationRow succeed(AllocationRow Row, const VmId &Owner,
                      const VmId &Successor) {
  AllocationShare Removed = shareOf(Row, Owner);
  eraseShare(Row, Owner);
  AllocationShare &Receiver = shareOf(Row, Successor);
  Receiver.Fraction.Rate += Removed.Fraction.Rate;
  if (Receiver.Successor == Owner)
    Receiver.Successor = Row.nextAfter(Successor);
  Row.Reserves.push_back({Removed.Vm, Removed.Start, Removed.Fraction.Burst});
  return Row;
}

AllocationRow merge(AllocationRow Row, const VmId &From, const VmId &Into) {
  ContractFraction Transferred = shareOf(Row, From).Fraction;
  eraseShare(Row, From);
  AllocationShare &Receiver = shareOf(Row, Into);
  Receiver.Fraction = Receiver.Fraction + Transferred;
  if (Receiver.Successor == From)
    Receiver.Successor = Row.nextAfter(Into);
  return Row;
}

AllocationRow claimFree(AllocationRow Row, const VmId &Vm) {
  ContractFraction Unallocated = Row.unallocated();
  AllocationShare &Share = shareOf(Row, Vm);
  Share.Fraction = Share.Fraction + Unallocated;
  return Row;
}

AllocationRow changeSuccessor(AllocationRow Row, const VmId &Vm,
                              const VmId &Successor) {
  shareOf(Row, Vm).Successor = Successor;
  return Row;
}

AllocationRow releaseReserves(AllocationRow Row, const VmId &Vm,
                              Incarnation Before) {
  auto IsReleased = [&](const AllocationReserve &Reserve) {
    return Reserve.Vm == Vm && Reserve.Start < Before;
  };
  Row.Reserves.erase(
      std::remove_if(Row.Reserves.begin(), Row.Reserves.end(), IsReleased),
      Row.Reserves.end());
  return Row;
}

} // namespace allocation

} // namespace bergamotstage
