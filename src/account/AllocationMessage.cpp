#include "bergamotstage/account/AllocationMessage.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace bergamotstage {
namespace {

using Json = nlohmann::json;

/// @brief Kinds on the wire, in the order of AllocationBody.
enum class Kind : std::uint8_t {
  LoanRequest,
  LoanGrant,
  LoanSettlement,
  ShareLeaseRequest,
  ShareLeaseGrant,
  ShareRequest
};

struct BodyEncoder {
  Json operator()(const LoanRequest &Message) const {
    return {Message.Loan, Message.OpenFrom, Message.Wanted.Pico};
  }
  Json operator()(const LoanGrant &Message) const {
    return {Message.Loan, Message.Amount.Pico, Message.Remaining.Pico,
            Message.NextToken.count()};
  }
  Json operator()(const LoanSettlement &Message) const {
    return {Message.OpenFrom, Message.Loan, Message.Returned.Pico};
  }
  Json operator()(const ShareLeaseRequest &Message) const {
    return Json::array({Message.RequestId});
  }
  Json operator()(const ShareLeaseGrant &Message) const {
    return Json::array({Message.RequestId});
  }
  Json operator()(const ShareRequest &) const { return Json::array(); }
};

std::uint64_t number(const Json &Fields, std::size_t At) {
  return Fields.at(At).get<std::uint64_t>();
}

/// @brief Reads an amount. The sign bit is cleared, so that it is never
/// negative; throws Json::exception for another type.
TokenCount amount(const Json &Fields, std::size_t At) {
  return {static_cast<std::int64_t>(number(Fields, At) & INT64_MAX)};
}

std::optional<AllocationBody> readBody(std::uint64_t Code, const Json &Fields) {
  switch (static_cast<Kind>(Code)) {
  case Kind::LoanRequest:
    return LoanRequest{number(Fields, 0), number(Fields, 1), amount(Fields, 2)};
  case Kind::LoanGrant:
    return LoanGrant{number(Fields, 0), amount(Fields, 1), amount(Fields, 2),
                     Duration(amount(Fields, 3).Pico)};
  case Kind::LoanSettlement:
    return LoanSettlement{number(Fields, 0), number(Fields, 1),
                          amount(Fields, 2)};
  case Kind::ShareLeaseRequest:
    return ShareLeaseRequest{number(Fields, 0)};
  case Kind::ShareLeaseGrant:
    return ShareLeaseGrant{number(Fields, 0)};
  case Kind::ShareRequest:
    return ShareRequest{};
  }
  return std::nullopt;
}

} // namespace

std::string encodeAllocationMessage(const AllocationMessage &Message) {
  Json Fields = std::visit(BodyEncoder{}, Message.Body);
  Json Root = Json::array(
      {Message.Account.value(), Message.Body.index(), std::move(Fields)});
  std::string Bytes;
  Json::to_msgpack(Root, Bytes);
  return Bytes;
}

std::optional<AllocationMessage>
decodeAllocationMessage(std::string_view Bytes) {
  Json Root = Json::from_msgpack(Bytes, true, false);
  if (!Root.is_array() || Root.size() != 3)
    return std::nullopt;
  try {
    auto Body = readBody(Root.at(1).get<std::uint64_t>(), Root.at(2));
    if (!Body)
      return std::nullopt;
    return AllocationMessage{AccountId(Root.at(0).get<std::string>()), *Body};
  } catch (const Json::exception &) {
    return std::nullopt;
  }
}

} // namespace bergamotstage
